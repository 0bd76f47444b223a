"""Upgrades and restarts of a coordinator process that runs against a simulated platform."""

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
    simulated_platform = Platform(tmp_path)
    (tmp_path / "operator.conf").write_text(
        f"control {tmp_path / 'control'}\nwait watch 200ms\npidfile {tmp_path / 'pid'}\n"
    )
    simulated_platform.words = ["run", "--operator", str(tmp_path / "operator.conf")]
    simulated_platform.ask = lambda command: json.loads(
        subprocess.run(
            [sys.executable, "-m", "indigohitch", command, str(tmp_path / "operator.conf")],
            capture_output=True,
            check=False,
        ).stdout
    )
    yield simulated_platform
    for event in simulated_platform.program.said("starts"):
        try:
            os.kill(event["pid"], signal.SIGKILL)
        except ProcessLookupError:
            pass
    simulated_platform.close()


def drain(platform, backend):
    platform.change(backend, "DRAINING")


def excess_messages(platform, max_messages, span=10.0):
    """Return the number of messages to a proxy above the limit, over all windows of `span` seconds."""
    times = platform.times
    return sum(max(0, sum(start <= sent < start + span for sent in times) - max_messages) for start in times)


@pytest.mark.parametrize("fault", [None, "hang", "close", "reset done"])
def test_a_coordinator_with_calls_in_flight_is_upgraded(platform, fault):
    """Each call to the relay is sent by one process, and sent again only if its outcome is unknown.

    All calls count in the message window of the new process.
    """
    program = platform.serving(platform.words)
    eventually(platform.agrees)
    platform.relay_faults += [fault] * (fault is not None)
    for n in range(3):
        platform.change(f"b{n}", "DRAINING")
        result = platform.ask("upgrade")
        assert result["result"] == "upgraded", result
        eventually(lambda n=n: not any(f"b{n}" in t for t in platform.tables.values()))
        eventually(lambda n=n: len(program.said("phase", now="ended")) == n + 1)
    eventually(platform.agrees)
    assert [event["equal"] for event in program.said("state_compared")] == [True] * 3
    marks = [mark for mark, previous in zip(platform.marks, [0, *platform.marks]) if mark != previous]
    assert marks == list(range(marks[0], marks[0] + len(marks)))
    if fault is None:
        assert len(set(platform.marks)) == len(platform.marks)  # no call was sent twice


def test_a_collector_connection_with_a_partial_line_is_passed_on(platform):
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


def test_a_coordinator_continues_from_its_state_file(platform, tmp_path):
    """A restart that reads the state does not change stored routes, and continues the message window."""
    with open(tmp_path / "operator.conf", "a") as file:
        file.write(f"state {tmp_path / 'state'}\n")
    first = platform.serving(platform.words)
    drain(platform, "b0")
    eventually(lambda: platform.agrees() and not any("b0" in t for t in platform.tables.values()))
    tables = {slice_: dict(table) for slice_, table in platform.tables.items()}
    call_count = len(platform.calls)
    assert first.end() == 0
    second = platform.serving(platform.words)
    assert second.said("state_read")
    eventually(lambda: second.said("relay_watch_started"))
    time.sleep(1.0)
    assert platform.tables == tables
    # A new module would send the retry levels to every proxy again; this one knows which proxies have them.
    assert not [order for call in platform.calls[call_count:] for order in call if order.startswith("put")]
    drain(platform, "b1")
    eventually(lambda: platform.agrees() and not any("b1" in t for t in platform.tables.values()))
    assert second.end() == 0


def test_messages_of_the_old_process_count_in_the_window_of_the_new_one(platform):
    """With a low limit per 10 s, a new process that started to count at zero would exceed it."""
    platform.start(platform.words, settings=settings_with_message_limit(6))
    eventually(lambda: platform.program.said("phase", now="serving"))
    for n in range(5):
        platform.change(f"b{n}", "DRAINING")
        time.sleep(0.3)
        assert platform.ask("upgrade")["result"] == "upgraded"
        time.sleep(0.8)
        platform.change(f"b{n}", "SERVING")
    time.sleep(0.5)
    assert len(platform.times) >= 4 and excess_messages(platform, 6) == 0


def settings_with_message_limit(max_messages):
    return SETTINGS | {
        "family-info": SETTINGS["family-info"] | {"messages-most": max_messages, "counted-over": 10000.0}
    }


def test_run_without_an_operator_file_imports_no_upgrade_modules(tmp_path):
    """The platform starts the coordinator this way, without a control socket."""
    code = (
        "import sys; import indigohitch.service; not_these = ('upgrade', 'click', 'msgspec', 'sidecar');"
        "print([m for m in sys.modules if m.split('.')[-1] in not_these])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert result.stdout.strip() == b"[]"


def test_a_drain_during_an_upgrade_whose_new_process_hangs_is_in_time(platform):
    """The timeouts of the upgrade are longer than the drain grace."""
    faulty = f"{sys.executable} {Path(__file__).parent / 'faulty.py'} restored hang"
    file = platform.path / "operator.conf"
    file.write_text(f"{file.read_text()}program {faulty} run --operator {file}\n")
    program = platform.serving(platform.words)
    eventually(platform.agrees)
    asking = threading.Thread(target=platform.ask, args=("upgrade",), daemon=True)
    asking.start()
    eventually(lambda: program.said("fault"))
    started_at = time.monotonic()
    drain(platform, "b1")
    eventually(lambda: not any("b1" in table for table in platform.tables.values()))
    # The drain grace is three seconds, less the time that a message takes.
    assert time.monotonic() - started_at < 2.5
    asking.join(30)
    eventually(platform.agrees)
    assert program.said("upgrade_called_off")
