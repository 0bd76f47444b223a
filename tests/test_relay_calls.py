"""The program with a relay that fails, rejects orders or breaks its event stream."""

import random
import time

import pytest

from stage import SETTINGS, Platform, drain, heartbeat, none_lost
from waiting import eventually

RELAY_FAULTS = [
    "Throttling",
    "reset",
    "reset done",
    "silent",
    "silent done",
    "garbage",
    "garbage done",
    "rubbish done",
    "503",
    "close",
]


@pytest.mark.parametrize("fault", RELAY_FAULTS)
def test_failed_calls_are_applied_in_the_end(platform, fault):
    platform.serving()
    platform.relay_faults += [fault] * 2
    drain(platform, "b1")
    drain(platform, "b2")
    assert not platform.relay_faults and none_lost(platform)


def test_retried_calls_count_as_messages(platform):
    family = SETTINGS["family-info"] | {"messages-most": 4, "counted-over": 1000.0}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    # Otherwise a marker or the store would show that the call is applied, and it would be sent once.
    platform.marks_told = platform.lines_told = False
    platform.relay_faults += ["reset done"] * 9
    drain(platform, "b1")
    eventually(lambda: not platform.relay_faults)
    assert min(late - early for early, late in zip(platform.times, platform.times[4:])) > 1.0
    assert none_lost(platform) and program.said("call_rate_limited")


@pytest.mark.parametrize("seed", range(3))
def test_store_and_module_agree_after_any_faults(platform, seed):
    rng = random.Random(seed)
    program = platform.serving()
    for step in range(8):
        platform.relay_faults += rng.choices(RELAY_FAULTS, k=rng.randint(0, 3))
        if rng.random() < 0.3:
            platform.news_faults.append(rng.choice(["reset", "unreadable", "rubbish"]))
        if step % 2 and rng.random() < 0.5:
            platform.discovery_faults.append(rng.choice(["503", "reset", "whole", "garbage"]))
        busy = rng.choice(sorted(b for t in platform.tables.values() for b in t))
        drain(platform, busy)
        platform.change(busy, "SERVING", started=int(time.time() * 1000) - 60_000)
    assert none_lost(platform) and not program.said("defect")


@pytest.mark.parametrize("faults", [["silent"] * 3, ["reset", "garbage done", "503", "silent done"]])
def test_a_lost_coordinators_proxies_join_while_the_relay_fails(tmp_path, faults):
    """640 proxies within a second, with late, partial or missing responses: heartbeats are answered
    throughout, joined proxies are served, and 1,024 file descriptors suffice."""
    platform = Platform(tmp_path, backends=24, slices=140, proxies=40, sockets=1024)
    try:
        family = SETTINGS["family-info"] | {"queue-cap": 640 * 173.0, "egress-per-s": 640 * 115.0}
        program = platform.start(settings=SETTINGS | {"family-info": family})
        eventually(lambda: program.said("phase", now="serving"))
        platform.relay_faults += faults
        slowest = 0.0
        for first in range(40, 640, 60):
            with platform.lock:
                platform.proxies |= set(range(first, first + 60))
                for proxy in range(first, first + 60):
                    platform.tell("attach", id=proxy, site="east", rps=5.0, new=0)
            if first == 220:
                platform.change("b3", "DRAINING")
            started_at = time.monotonic()
            assert heartbeat(platform)
            slowest = max(slowest, time.monotonic() - started_at)
            time.sleep(0.1)
        eventually(lambda: not any("b3" in t for t in platform.tables.values()) and platform.agrees())
        assert slowest < 1.5 and not program.said("defect")
        assert none_lost(platform, merged=bool(program.said("calls_merged")))
        eventually(lambda: program.counters()["relay_event_attach"] >= 640)
        drain(platform, "b7")
    finally:
        platform.close()


def test_a_rejected_order_is_dropped_and_the_rest_is_applied(platform):
    program = platform.serving()
    platform.refused = {"b0", "b2", "b3", "b4"}  # only b5 is left, for two slices
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("order_rejected") or platform.agrees())
    eventually(lambda: not any("b1" in t for t in platform.tables.values()))
    platform.refused = set()
    eventually(platform.agrees)
    rejected = program.said("order_rejected")
    assert all(e["order"].startswith("put,") for e in rejected) and len(rejected) < 60


def test_an_invalid_call_is_not_retried(platform):
    program = platform.serving()
    platform.relay_faults.append("ValidationError")
    platform.change("b1", "DRAINING")
    eventually(lambda: program.said("relay_call_invalid"))
    eventually(platform.agrees)  # the module was told that the orders were dropped
    assert len(program.said("relay_call_invalid")) == 1 and len(platform.calls) < 20


@pytest.mark.parametrize("fault", ["reset", "silent", "unreadable", "rubbish"])
def test_a_new_snapshot_is_compared_with_the_known_state(platform, fault):
    program = platform.serving()
    drain(platform, "b1")
    with platform.lock:
        platform.proxies = {0, 1, 7}
        del platform.tables[3]
        platform.tables[4] = {"b1": 1.0}  # changed by another coordinator meanwhile
        platform.news_faults.append(fault)
    eventually(lambda: program.said("relay_watch_started", proxies=3, slices=11))
    eventually(platform.agrees)
    drain(platform, "b2")  # the relay would accept orders for slice 3, which is no longer owned
    assert not any(order.startswith("put,3,") for call in platform.calls[1:] for order in call)


def test_slices_acquired_and_revoked_while_serving(platform):
    platform.serving()
    with platform.lock:
        platform.tables[50], platform.tables[51] = {}, {"b1": 1.0}
        for number in (50, 51):
            platform.tell("owner", range=number, flag=1)
        platform.tell("entry", range=51, target="b1", rps=1.0)
        platform.tell("owner", range=2, flag=0)
        del platform.tables[2]
        platform.tell("detach", id=0)
        platform.tell("weather", wind=3)  # unknown kinds are skipped
    eventually(platform.agrees)
    drain(platform, "b1")
    assert not any(order.startswith("put,2,") for call in platform.calls for order in call)
