"""Fleet time: it ignores clocks that jump, never goes back, and keeps its bounds on rate and offset."""

import random

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet import fleet_clock
from indigohitch.fleet.fleet_clock import (
    ClockTick,
    ExtrapolatedClock,
    FleetClock,
    FleetClockWork,
    next_fleet_time,
)
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from orderedlog import SECOND, World

HOUR = 3600 * SECOND
START_TIME = 10**13


def build(seed, names):
    def works(member):
        return [
            FleetClockWork(member.state_machine.parts["hours"], member.name, member.wall, lambda: set(names))
        ]

    return World(random.Random(seed), names, lambda: [FleetClock()], works)


def clock_error(world, member):
    return member.works[0].time(member.now()) - START_TIME - world.t


def run_checked(world, steps, before_step=lambda step: None, max_error=SECOND):
    last_times = {}
    for step in range(steps):
        before_step(step)
        world.step()
        for name, member in world.members.items():
            if not member.alive or member.stopped:
                continue
            time = member.works[0].time(member.now())
            key = (name, member.incarnation)
            assert time >= last_times.get(key, 0), "fleet time went back"
            last_times[key] = time
            if step > 100 and time and not member.cut:
                assert abs(clock_error(world, member)) < max_error, (
                    step,
                    name,
                    clock_error(world, member),
                )


@pytest.mark.parametrize("seed", range(6))
def test_a_clock_that_jumps_an_hour_does_not_change_fleet_time(seed):
    rng, names = random.Random(seed), ["a", "b", "c", "d", "e"][: 5 if seed % 2 else 3]
    world = build(seed, names)

    def before_step(step):
        if step == 150:
            world.members[rng.choice(names)].wall_off += rng.choice((-HOUR, HOUR))
        if step == 400:
            # Of three members two are left, one of which may have the wrong time.
            world.members[rng.choice(names[1:])].cut = True

    run_checked(world, 900, before_step)
    assert (
        len(
            {m.state_machine.digest() for m in world.members.values() if not m.cut and m.at == len(world.log)}
        )
        == 1
    )


@pytest.mark.parametrize("jump", [-HOUR, HOUR])
def test_the_leaders_own_clock_counts_as_one_of_the_readings(jump):
    world = build(3, ["a", "b", "c"])

    def before_step(step):
        if step == 200:
            world.leader().wall_off += jump

    run_checked(world, 600, before_step)


def test_without_a_majority_agreed_time_stops_and_each_member_extrapolates():
    world = build(1, ["a", "b", "c"])
    run_checked(world, 200)
    world.members["a"].cut = world.members["b"].cut = True
    before = world.members["c"].state_machine.time
    for _ in range(200):
        world.step()
    assert world.members["c"].state_machine.time <= before + 2 * SECOND
    assert abs(clock_error(world, world.members["c"])) < SECOND
    world.members["a"].cut = False
    run_checked(world, 300)
    assert abs(world.members["a"].state_machine.time - START_TIME - world.t) < 3 * SECOND


def test_after_all_members_were_down_the_wall_clocks_decide():
    world = build(2, ["a", "b", "c"])
    run_checked(world, 100)
    world.t += 3 * HOUR
    for name in world.members:
        world.start(name)  # replays the log: old ticks arrive all at once
    for _ in range(60):
        world.step()
    assert all(abs(clock_error(world, m)) < SECOND for m in world.members.values())


def test_the_time_of_a_single_member_is_slewed_after_a_jump():
    world = build(4, ["a"])
    run_checked(world, 100)
    world.members["a"].wall_off += HOUR
    for _ in range(100):
        world.step()
    assert abs(clock_error(world, world.members["a"])) <= 10 * SECOND / fleet_clock.SLEW_DIVISOR + 1000


def test_of_two_clocks_the_one_that_jumped_is_not_followed():
    clock = ExtrapolatedClock()
    for n in range(3):
        clock.tick(START_TIME + n * SECOND, n * SECOND)
    now = 3 * SECOND
    for jump in (-HOUR, HOUR):
        got = next_fleet_time(
            now, clock, {"a": (START_TIME + now, now), "b": (START_TIME + now + jump, now)}, ["a", "b", "c"]
        )
        assert got == START_TIME + now
    assert next_fleet_time(now, clock, {"a": (START_TIME, now)}, ["a", "b", "c"]) is None
    assert (
        next_fleet_time(
            now + 11 * SECOND, clock, {"a": (START_TIME, now), "b": (START_TIME, now)}, ["a", "b", "c"]
        )
        is None
    )


def test_the_state_machine_rejects_a_tick_that_is_not_later():
    part = FleetClock()
    state_machine = ReplicatedStateMachine([part])
    part.apply(None, "tick", ClockTick(10))
    with pytest.raises(InvalidRequestError):
        part.apply(None, "tick", ClockTick(10))
    assert state_machine.time == 10


@pytest.mark.parametrize(
    "safeguard, broken",
    [
        ("median_readings", lambda walls: (max(walls), max(walls))),
        ("median_readings", lambda walls: (walls[-1], walls[-1])),
        ("MAX_READING_AGE", 10**9),
    ],
)
def test_a_removed_safeguard_fails_a_test(monkeypatch, safeguard, broken):
    monkeypatch.setattr(fleet_clock, safeguard, broken)
    with pytest.raises(AssertionError):
        for seed in range(3):
            test_a_clock_that_jumps_an_hour_does_not_change_fleet_time(seed)
            test_of_two_clocks_the_one_that_jumped_is_not_followed()
