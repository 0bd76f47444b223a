"""A coordinator that was out of reach does not act on its old list of backends as if it were current."""

import signal
import time

import pytest

from stage import Platform
from waiting import eventually

CUT_S = 4.5  # longer than a silent stream and a watch of discovery are kept
GRACE_S = 1.5


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, backends=4, slices=8)
    platform.start()
    eventually(lambda: platform.program.said("phase", now="serving"))
    eventually(lambda: platform.calls and platform.agrees())
    yield platform
    platform.close()


def end_calls_to_discovery(platform):
    """Let each call to discovery fail, also the one that waits for news."""
    platform.discovery_faults += ["reset"] * 1000
    platform.version += 1  # ends the wait


def replace_backend(platform, old, new):
    """Replace a backend while the coordinator is out of reach; another coordinator moves its slices."""
    platform.add(new)
    platform.change(old, "DELETED")
    for number, table in platform.tables.items():
        if old in table:
            platform.tables[number] = {new: 1.0}


def cut_off_while(platform, action):
    """Cut the coordinator off from relay and discovery, and return how many calls it has made by then."""
    platform.taken_away = platform.cut_off = True
    end_calls_to_discovery(platform)
    eventually(lambda: platform.program.said("discovery_failed"))
    action()
    time.sleep(CUT_S)
    calls = len(platform.calls)
    platform.cut_off = False
    return calls


def test_slices_stay_at_a_backend_that_only_the_store_names_until_the_list_is_current(platform):
    """Guards against review/8: they were moved to backends of the old list, some of which had ended."""
    calls = cut_off_while(platform, lambda: replace_backend(platform, "b0", "n0"))
    eventually(lambda: len(platform.program.said("relay_watch_started")) > 1)
    time.sleep(GRACE_S)
    orders = [order for call in platform.calls[calls:] for order in call if order.startswith("put,")]
    assert [order for order in orders if ",n0," in order or ",b0," in order] == []
    platform.discovery_faults.clear()
    eventually(platform.agrees, 10)
    assert all(platform.tables[number] == {"n0": 1.0} for number in (0, 4))


def test_a_drain_during_a_partition_is_made_within_the_grace_after_it(platform):
    cut_off_while(platform, lambda: platform.change("b1", "DRAINING"))
    platform.discovery_faults.clear()
    started_at = time.monotonic()
    eventually(lambda: not any("b1" in table for table in platform.tables.values()), 10)
    assert time.monotonic() - started_at < GRACE_S


def test_a_report_on_a_backend_that_only_the_store_names_is_valid(platform):
    """Guards against a collector whose connection ended, as its reports named backends of a newer list."""
    cut_off_while(platform, lambda: replace_backend(platform, "b0", "n0"))
    eventually(lambda: not platform.taken_away)
    time.sleep(0.3)  # the slices are settled
    with platform.call() as sock:
        report = "upstream_stats site=east target=n0 count=5 fail=0 mean=4.0 over=100.0"
        sock.sendall(f"telemetry site=east\r\n{report}\r\nhb\r\n".encode())
        assert sock.recv(100) == b"hb_ok\r\n"
    assert platform.program.said("line_invalid") == []


def test_the_list_of_a_state_file_is_not_current(tmp_path):
    """Guards against a restart with a state file: its list is as old as the file."""
    operator_file = tmp_path / "operator.conf"
    operator_file.write_text(f"control {tmp_path / 'control'}\nstate {tmp_path / 'state'}\n")
    words = ["run", "--operator", str(operator_file)]
    platform = Platform(tmp_path, backends=4, slices=8)
    try:
        platform.serving(words)
        eventually(lambda: platform.calls and platform.agrees())
        platform.program.process.send_signal(signal.SIGTERM)
        platform.program.process.wait(10)
        end_calls_to_discovery(platform)
        replace_backend(platform, "b0", "n0")
        calls = len(platform.calls)
        platform.serving(words)
        assert platform.program.said("state_read")
        time.sleep(GRACE_S)
        orders = [order for call in platform.calls[calls:] for order in call if order.startswith("put,")]
        assert [order for order in orders if ",n0," in order] == []
    finally:
        platform.close()
