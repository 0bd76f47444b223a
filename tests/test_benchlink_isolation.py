"""Several instances on one wire, with settings far apart: the lines of each are those that it writes alone,
however their batches and messages come one between the other."""

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
    {ours: wire for wire, ours in table.items()}
    for table in (backend_lists._STATE, wire_messages._SCOPE, wire_messages._OUTCOME)
)


@pytest.fixture
def days(monkeypatch):
    return [apart.day(place, monkeypatch) for place in range(len(ALL))]


@pytest.fixture(autouse=True)
def nothing_is_kept_at_module_or_class_level():
    before = apart.kept()
    assert len(before) > 10 and "indigohitch.benchlink.backend_lists._STATE" in before
    yield
    assert apart.kept() == before


class Watched(Host):
    """Keeps what each instance heard too: a load report read by another's columns may change no order."""

    def __init__(self):
        super().__init__()
        self.heard = {}

    def _run(self, now, waiting, number):
        self.heard[number] = [repr(event) for event in waiting.get(number) or ()]
        super()._run(now, waiting, number)


def said(host):
    """By instance, what it heard and the lines that it wrote, since the last time."""
    found, host.heard = host.heard, {}
    for line in host.output:
        assert b"GiveIn" not in line, line
        found[msgspec.json.decode(line)["coordinator"]].append(line)
    host.output.clear()
    return found


def alone(batches, number):
    host, out = Watched(), []
    for now, batch in batches:
        host.handle_batch(now, flat(batch))
        out.append(said(host).get(number, []))
    return out


def interleaved(host, days, split):
    at, out = [0] * len(days), [[] for _ in days]
    for place in split:
        now, batch = days[place][at[place]]
        host.handle_batch(now, flat(batch))
        found = said(host)
        assert found.keys() <= {place}
        out[place].append(found.get(place, []))
        at[place] += 1
    return out


def test_three_under_every_split_of_a_short_day(monkeypatch):
    days = [batches(place, short(apart.day(place, monkeypatch, 5), 3 - place // 2)) for place in range(3)]
    wanted, tried = [alone(day, place) for place, day in enumerate(days)], 0
    assert all(len(set(map(tuple, orders))) == len(orders) for orders in wanted)
    for split in splits(3, 3, 2):
        assert interleaved(Watched(), days, split) == wanted, split
        tried += 1
    assert tried == 560


@pytest.mark.parametrize("seed", range(3))
def test_three_under_drawn_splits_of_a_long_day(days, seed):
    days = [batches(place, day) for place, day in enumerate(days)]
    wanted = [alone(day, place) for place, day in enumerate(days)]
    assert all(len(set(map(tuple, orders))) > 40 for orders in wanted)
    assert interleaved(Watched(), days, shuffled(random.Random(seed), *map(len, days))) == wanted


@pytest.mark.parametrize("seed", range(3))
def test_messages_of_three_in_each_batch(days, seed):
    """All three in one batch, message between message, each list under the same number."""
    days = [
        batches(place, [(now, events) for (now, _), (_, events) in zip(days[0], day)])
        for place, day in enumerate(days)
    ]
    count = min(map(len, days))
    wanted = [alone(day[:count], place) for place, day in enumerate(days)]
    host, rng, out = Watched(), random.Random(seed), [[] for _ in days]
    for n in range(count):
        left, mixed = [list(day[n][1]) for day in days], []
        for place in shuffled(rng, *map(len, left)):
            mixed += left[place].pop(0)
        host.handle_batch(days[0][n][0], mixed)
        found = said(host)
        for place in range(3):
            out[place].append(found.get(place, []))
    assert out == wanted


def test_one_that_comes_back_with_other_settings_is_a_new_one(days):
    """Under the number of one that was switched off, in the batch of its end or later."""
    host, other = Watched(), alone(batches(2, days[2], 0), 0)
    off = [incoming.decode(b'{"type":"PowerOff","coordinator":0}')]
    for together in (False, True):
        for now, batch in batches(1, days[1], 0)[:40]:
            host.handle_batch(now, flat(batch))
        said(host)
        if not together:
            host.handle_batch(now, off)
            assert not said(host) and not host.instances
        out = []
        for n, (now, batch) in enumerate(batches(2, days[2], 0)):
            host.handle_batch(now, [*(off if together and n == 0 else ()), *flat(batch)])
            out.append(said(host).get(0, []))
        assert out == other


OWN_PROCESS = """
import sys; sys.path[:0] = ["tests", "."]
import hashlib, pytest, apart, test_benchlink_isolation as wire
day = apart.day({0}, pytest.MonkeyPatch())
print(hashlib.blake2b(b"".join(apart.alone({0}, day))).hexdigest())
print(hashlib.blake2b(repr(wire.alone(wire.batches({0}, day), {0})).encode()).hexdigest())
"""


def test_each_as_in_a_process_of_its_own(days):
    """What the first one leaves in the process would be in all that is tried here, also of one alone."""

    def own(place):
        return subprocess.run(
            [sys.executable, "-c", OWN_PROCESS.format(place)],
            capture_output=True,
            check=True,
            text=True,
            cwd=Path(__file__).parents[1],
        ).stdout.split()

    wanted = [own(place) for place in range(3)]
    split = shuffled(random.Random(9), *map(len, days))
    ones, at, ordered = [apart.instance(place) for place in range(3)], [0] * 3, [b""] * 3
    for place in split:
        ordered[place] += apart.letters(ones[place].handle(*days[place][at[place]]))
        at[place] += 1
    lines = interleaved(Watched(), [batches(place, day) for place, day in enumerate(days)], split)
    assert wanted == [
        [hashlib.blake2b(one).hexdigest(), hashlib.blake2b(repr(other).encode()).hexdigest()]
        for one, other in zip(ordered, lines)
    ]
