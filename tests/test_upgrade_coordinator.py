"""A coordinator that replaces itself, between the platform's stand-ins."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from stage import SETTINGS, Platform
from waiting import eventually


@pytest.fixture
def platform(tmp_path):
    found = Platform(tmp_path)
    (tmp_path / "operator.conf").write_text(
        f"control {tmp_path / 'control'}\nwait watch 200ms\npidfile {tmp_path / 'pid'}\n"
    )
    found.words = ["run", "--operator", str(tmp_path / "operator.conf")]
    found.ask = lambda what: json.loads(
        subprocess.run(
            [sys.executable, "-m", "indigohitch", what, str(tmp_path / "operator.conf")],
            capture_output=True,
            check=False,
        ).stdout
    )
    yield found
    for e in found.program.said("starts"):
        try:
            os.kill(e["pid"], signal.SIGKILL)
        except ProcessLookupError:
            pass
    found.close()


def drain(platform, backend):
    platform.change(backend, "DRAINING")


def over(platform, most, span=10.0):
    """Messages to a proxy over the allowed, in any such span."""
    times = platform.times
    return sum(max(0, sum(t <= u < t + span for u in times) - most) for t in times)


@pytest.mark.parametrize("fault", [None, "hang", "close", "reset done"])
def test_a_coordinator_with_calls_out_is_upgraded(platform, fault):
    """The relay awaits a message as the upgrade lands: each is sent by one process, the same again only where
    its outcome is unclear, and all count in the window of the new one."""
    program = platform.serving(platform.words)
    eventually(platform.agrees)
    platform.relay_faults += [fault] * (fault is not None)
    for n in range(3):
        platform.change(f"b{n}", "DRAINING")
        told = platform.ask("upgrade")
        assert told["result"] == "upgraded", told
        eventually(lambda n=n: not any(f"b{n}" in t for t in platform.tables.values()))
        eventually(lambda n=n: len(program.said("phase", now="ended")) == n + 1)
    eventually(platform.agrees)
    assert [e["equal"] for e in program.said("state_compared")] == [True] * 3
    marks = [m for m, before in zip(platform.marks, [0, *platform.marks]) if m != before]
    assert marks == list(range(marks[0], marks[0] + len(marks)))
    if fault is None:
        assert len(set(platform.marks)) == len(platform.marks)  # nothing went twice


def test_a_collector_half_way_through_a_line_goes_over(platform):
    program = platform.serving(platform.words)
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\nrange_stats range=0 lane=sea")
        time.sleep(0.2)
        assert platform.ask("upgrade")["result"] == "upgraded"
        sock.sendall(b"rch count=80 fail=1 over=100.0\r\n")
        eventually(lambda: platform.ask("status")["counters"].get("lines_range_stats") == 1)
        sock.sendall(b"hb\r\n")
        assert sock.recv(100) == b"hb_ok\r\n"
    assert not program.said("line_invalid")


def test_a_coordinator_goes_on_from_its_file(platform, tmp_path):
    """What stands is not moved by a restart that read the state, and its window goes on."""
    with open(tmp_path / "operator.conf", "a") as file:
        file.write(f"state {tmp_path / 'state'}\n")
    first = platform.serving(platform.words)
    drain(platform, "b0")
    eventually(lambda: platform.agrees() and not any("b0" in t for t in platform.tables.values()))
    before, calls = {s: dict(t) for s, t in platform.tables.items()}, len(platform.calls)
    assert first.end() == 0
    second = platform.serving(platform.words)
    assert second.said("state_read")
    eventually(lambda: second.said("relay_watch_started"))
    time.sleep(1.0)
    assert platform.tables == before
    # A module that began anew would tell every proxy the further tries again; this one knows who has heard.
    assert not [o for call in platform.calls[calls:] for o in call if o.startswith("put")]
    drain(platform, "b1")
    eventually(lambda: platform.agrees() and not any("b1" in t for t in platform.tables.values()))
    assert second.end() == 0


def test_the_messages_sent_count_in_the_new_window(platform):
    """With few messages allowed in 10 s the window would be exceeded if the new process began at none."""
    platform.start(platform.words, settings=limited(6))
    eventually(lambda: platform.program.said("phase", now="serving"))
    for n in range(5):
        platform.change(f"b{n}", "DRAINING")
        time.sleep(0.3)
        assert platform.ask("upgrade")["result"] == "upgraded"
        time.sleep(0.8)
        platform.change(f"b{n}", "SERVING")
    time.sleep(0.5)
    assert len(platform.times) >= 4 and over(platform, 6) == 0


def limited(most):
    return SETTINGS | {
        "family-info": SETTINGS["family-info"] | {"messages-most": most, "counted-over": 10000.0}
    }


def test_run_without_a_file_has_no_control(tmp_path):
    """As the platform starts it: nothing more is imported, no socket beside the one."""
    code = (
        "import sys; import indigohitch.service; not_these = ('upgrade', 'click', 'msgspec', 'sidecar');"
        "print([m for m in sys.modules if m.split('.')[-1] in not_these])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert found.stdout.strip() == b"[]"


def test_a_drain_told_while_the_next_process_hangs_is_kept(platform):
    """The upgrade would wait for it for longer than a drain may."""
    faulty = f"{sys.executable} {Path(__file__).parent / 'faulty.py'} restored hang"
    file = platform.path / "operator.conf"
    file.write_text(f"{file.read_text()}program {faulty} run --operator {file}\n")
    program = platform.serving(platform.words)
    eventually(platform.agrees)
    asking = threading.Thread(target=platform.ask, args=("upgrade",), daemon=True)
    asking.start()
    eventually(lambda: program.said("fault"))
    began = time.monotonic()
    drain(platform, "b1")
    eventually(lambda: not any("b1" in table for table in platform.tables.values()))
    assert time.monotonic() - began < 2.5  # of three seconds, and the way of a message
    asking.join(30)
    eventually(platform.agrees)
    assert program.said("upgrade_called_off")
