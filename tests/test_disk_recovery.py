"""What a crash or a harmed medium leaves of a member's log, and what is made of it."""

import os
import random

import pytest

from disks import Bench, entry, held
from indigohitch.fleet.raft.interfaces import HardState, WriteEntries
from indigohitch.fleet.storage.records import CorruptStorageError


def small_log(folder, seed=1, writes=8):
    """A log of so many writes, and what stood after each: bytes of the segment, ballot, terms of entries."""
    chance, bench, stood = random.Random(seed), Bench(folder).founded(), []
    path, last, term = f"{folder}/log-000000000001", 0, 1
    stood.append((os.path.getsize(path), HardState(0), []))
    terms = []
    for number in range(1, writes + 1):
        term += chance.random() < 0.3
        cut = chance.randint(1, last) if last and chance.random() < 0.2 else 0
        terms = terms[: cut - 1] if cut else terms
        new = tuple(
            entry(len(terms) + n, term, chance.randbytes(chance.randint(0, 90)))
            for n in range(1, chance.randint(1, 4))
        )
        ballot = HardState(term) if chance.random() < 0.5 else None
        terms, last = terms + [e.term for e in new], len(terms) + len(new)
        bench.wrote(WriteEntries(number, ballot, cut, new))
        stood.append((os.path.getsize(path), ballot or stood[-1][1], list(terms)))
    bench.close()
    return path, stood


def check_cut(path, data, stood, at):
    """A log that ends at `at` comes back as it stood after the last write that is there whole."""
    with open(path, "wb") as file:
        file.write(data[:at])
    if at < stood[0][0]:
        with pytest.raises(CorruptStorageError):
            held(os.path.dirname(path))
        return
    found = held(os.path.dirname(path))
    size, ballot, terms = max((s for s in stood if s[0] <= at), key=lambda s: s[0])
    assert (found.hard_state, [e.term for e in found.entries]) == (ballot, terms)
    assert os.path.getsize(path) == size
    assert held(os.path.dirname(path)) == found


def test_cut_at_every_byte(tmp_path):
    path, stood = small_log(tmp_path, writes=5)
    data = open(path, "rb").read()
    for at in range(len(data)):
        check_cut(path, data, stood, at)


@pytest.mark.parametrize("seed", range(20))
def test_cut_anywhere_seeded(tmp_path, seed):
    path, stood = small_log(tmp_path, seed, 30)
    data, chance = open(path, "rb").read(), random.Random(seed)
    for _ in range(10):
        check_cut(path, data, stood, chance.randrange(len(data)))


def test_a_last_record_half_written_is_cut(tmp_path):
    """Its pages need not reach the disk in order: its end may be there and its middle not."""
    path, stood = small_log(tmp_path)
    data = bytearray(open(path, "rb").read())
    begin = stood[-2][0]
    data[begin + 30 : begin + 40] = bytes(10)
    open(path, "wb").write(data)
    assert [e.term for e in held(tmp_path).entries] == stood[-2][2]


def test_a_harmed_middle_is_refused_with_place_and_remedy(tmp_path):
    path, stood = small_log(tmp_path)
    data, chance = open(path, "rb").read(), random.Random(3)
    for _ in range(200):
        at = chance.randrange(stood[-2][0])
        harmed = bytearray(data)
        harmed[at] ^= 1 << chance.randrange(8)
        open(path, "wb").write(harmed)
        with pytest.raises(CorruptStorageError) as refused:
            held(tmp_path)
        assert refused.value.remedy and "log-000000000001" in refused.value.location
    open(path, "wb").write(data)
    assert held(tmp_path) is not None
