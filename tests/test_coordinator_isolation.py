"""Tests that coordinators with very different settings do not affect each other in one process.

Each gives byte for byte the orders that it gives alone, however their batches are interleaved, and no module
or class keeps state of any of them.
"""

import copy
import os
import random
from itertools import combinations

import pytest

import apart
from apart import ALL, alone, instance, letters, short, shuffled, splits
from indigohitch.log import Log
from indigohitch.logic import Coordinator
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.call_codec import encode_order
from indigohitch.platform_protocol.front import Front
from indigohitch.settings import parse_settings
from indigohitch.upgrade.module_state import freeze, thaw
from waiting import free_address

PAIRS = list(combinations(range(len(ALL)), 2))


@pytest.fixture
def days(monkeypatch):
    return [apart.day(place, monkeypatch) for place in range(len(ALL))]


@pytest.fixture(autouse=True)
def state_of_modules_and_classes_is_unchanged():
    before = apart.kept()
    assert len(before) > 10 and "indigohitch.logic.event_handlers.EVENT_HANDLERS" in before
    yield
    assert apart.kept() == before


def encoded_orders(coordinator, now, events):
    return letters(coordinator.handle(now, events))


def run_interleaved(places, days, schedule, make=instance, handle=encoded_orders):
    """Runs the batches of the days at `places` in the order of `schedule`, which holds indexes of `places`.

    An instance is created at its first batch.  Returns the results of `handle` for each of `places`.
    """
    instances = {}
    next_batch = [0] * len(places)
    results = [[] for _ in places]
    for index in schedule:
        if index not in instances:
            instances[index] = make(places[index])
        now, events = days[places[index]][next_batch[index]]
        results[index].append(handle(instances[index], now, events))
        next_batch[index] += 1
    return results


@pytest.fixture
def short_days(monkeypatch):
    return [apart.day(place, monkeypatch, 5) for place in range(len(ALL))]


@pytest.mark.parametrize("places", PAIRS)
def test_two_coordinators_in_every_interleaving_of_a_short_day_act_as_alone(short_days, places):
    days = [short(day, 6) for day in short_days]
    expected = [alone(place, days[place]) for place in places]
    assert min(len(set(orders)) for orders in expected) > 4 and expected[0] != expected[1]
    count = 0
    for schedule in splits(6, 6):
        assert run_interleaved(places, days, schedule) == expected, schedule
        count += 1
    assert count == 924


def test_three_coordinators_in_every_interleaving_of_a_shorter_day_act_as_alone(short_days):
    days = [short(day, 3) for day in short_days]
    places = (0, 1, 2)
    expected = [alone(place, days[place]) for place in places]
    count = 0
    for schedule in splits(3, 3, 3):
        assert run_interleaved(places, days, schedule) == expected, schedule
        count += 1
    assert count == 1680


@pytest.mark.parametrize("seed", range(6))
def test_three_coordinators_in_random_interleavings_of_a_long_day_act_as_alone(days, seed):
    places = (0, 1, 2)
    expected = [alone(place, days[place]) for place in places]
    assert all(len(set(orders)) > 50 for orders in expected)
    assert run_interleaved(places, days, shuffled(random.Random(seed), *map(len, days))) == expected


def test_two_coordinators_with_the_same_settings_share_nothing(days):
    """Both see the same backend IDs, but the second receives only a part of the events."""
    days = [days[0], days[0][:1] + days[0][40:]]
    expected = [alone(0, day) for day in days]
    rng = random.Random(1)
    assert (
        run_interleaved((0, 1), days, shuffled(rng, *map(len, days)), make=lambda place: instance(0))
        == expected
    )


@pytest.mark.parametrize("seed", range(3))
def test_freezing_and_thawing_between_batches_of_others_changes_nothing(days, seed):
    """A copy for trying a state runs in the same process; it must not draw random numbers of the others."""
    places = (0, 1, 2)
    parsed_settings = [parse_settings(settings)[0] for settings in ALL]

    def handle(coordinator, now, events):
        orders = letters(coordinator.handle(now, events))
        thawed = thaw(freeze(coordinator), parsed_settings[parsed_settings.index(coordinator.settings)])
        coordinator.__dict__.update(thawed.__dict__)
        return orders

    assert run_interleaved(places, days, shuffled(random.Random(seed), *map(len, days)), handle=handle) == [
        alone(place, days[place]) for place in places
    ]


# ---- inputs ----------------------------------------------------------------------------------------


def test_inputs_are_not_modified(days):
    parsed_settings = [parse_settings(settings) for settings in ALL]
    before = copy.deepcopy((ALL, parsed_settings, days))
    run_interleaved(
        (0, 1, 2),
        days,
        shuffled(random.Random(1), *map(len, days)),
        make=lambda place: Coordinator(7, parsed_settings[place][0]),
    )
    assert (ALL, parsed_settings, days) == before


# ---- the platform's fronts -------------------------------------------------------------------------


def front(place, loop):
    """Creates a front that records its relay calls, probes and subscriptions as text and sends nothing."""
    limits = {"cores": 1.0, "memory_mb": 64 << place, "sockets": 512 << place}
    created = Front(
        loop,
        Log(loop.clock, f"n{place}", os.open(os.devnull, os.O_WRONLY)),
        {
            "name": f"n{place}",
            "listen": free_address(),
            "discovery": free_address(),
            "seed": f"{7 + place:x}",
            "known": {"generation": 1, "reset": True, "instances": []},
            "settings": ALL[place],
            "limits": limits,
            "store": {"address": free_address()},
        },
    )
    created.recorded = []
    methods = created.relay.methods
    created.relay.enqueue = lambda orders: created.recorded.extend(
        encode_order(order, methods) for order in orders
    )
    created.probes.send = lambda backend, due_at: created.recorded.append(
        f"probe {backend} {created.probes.path}"
    )
    created.discovery.subscribe = lambda enabled: created.recorded.append("subscribe")
    return created


def front_results(front, now, events):
    front.recorded = []
    front.handle(now, events)
    return (
        tuple(front.recorded),
        front.log.counts["decision_rounds"],
        front.event_batch.min_interval,
        front.relay.channel_limits.message_rate.max_messages,
        front.relay.channel_limits.message_rate.window,
        sorted(front.known_names.methods),
        sorted(front.known_names.zones),
    )


@pytest.mark.parametrize("seed", range(3))
def test_three_fronts_in_one_process_act_as_alone(days, seed):
    loop = EventLoop(Clock(), lambda error: pytest.fail(repr(error)))
    fronts = []

    def make(place):
        fronts.append(front(place, loop))
        return fronts[-1]

    expected = [
        run_interleaved((place,), days, [0] * len(days[place]), make, front_results)[0] for place in range(3)
    ]
    assert all(len({recorded for recorded, *_ in results}) > 5 for results in expected)
    schedule = shuffled(random.Random(seed), *map(len, days))
    assert run_interleaved((0, 1, 2), days, schedule, make, front_results) == expected
    for created in fronts:
        created.close()
