"""The program, discovery that fails and backends that come, go and are probed."""

import pytest

from stage import SETTINGS, drain, heartbeat
from waiting import eventually


@pytest.mark.parametrize("fault", ["503", "reset", "silent", "garbage", "rubbish", "whole", "close"])
def test_discovery_that_fails_is_asked_again(platform, fault):
    program = platform.serving()
    platform.discovery_faults += [fault] * (2 if fault == "reset" else 1)  # one may cross the request
    drain(platform, "b1")
    eventually(lambda: not platform.discovery_faults)
    drain(platform, "b2")
    assert bool(program.said("discovery_failed")) == (fault not in ("whole", "close"))


def test_backends_move_and_vanish_from_the_list(platform):
    platform.serving()
    moved = platform.backends["b0"]
    eventually(lambda: moved.connections)
    platform.add("b0")  # the same id at another address
    eventually(lambda: platform.backends["b0"].connections)
    del platform.listed["b3"]
    platform.discovery_faults.append("whole")
    eventually(lambda: not any("b3" in t for t in platform.tables.values()))
    moved.close()


def test_a_backend_told_gone_twice_in_one_answer_does_not_deafen(platform):
    program = platform.serving()
    with platform.lock:  # in one answer to the watch
        platform.change("b5", "DELETED")
        platform.add("b5")
        platform.change("b5", "DELETED")
    drain(platform, "b1")
    eventually(lambda: not any("b5" in t for t in platform.tables.values()))
    assert not program.said("defect")


def test_probes_tell_what_happened(platform):
    platform.behaviour = {"b0": "503", "b1": "silent", "b2": "reset", "b3": "garbage", "b4": "rubbish"}
    platform.backends["b5"].close()
    platform.change("b5", address="127.0.0.1:1")
    platform.add("b6")
    platform.change("b6", address="nowhere")
    program = platform.serving()
    program.start_seen = eventually(
        lambda: (
            (c := program.counters()).get("probes_connect_failed", 0) > 1
            and c.get("probes_timeout")
            and c.get("probes_reset")
            and c
        )
    )
    counters = eventually(lambda: (c := program.counters()).get("load_report_unreadable") and c)
    assert counters["probes_error"] >= 2 and heartbeat(platform)
    assert {path for _, path in platform.probed} == {"/stats"}


@pytest.mark.parametrize("said", ["push", "ask", None])
def test_the_list_is_watched_whatever_the_settings_say_of_discovery(platform, said):
    """Found at a site of our own: where they said `push` nobody watched, and no drain was ever heard."""
    program = platform.start(settings=SETTINGS | {"discovery": said})
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
