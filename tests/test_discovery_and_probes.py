"""Tests the program when discovery fails, and when backends are added, moved, removed and probed."""

import pytest

from stage import SETTINGS, drain, heartbeat
from waiting import eventually


@pytest.mark.parametrize("fault", ["503", "reset", "silent", "garbage", "rubbish", "whole", "close"])
def test_failed_discovery_request_is_repeated(platform, fault):
    program = platform.serving()
    # A reset may be taken for the close of an idle connection, which is retried without a log entry.
    platform.discovery_faults += [fault] * (2 if fault == "reset" else 1)
    drain(platform, "b1")
    eventually(lambda: not platform.discovery_faults)
    drain(platform, "b2")
    assert bool(program.said("discovery_failed")) == (fault not in ("whole", "close"))


def test_backends_that_move_or_disappear_from_the_list_are_followed(platform):
    platform.serving()
    moved = platform.backends["b0"]
    eventually(lambda: moved.connections)
    platform.add("b0")  # the same id at another address
    eventually(lambda: platform.backends["b0"].connections)
    del platform.listed["b3"]
    platform.discovery_faults.append("whole")
    eventually(lambda: not any("b3" in table for table in platform.tables.values()))
    moved.close()


def test_backend_deleted_twice_in_one_response_does_not_stop_the_watch(platform):
    program = platform.serving()
    with platform.lock:  # in one response to the watch
        platform.change("b5", "DELETED")
        platform.add("b5")
        platform.change("b5", "DELETED")
    drain(platform, "b1")
    eventually(lambda: not any("b5" in table for table in platform.tables.values()))
    assert not program.said("defect")


def test_probe_outcomes_are_counted(platform):
    platform.behaviour = {"b0": "503", "b1": "silent", "b2": "reset", "b3": "garbage", "b4": "rubbish"}
    platform.backends["b5"].close()
    platform.change("b5", address="127.0.0.1:1")
    platform.add("b6")
    platform.change("b6", address="nowhere")
    program = platform.serving()
    program.start_seen = eventually(
        lambda: (
            (counters := program.counters()).get("probes_connect_failed", 0) > 1
            and counters.get("probes_timeout")
            and counters.get("probes_reset")
            and counters
        )
    )
    counters = eventually(lambda: (found := program.counters()).get("load_report_unreadable") and found)
    assert counters["probes_error"] >= 2 and heartbeat(platform)
    assert {path for _, path in platform.probed} == {"/stats"}


@pytest.mark.parametrize("value", ["push", "ask", None])
def test_list_is_watched_with_every_value_of_the_discovery_setting(platform, value):
    """Found on an internal deployment: with the setting `push` the list was not watched, so no drain was
    noticed."""
    program = platform.start(settings=SETTINGS | {"discovery": value})
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
