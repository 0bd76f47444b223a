"""Tests that coordinators with very different settings do not affect each other on one pipe to the bench.

Each gives the lines that it gives alone, however their batches and messages are interleaved.
"""

import hashlib
import random
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

import apart
from apart import ALL, short, shuffled, splits
from bench_lines import batches, flat
from indigohitch.benchlink import backend_lists, incoming, wire_messages
from indigohitch.benchlink.host import Host

STATE, SCOPE, OUTCOME = (
    {internal: wire for wire, internal in table.items()}
    for table in (backend_lists._STATE, wire_messages._SCOPE, wire_messages._OUTCOME)
)


@pytest.fixture
def days(monkeypatch):
    return [apart.day(place, monkeypatch) for place in range(len(ALL))]


@pytest.fixture(autouse=True)
def state_of_modules_and_classes_is_unchanged():
    before = apart.kept()
    assert len(before) > 10 and "indigohitch.benchlink.backend_lists._STATE" in before
    yield
    assert apart.kept() == before


class RecordingHost(Host):
    """Records the events of each coordinator: a load report parsed by wrong columns may change no order."""

    def __init__(self):
        super().__init__()
        self.events = {}

    def _run(self, now, pending_events, number):
        self.events[number] = [repr(event) for event in pending_events.get(number) or ()]
        super()._run(now, pending_events, number)


def take_traffic(host):
    """Returns by coordinator the events that it received and the lines that it wrote since the last call."""
    traffic, host.events = host.events, {}
    for line in host.output:
        assert b"GiveIn" not in line, line
        traffic[msgspec.json.decode(line)["coordinator"]].append(line)
    host.output.clear()
    return traffic


def run_alone(day, number):
    host = RecordingHost()
    results = []
    for now, batch in day:
        host.handle_batch(now, flat(batch))
        results.append(take_traffic(host).get(number, []))
    return results


def run_interleaved(host, days, schedule):
    next_batch = [0] * len(days)
    results = [[] for _ in days]
    for place in schedule:
        now, batch = days[place][next_batch[place]]
        host.handle_batch(now, flat(batch))
        traffic = take_traffic(host)
        assert traffic.keys() <= {place}
        results[place].append(traffic.get(place, []))
        next_batch[place] += 1
    return results


def test_three_coordinators_in_every_interleaving_of_a_short_day_act_as_alone(monkeypatch):
    days = [batches(place, short(apart.day(place, monkeypatch, 5), 3 - place // 2)) for place in range(3)]
    expected = [run_alone(day, place) for place, day in enumerate(days)]
    count = 0
    assert all(len(set(map(tuple, results))) == len(results) for results in expected)
    for schedule in splits(3, 3, 2):
        assert run_interleaved(RecordingHost(), days, schedule) == expected, schedule
        count += 1
    assert count == 560


@pytest.mark.parametrize("seed", range(3))
def test_three_coordinators_in_random_interleavings_of_a_long_day_act_as_alone(days, seed):
    days = [batches(place, day) for place, day in enumerate(days)]
    expected = [run_alone(day, place) for place, day in enumerate(days)]
    assert all(len(set(map(tuple, results))) > 40 for results in expected)
    assert run_interleaved(RecordingHost(), days, shuffled(random.Random(seed), *map(len, days))) == expected


@pytest.mark.parametrize("seed", range(3))
def test_three_coordinators_with_interleaved_messages_in_each_batch_act_as_alone(days, seed):
    """All three use the same list number, so a list must be resolved before the next one replaces it."""
    days = [
        batches(place, [(now, events) for (now, _), (_, events) in zip(days[0], day)])
        for place, day in enumerate(days)
    ]
    count = min(map(len, days))
    expected = [run_alone(day[:count], place) for place, day in enumerate(days)]
    host = RecordingHost()
    rng = random.Random(seed)
    results = [[] for _ in days]
    for index in range(count):
        groups_left = [list(day[index][1]) for day in days]
        messages = []
        for place in shuffled(rng, *map(len, groups_left)):
            messages += groups_left[place].pop(0)
        host.handle_batch(days[0][index][0], messages)
        traffic = take_traffic(host)
        for place in range(3):
            results[place].append(traffic.get(place, []))
    assert results == expected


def test_a_restart_under_the_same_number_with_other_settings_starts_fresh(days):
    """The restart comes in the batch with the `PowerOff` message or in a later one."""
    host = RecordingHost()
    expected = run_alone(batches(2, days[2], 0), 0)
    power_off = [incoming.decode(b'{"type":"PowerOff","coordinator":0}')]
    for in_same_batch in (False, True):
        for now, batch in batches(1, days[1], 0)[:40]:
            host.handle_batch(now, flat(batch))
        take_traffic(host)
        if not in_same_batch:
            host.handle_batch(now, power_off)
            assert not take_traffic(host) and not host.instances
        results = []
        for index, (now, batch) in enumerate(batches(2, days[2], 0)):
            host.handle_batch(now, [*(power_off if in_same_batch and index == 0 else ()), *flat(batch)])
            results.append(take_traffic(host).get(0, []))
        assert results == expected


RUN_ALONE_SCRIPT = """
import sys; sys.path[:0] = ["tests", "."]
import hashlib, pytest, apart, test_benchlink_isolation as isolation
day = apart.day({0}, pytest.MonkeyPatch())
print(hashlib.blake2b(b"".join(apart.alone({0}, day))).hexdigest())
print(hashlib.blake2b(repr(isolation.run_alone(isolation.batches({0}, day), {0})).encode()).hexdigest())
"""


def test_interleaved_coordinators_act_as_in_separate_processes(days):
    """State left behind in this process would affect runs alone too, so these run in separate processes."""

    def digests_of_own_process(place):
        return subprocess.run(
            [sys.executable, "-c", RUN_ALONE_SCRIPT.format(place)],
            capture_output=True,
            check=True,
            text=True,
            cwd=Path(__file__).parents[1],
        ).stdout.split()

    expected = [digests_of_own_process(place) for place in range(3)]
    schedule = shuffled(random.Random(9), *map(len, days))
    coordinators = [apart.instance(place) for place in range(3)]
    next_batch = [0] * 3
    orders = [b""] * 3
    for place in schedule:
        orders[place] += apart.letters(coordinators[place].handle(*days[place][next_batch[place]]))
        next_batch[place] += 1
    lines = run_interleaved(
        RecordingHost(), [batches(place, day) for place, day in enumerate(days)], schedule
    )
    assert expected == [
        [hashlib.blake2b(encoded).hexdigest(), hashlib.blake2b(repr(results).encode()).hexdigest()]
        for encoded, results in zip(orders, lines)
    ]
