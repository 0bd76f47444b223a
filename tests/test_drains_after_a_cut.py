"""Drains that are told soon after the relay was out of reach, under a limit on messages.

From an incident: what went again into the silence, and once a slice after it, used up the messages that a
proxy may get, and orders for draining backends waited behind it for seconds."""

import time

import pytest

from stage import SETTINGS, Platform
from waiting import eventually

GRACE = 3.0  # s, as in the settings below
WAY = 0.4  # of a message to the proxies, at the most
MOST, WINDOW = 12, 10.0  # messages to a proxy, within so many s


def limited():
    family = SETTINGS["family-info"] | {"messages-most": MOST, "counted-over": WINDOW * 1000}
    return SETTINGS | {"family-info": family}


@pytest.fixture
def platform(tmp_path):
    found = Platform(tmp_path, backends=10, slices=80)
    program = found.start(settings=limited())
    eventually(lambda: program.said("phase", now="serving"))
    eventually(lambda: found.calls)
    yield found
    found.close()


def cut_off(platform, span, taken_away, *drained):
    """For so many s; backends that drain in it make a call go out into the silence, and others wait."""
    platform.taken_away = taken_away
    platform.cut_off = True
    for backend in drained:
        platform.change(backend, "DRAINING")
        time.sleep(span / len(drained))
    platform.cut_off = False


def left_after(platform, backend):
    """How many s after its drain was told no table has a line there."""
    began = time.monotonic()
    platform.change(backend, "DRAINING")
    eventually(lambda: not any(backend in table for table in platform.tables.values()))
    return time.monotonic() - began


def within_the_limit(times):
    return all(late - early > WINDOW for early, late in zip(times, times[MOST:]))


@pytest.mark.parametrize("taken_away", [True, False])
def test_a_drain_told_after_a_cut_is_kept(platform, taken_away):
    """The cut is as long as in the report, the drain comes as soon after it."""
    cut_off(platform, 4.5, taken_away, "b0", "b1", "b2")
    time.sleep(0.7)
    assert [left_after(platform, backend) < GRACE - WAY for backend in ("b3", "b4")] == [True, True]
    assert within_the_limit(platform.times)


def test_a_drain_is_kept_while_answers_are_lost(platform):
    """The relay is in reach, carries out and answers nothing that can be read."""
    platform.marks_told = False
    platform.relay_faults += ["silent done", "garbage done", "reset done", "silent"] * 3
    assert [left_after(platform, f"b{n}") < GRACE - WAY for n in range(4)] == [True] * 4
    assert within_the_limit(platform.times)
