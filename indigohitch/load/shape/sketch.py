"""The most frequent of many keys in bounded memory.  No I/O.

Space-Saving (Metwally, Agrawal, El Abbadi 2005): `size` counters; a key without one takes over the smallest
and its count.  A count is never too low, too high by N / size at the most; what is more frequent is there."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

K = TypeVar("K")


class Frequent(Generic[K]):
    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError("a sketch needs a counter")
        self.size, self.total = size, 0
        self.counts: dict[K, int] = {}
        self.over: dict[K, int] = {}  # by how much a count may be too high
        self._heap: list[tuple[int, int, K]] = []  # lazy: a count here may be old, then it is lower
        self._order = 0

    def add(self, key: K, times: int = 1) -> None:
        self.total += times
        counts = self.counts
        if key in counts:
            counts[key] += times  # the heap learns of it when the key comes up
            return
        if len(counts) < self.size:
            counts[key], self.over[key] = times, 0
        else:
            least, old = self._smallest()
            del counts[old], self.over[old]
            counts[key], self.over[key] = least + times, least
        self._order += 1
        heappush(self._heap, (counts[key], self._order, key))
        if len(self._heap) > 4 * self.size + 16:
            self._heap = [(count, n, key) for n, (key, count) in enumerate(counts.items())]
            self._order = len(self._heap)
            heapify(self._heap)

    def _smallest(self) -> tuple[int, K]:
        while True:
            count, _, key = heappop(self._heap)
            now = self.counts.get(key)
            if now == count:
                return count, key
            if now is not None:
                self._order += 1
                heappush(self._heap, (now, self._order, key))

    def most(self, many: int) -> list[tuple[K, int, int]]:
        """(key, count, by how much it may be too high), the most frequent first."""
        top = sorted(self.counts.items(), key=lambda pair: -pair[1])[:many]
        return [(key, count, self.over[key]) for key, count in top]

    def bound(self) -> float:
        return self.total / self.size
