"""Fleet time: clocks that jump move nothing, it never goes back, and runs as fast as it says."""

import random

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet import fleet_clock
from indigohitch.fleet.fleet_clock import ClockTick, FleetClock, FleetClockWork, RunningClock, next_fleet_time
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from orderedlog import SECOND, World

HOUR = 3600 * SECOND
TRUE = 10**13


def world(seed, names):
    def works(member):
        return [
            FleetClockWork(member.state_machine.parts["hours"], member.name, member.wall, lambda: set(names))
        ]

    return World(random.Random(seed), names, lambda: [FleetClock()], works)


def off(w, member):
    return member.works[0].time(member.now()) - TRUE - w.t


def watched(w, steps, each=lambda step: None, most=SECOND):
    shown = {}
    for step in range(steps):
        each(step)
        w.step()
        for name, member in w.members.items():
            if not member.alive or member.stopped:
                continue
            time = member.works[0].time(member.now())
            key = (name, member.incarnation)
            assert time >= shown.get(key, 0), "went back"
            shown[key] = time
            if step > 100 and time and not member.cut:
                assert abs(off(w, member)) < most, (step, name, off(w, member))


@pytest.mark.parametrize("seed", range(6))
def test_a_clock_that_jumps_an_hour_moves_nothing(seed):
    rng, names = random.Random(seed), ["a", "b", "c", "d", "e"][: 5 if seed % 2 else 3]
    w = world(seed, names)

    def each(step):
        if step == 150:
            w.members[rng.choice(names)].wall_off += rng.choice((-HOUR, HOUR))
        if step == 400:
            w.members[rng.choice(names[1:])].cut = True  # two of three are left, one of them may be wrong

    watched(w, 900, each)
    assert (
        len({m.state_machine.digest() for m in w.members.values() if not m.cut and m.at == len(w.log)}) == 1
    )


@pytest.mark.parametrize("jump", [-HOUR, HOUR])
def test_the_leader_s_own_clock_counts_as_one(jump):
    w = world(3, ["a", "b", "c"])

    def each(step):
        if step == 200:
            w.leader().wall_off += jump

    watched(w, 600, each)


def test_without_a_majority_it_stands_in_the_state_machine_and_goes_on_in_each_member():
    w = world(1, ["a", "b", "c"])
    watched(w, 200)
    w.members["a"].cut = w.members["b"].cut = True
    before = w.members["c"].state_machine.time
    for _ in range(200):
        w.step()
    assert w.members["c"].state_machine.time <= before + 2 * SECOND
    assert abs(off(w, w.members["c"])) < SECOND
    w.members["a"].cut = False
    watched(w, 300)
    assert abs(w.members["a"].state_machine.time - TRUE - w.t) < 3 * SECOND


def test_after_the_whole_fleet_was_away_the_clocks_say():
    w = world(2, ["a", "b", "c"])
    watched(w, 100)
    w.t += 3 * HOUR
    for name in w.members:
        w.start(name)  # reads the log anew: old ticks come at once
    for _ in range(60):
        w.step()
    assert all(abs(off(w, m)) < SECOND for m in w.members.values())


def test_a_single_member_is_slewed():
    w = world(4, ["a"])
    watched(w, 100)
    w.members["a"].wall_off += HOUR
    for _ in range(100):
        w.step()
    assert abs(off(w, w.members["a"])) <= 10 * SECOND / fleet_clock.SLEW_DIVISOR + 1000


def test_of_two_clocks_the_one_that_jumped_is_not_followed():
    running = RunningClock()
    for n in range(3):
        running.tick(TRUE + n * SECOND, n * SECOND)
    now = 3 * SECOND
    for jump in (-HOUR, HOUR):
        got = next_fleet_time(
            now, running, {"a": (TRUE + now, now), "b": (TRUE + now + jump, now)}, ["a", "b", "c"]
        )
        assert got == TRUE + now
    assert next_fleet_time(now, running, {"a": (TRUE, now)}, ["a", "b", "c"]) is None
    assert (
        next_fleet_time(now + 11 * SECOND, running, {"a": (TRUE, now), "b": (TRUE, now)}, ["a", "b", "c"])
        is None
    )


def test_the_state_machine_refuses_a_tick_that_goes_back():
    part = FleetClock()
    state_machine = ReplicatedStateMachine([part])
    part.apply(None, "tick", ClockTick(10))
    with pytest.raises(InvalidRequestError):
        part.apply(None, "tick", ClockTick(10))
    assert state_machine.time == 10


@pytest.mark.parametrize(
    "guard, broken",
    [
        ("median_readings", lambda walls: (max(walls), max(walls))),
        ("median_readings", lambda walls: (walls[-1], walls[-1])),
        ("MAX_READING_AGE", 10**9),
    ],
)
def test_each_guard_taken_away_is_found(monkeypatch, guard, broken):
    monkeypatch.setattr(fleet_clock, guard, broken)
    with pytest.raises(AssertionError):
        for seed in range(3):
            test_a_clock_that_jumps_an_hour_moves_nothing(seed)
            test_of_two_clocks_the_one_that_jumped_is_not_followed()
