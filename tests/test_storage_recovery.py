"""Recovery of a log whose end is torn by a crash, or whose bytes the disk has damaged."""

import os
import random

import pytest

from disks import Bench, entry, held
from indigohitch.fleet.raft.interfaces import HardState, WriteEntries
from indigohitch.fleet.storage.records import CorruptStorageError


def small_log(folder, seed=1, writes=8):
    """Writes a log; returns its path and, after each write, (size of the segment, hard state, terms)."""
    rng = random.Random(seed)
    bench = Bench(folder).founded()
    states = []
    path = f"{folder}/log-000000000001"
    last = 0
    term = 1
    states.append((os.path.getsize(path), HardState(0), []))
    terms = []
    for number in range(1, writes + 1):
        term += rng.random() < 0.3
        truncate_from = rng.randint(1, last) if last and rng.random() < 0.2 else 0
        terms = terms[: truncate_from - 1] if truncate_from else terms
        new = tuple(
            entry(len(terms) + n, term, rng.randbytes(rng.randint(0, 90)))
            for n in range(1, rng.randint(1, 4))
        )
        hard_state = HardState(term) if rng.random() < 0.5 else None
        terms, last = terms + [e.term for e in new], len(terms) + len(new)
        bench.wrote(WriteEntries(number, hard_state, truncate_from, new))
        states.append((os.path.getsize(path), hard_state or states[-1][1], list(terms)))
    bench.close()
    return path, states


def check_truncated(path, data, states, at):
    """A log that ends at byte `at` is recovered as it was after the last complete write."""
    with open(path, "wb") as file:
        file.write(data[:at])
    if at < states[0][0]:
        with pytest.raises(CorruptStorageError):
            held(os.path.dirname(path))
        return
    recovered = held(os.path.dirname(path))
    size, hard_state, terms = max((s for s in states if s[0] <= at), key=lambda s: s[0])
    assert (recovered.hard_state, [e.term for e in recovered.entries]) == (hard_state, terms)
    assert os.path.getsize(path) == size
    assert held(os.path.dirname(path)) == recovered


def test_a_log_truncated_at_any_byte_keeps_its_complete_writes(tmp_path):
    path, states = small_log(tmp_path, writes=5)
    data = open(path, "rb").read()
    for at in range(len(data)):
        check_truncated(path, data, states, at)


@pytest.mark.parametrize("seed", range(20))
def test_a_random_log_truncated_at_random_bytes_keeps_its_complete_writes(tmp_path, seed):
    path, states = small_log(tmp_path, seed, 30)
    data, rng = open(path, "rb").read(), random.Random(seed)
    for _ in range(10):
        check_truncated(path, data, states, rng.randrange(len(data)))


def test_a_torn_last_record_is_removed(tmp_path):
    """Pages of a record may reach the disk out of order: its end may be there and its middle missing."""
    path, states = small_log(tmp_path)
    data = bytearray(open(path, "rb").read())
    begin = states[-2][0]
    data[begin + 30 : begin + 40] = bytes(10)
    open(path, "wb").write(data)
    assert [e.term for e in held(tmp_path).entries] == states[-2][2]


def test_damage_before_the_last_record_is_reported_with_location_and_remedy(tmp_path):
    path, states = small_log(tmp_path)
    data, rng = open(path, "rb").read(), random.Random(3)
    for _ in range(200):
        at = rng.randrange(states[-2][0])
        damaged = bytearray(data)
        damaged[at] ^= 1 << rng.randrange(8)
        open(path, "wb").write(damaged)
        with pytest.raises(CorruptStorageError) as raised:
            held(tmp_path)
        assert raised.value.remedy and "log-000000000001" in raised.value.location
    open(path, "wb").write(data)
    assert held(tmp_path) is not None
