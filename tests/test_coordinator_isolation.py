"""Instances with settings far apart in one process: each acts as it does alone, to the byte, however they
come one between the other; and nothing at module or class level keeps what came with any of them."""

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
def nothing_is_kept_at_module_or_class_level():
    before = apart.kept()
    assert len(before) > 10 and "indigohitch.logic.event_handlers.EVENT_HANDLERS" in before
    yield
    assert apart.kept() == before


def ordered(one, now, events):
    return letters(one.handle(now, events))


def interleaved(who, days, split, make=instance, hand=ordered):
    """Each is made when its first batch comes; by place in `who`, what it ordered."""
    ones, at, out = {}, [0] * len(who), [[] for _ in who]
    for place in split:
        if place not in ones:
            ones[place] = make(who[place])
        now, events = days[who[place]][at[place]]
        out[place].append(hand(ones[place], now, events))
        at[place] += 1
    return out


@pytest.fixture
def short_days(monkeypatch):
    return [apart.day(place, monkeypatch, 5) for place in range(len(ALL))]


@pytest.mark.parametrize("who", PAIRS)
def test_two_under_every_split_of_a_short_day(short_days, who):
    days = [short(day, 6) for day in short_days]
    wanted = [alone(place, days[place]) for place in who]
    assert min(len(set(orders)) for orders in wanted) > 4 and wanted[0] != wanted[1]
    tried = 0
    for split in splits(6, 6):
        assert interleaved(who, days, split) == wanted, split
        tried += 1
    assert tried == 924


def test_three_under_every_split_of_a_shorter_day(short_days):
    days, who = [short(day, 3) for day in short_days], (0, 1, 2)
    wanted = [alone(place, days[place]) for place in who]
    tried = 0
    for split in splits(3, 3, 3):
        assert interleaved(who, days, split) == wanted, split
        tried += 1
    assert tried == 1680


@pytest.mark.parametrize("seed", range(6))
def test_three_under_drawn_splits_of_a_long_day(days, seed):
    who = (0, 1, 2)
    wanted = [alone(place, days[place]) for place in who]
    assert all(len(set(orders)) > 50 for orders in wanted)
    assert interleaved(who, days, shuffled(random.Random(seed), *map(len, days))) == wanted


def test_two_with_the_same_settings_share_nothing_either(days):
    """What an instance holds under the id of a backend is its own: the second hears less of it."""
    days = [days[0], days[0][:1] + days[0][40:]]
    wanted = [alone(0, day) for day in days]
    rng = random.Random(1)
    assert interleaved((0, 1), days, shuffled(rng, *map(len, days)), make=lambda who: instance(0)) == wanted


@pytest.mark.parametrize("seed", range(3))
def test_one_that_is_taken_over_between_the_others(days, seed):
    """Frozen and thawed in one process, as a copy is to try a state: it draws no chance of the others."""
    who, boots = (0, 1, 2), [parse_settings(settings)[0] for settings in ALL]

    def hand(one, now, events):
        made = letters(one.handle(now, events))
        again = thaw(freeze(one), boots[boots.index(one.settings)])
        one.__dict__.update(again.__dict__)
        return made

    assert interleaved(who, days, shuffled(random.Random(seed), *map(len, days)), hand=hand) == [
        alone(place, days[place]) for place in who
    ]


# ---- what stays in the process ---------------------------------------------------------------------


def test_what_is_handed_in_stays_as_it_was(days):
    boots = [parse_settings(settings) for settings in ALL]
    given = copy.deepcopy((ALL, boots, days))
    interleaved(
        (0, 1, 2),
        days,
        shuffled(random.Random(1), *map(len, days)),
        make=lambda place: Coordinator(7, boots[place][0]),
    )
    assert (ALL, boots, days) == given


# ---- two of the platform's fronts ------------------------------------------------------------------


def front(place, loop):
    """Its relay's calls and what it asks of others are kept as words; nothing goes out."""
    limits = {"cores": 1.0, "memory_mb": 64 << place, "sockets": 512 << place}
    made = Front(
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
    made.out = []
    methods = made.relay.methods
    made.relay.order = lambda orders: made.out.extend(encode_order(order, methods) for order in orders)
    made.probes.send = lambda backend, at: made.out.append(f"probe {backend} {made.probes.path}")
    made.discovery.subscribe = lambda on: made.out.append("subscribe")
    return made


def heard(front, now, events):
    front.out = []
    front.handle(now, events)
    return (
        tuple(front.out),
        front.log.counts["decision_rounds"],
        front.event_batch.min_interval,
        front.relay.channel_limits.message_rate.max_messages,
        front.relay.channel_limits.message_rate.window,
        sorted(front.known_names.methods),
        sorted(front.known_names.zones),
    )


@pytest.mark.parametrize("seed", range(3))
def test_fronts_in_one_process(days, seed):
    loop, made = EventLoop(Clock(), lambda broken: pytest.fail(repr(broken))), []

    def make(place):
        made.append(front(place, loop))
        return made[-1]

    wanted = [interleaved((place,), days, [0] * len(days[place]), make, heard)[0] for place in range(3)]
    assert all(len({words for words, *_ in orders}) > 5 for orders in wanted)
    split = shuffled(random.Random(seed), *map(len, days))
    assert interleaved((0, 1, 2), days, split, make, heard) == wanted
    for one in made:
        one.close()
