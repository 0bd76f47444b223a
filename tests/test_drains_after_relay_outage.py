"""Tests drains that are reported soon after a relay outage, under a limit on the messages to a proxy.

Guards against an incident: calls retried during the outage, and one call for each slice after it, used up the
messages that a proxy may receive, so orders for draining backends waited behind them for seconds."""

import time

import pytest

from stage import SETTINGS, Platform
from waiting import eventually

GRACE_S = 3.0  # as in the settings (drain-grace)
TRANSIT_S = 0.4  # upper limit on the transit of a message to the proxies
MAX_MESSAGES = 12  # to one proxy within a window
WINDOW_S = 10.0


def settings_with_message_limit():
    family = SETTINGS["family-info"] | {"messages-most": MAX_MESSAGES, "counted-over": WINDOW_S * 1000}
    return SETTINGS | {"family-info": family}


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, backends=10, slices=80)
    program = platform.start(settings=settings_with_message_limit())
    eventually(lambda: program.said("phase", now="serving"))
    eventually(lambda: platform.calls)
    yield platform
    platform.close()


def cut_off_relay(platform, duration_s, slices_reassigned, *drained):
    """Cut the relay off; backends that drain meanwhile cause one call without a response, and further ones
    that wait."""
    platform.taken_away = slices_reassigned
    platform.cut_off = True
    for backend in drained:
        platform.change(backend, "DRAINING")
        time.sleep(duration_s / len(drained))
    platform.cut_off = False


def measure_drain(platform, backend):
    """Drain a backend and return the seconds until no table has a route to it."""
    started_at = time.monotonic()
    platform.change(backend, "DRAINING")
    eventually(lambda: not any(backend in table for table in platform.tables.values()))
    return time.monotonic() - started_at


def is_within_message_limit(times):
    return all(late - early > WINDOW_S for early, late in zip(times, times[MAX_MESSAGES:]))


@pytest.mark.parametrize("slices_reassigned", [True, False])
def test_drain_reported_after_an_outage_meets_its_time_limit(platform, slices_reassigned):
    """The outage is as long as in the incident report, and the drain follows as soon after it."""
    cut_off_relay(platform, 4.5, slices_reassigned, "b0", "b1", "b2")
    time.sleep(0.7)
    assert [measure_drain(platform, backend) < GRACE_S - TRANSIT_S for backend in ("b3", "b4")] == [True] * 2
    assert is_within_message_limit(platform.times)


def test_drain_meets_its_time_limit_while_responses_are_lost(platform):
    """The relay is reachable and applies calls, but sends no readable response."""
    platform.marks_told = False
    platform.relay_faults += ["silent done", "garbage done", "reset done", "silent"] * 3
    assert [measure_drain(platform, f"b{n}") < GRACE_S - TRANSIT_S for n in range(4)] == [True] * 4
    assert is_within_message_limit(platform.times)
