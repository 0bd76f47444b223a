"""Lifecycle of the program: start, restart, shutdown, and configurations that prevent a start."""

import socket
import time

import pytest

from program import Program
from stage import SETTINGS, drain, heartbeat, none_lost
from waiting import eventually


def test_a_full_run_drains_probes_and_ends(platform):
    program = platform.serving()
    assert heartbeat(platform)
    drain(platform, "b1")
    platform.change("b1", "SERVING", started=int(time.time() * 1000))
    drain(platform, "b2")
    eventually(lambda: {backend for backend, _ in platform.probed} >= set("b0 b3 b4 b5".split()))
    assert program.end() == 0 and not program.process.stderr.read()
    assert [event["now"] for event in program.said("phase")] == ["listening", "serving", "ending", "ended"]
    counters = program.log[-1]
    assert counters["event"] == "counters" and counters["heartbeats_answered"] == 1
    assert counters["orders_applied"] == counters["orders"] and counters["probes_ok"] >= 4
    assert none_lost(platform)


def test_a_restart_with_an_outdated_backend_list_keeps_current_backends(platform):
    platform.serving()
    drain(platform, "b1")
    platform.program.process.kill()
    platform.program.process.wait()
    platform.add("b9")
    with platform.lock:
        for table in list(platform.tables.values())[:4]:
            table.clear()
            table["b9"] = 1.0  # in the store, not in the outdated list
    platform.change("b0", "DELETED")
    program = platform.serving()  # its `known` list still has b0 and b1, and lacks b9
    eventually(platform.agrees)
    program.counters()
    assert not any(
        order.startswith("put") and ",b9,0.0" in order for call in platform.calls for order in call
    )


@pytest.mark.parametrize("phase", ["listening", "serving", "calling"])
def test_sigterm_in_any_phase_ends_the_process(platform, phase):
    if phase == "listening":
        platform.news_faults += ["silent"] * 9
        program = platform.start()
        eventually(lambda: program.said("phase", now="listening"))
    else:
        program = platform.serving()
    if phase == "calling":
        platform.relay_faults += ["silent"] * 99
        platform.change("b1", "DRAINING")
        eventually(lambda: program.said("relay_call_unresolved"))
    assert program.end() == 0
    assert program.said("phase", now="ended") and program.log[-1]["event"] == "counters"


def test_a_failing_decision_module_is_restarted(platform):
    family = SETTINGS["family-info"] | {"egress-per-s": "fast"}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    platform.change("b1", "DRAINING")
    eventually(lambda: program.counters().get("decision_module_restarted", 0) > 1)
    assert "TypeError" in program.said("defect")[0]["error"] and heartbeat(platform)


@pytest.mark.parametrize(
    "config",
    [
        "no JSON",
        "[]",
        "{}",
        '{"seed":"1","settings":{"classes":[{}]}}',
        '{"seed":"1","settings":{"classes":[]},"known":{"instances":[{}]}}',
        None,
    ],
)
def test_an_unusable_configuration_prevents_the_start(tmp_path, config):
    program = Program(tmp_path, config or "", **{} if config else {"BALANCER_CONFIG": "/nowhere/config.json"})
    assert program.process.wait(10) not in (0, None)
    program.reader.join(5)
    assert len(program.said("cannot_start")) == 1 and not program.process.stderr.read()


@pytest.mark.parametrize(
    "settings,why",
    [
        (SETTINGS | {"classes": []}, "no method"),
        (SETTINGS | {"family-info": {"admission": "share"}}, "family-info.report-every is missing"),
        (
            SETTINGS | {"family-info": SETTINGS["family-info"] | {"report-every": 0.0}},
            "family-info.report-every",
        ),
        (SETTINGS | {"classes": [SETTINGS["classes"][0] | {"aim": -1.0}]}, "search: aim"),
    ],
)
def test_unusable_settings_are_named_in_the_log(platform, settings, why):
    program = platform.start(settings=settings)
    assert program.process.wait(10) == 1
    program.reader.join(5)
    assert why in program.said("cannot_start")[0]["why"] and not program.said("defect")


def test_an_unavailable_address_prevents_the_start(platform):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        for listen in (f"127.0.0.1:{taken.getsockname()[1]}", "nowhere", "127.0.0.1:0x10"):
            program = platform.start(listen=listen, settings=SETTINGS)
            assert program.process.wait(10) not in (0, None)
            program.reader.join(5)
            assert len(program.said("cannot_start")) == 1 and not program.process.stderr.read()
