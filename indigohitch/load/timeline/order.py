"""Sorting what is nearly in order, spreading whole seconds, merging files."""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush, merge

from ..entry import SECOND, Entry
from .clock import WINDOW, FileClock

Timed = tuple[int, Entry]


def sorted_within(timed: Iterable[Timed], window: int) -> Iterator[Timed]:
    """In order of time, at one time in the order they came; `window`: how far back one may lie."""
    heap: list[tuple[int, int, Entry]] = []
    newest = 0
    for place, (at, entry) in enumerate(timed):
        heappush(heap, (at, place, entry))
        newest = max(newest, at)
        while heap and heap[0][0] < newest - window:
            at, _, entry = heappop(heap)
            yield at, entry
    while heap:
        at, _, entry = heappop(heap)
        yield at, entry


def spread(timed: Iterable[Timed], draw: random.Random, counts: Counter[str]) -> Iterator[Timed]:
    """Stamps of whole seconds lie somewhere in their second: evenly drawn, in the order they came.  All at
    its start would be a burst that never was."""
    group: list[Timed] = []

    def out() -> Iterator[Timed]:
        places = sorted(draw.random() for _ in group)
        counts["spread-seconds"] += len(group)
        for (at, entry), place in zip(group, places):
            yield at + int(place * entry.grain), entry
        group.clear()

    for at, entry in timed:
        if group and group[0][0] != at:
            yield from out()
        if entry.grain > 1:
            group.append((at, entry))
        else:
            yield at, entry
    yield from out()


class Doubles:
    """The same request in several files, as where two of them are copies of one log in part.  Within one file
    the same line twice is two requests: the n-th in one file is the n-th in another."""

    MEMORY = 10 * SECOND

    def __init__(self, counts: Counter[str]) -> None:
        self.counts = counts
        self.seen: OrderedDict[tuple, tuple[int, Counter[int]]] = OrderedDict()

    def again(self, at: int, entry: Entry) -> bool:
        while self.seen and next(iter(self.seen.values()))[0] < at - self.MEMORY:
            self.seen.popitem(last=False)
        key = (
            entry.stamp,
            entry.method,
            entry.target,
            entry.client,
            entry.status,
            entry.size,
            entry.id,
            entry.took,
        )
        _, times = self.seen.setdefault(key, (at, Counter()))
        times[entry.file] += 1
        if any(times[file] >= times[entry.file] for file in times if file != entry.file):
            self.counts["duplicate"] += 1
            return True
        return False


def one_file(
    entries: Iterable[Entry], rules: frozenset[str], draw: random.Random, counts: Counter[str]
) -> Iterator[Timed]:
    """One file's entries in order of time."""
    clock = FileClock(rules, counts)

    def told() -> Iterator[Timed]:
        for entry in entries:
            yield from clock.feed(entry)
        yield from clock.flush()

    timed: Iterable[Timed] = sorted_within(told(), WINDOW + SECOND)
    if "spread-seconds" in rules:
        timed = sorted_within(spread(timed, draw, counts), SECOND)
    return iter(timed)


def timeline(
    files: list[Iterable[Entry]], rules: frozenset[str], seed: int, counts: Counter[str]
) -> Iterator[Timed]:
    """All files as one, in order of Unix time."""
    streams = [
        one_file(entries, rules, random.Random(seed * 1009 + place), counts)
        for place, entries in enumerate(files)
    ]
    doubles = Doubles(counts)
    for at, entry in merge(*streams, key=lambda timed: timed[0]):
        if len(files) < 2 or "duplicate" not in rules or not doubles.again(at, entry):
            yield at, entry
