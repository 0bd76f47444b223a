"""One file's clock: its entries at times that never step back for good.

A line that lies back a little was logged late and is sorted in; one far off is a stray; several that go on
from another time mean that the clock was set.  Forward that can't be told from a gap, but in daylight saving:
stamps without a zone that jump by an hour.  A gap is kept and counted; a replay may cut it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from ..entry import SECOND, Entry

WINDOW = 5 * SECOND  # how far back a line may lie: many servers log at the end of answers
GAP = 60 * SECOND  # without a line for so long: no fluctuation of a load worth replaying
CONFIRM = 3  # lines in a row that show that the clock was set; one may be a stray
HOUR, NEAR = 3600 * SECOND, 120 * SECOND  # a step of daylight saving, with the gap beside it


class FileClock:
    def __init__(self, rules: frozenset[str], counts: Counter[str]) -> None:
        self.rules, self.counts = rules, counts
        self.offset, self.last = 0, None  # added to stamps; the newest time so far
        self.pending: list[tuple[int, Entry]] = []  # from another time: strays, or the clock was set

    def feed(self, entry: Entry) -> Iterator[tuple[int, Entry]]:
        """What is sure now, each with its time; nearly in order, by WINDOW."""
        at = entry.stamp + self.offset
        if entry.ends and entry.took > 0 and "end-stamps" in self.rules:
            self.counts["end-stamps"] += 1
            at -= entry.took
        if self.last is None or self.near(at, self.last):
            yield from self.strays()
            yield self.sure(at, entry)
        elif self.pending and not self.near(at, self.pending[-1][0]):
            yield from self.strays()
            self.pending = [(at, entry)]
        else:
            self.pending.append((at, entry))
            if len(self.pending) >= CONFIRM:
                yield from self.was_set()

    @staticmethod
    def near(at: int, other: int) -> bool:
        return -WINDOW <= at - other <= GAP

    def sure(self, at: int, entry: Entry) -> tuple[int, Entry]:
        if self.last is not None and at < self.last:
            self.counts["out-of-order"] += entry.grain == 1 or at + entry.grain <= self.last
            if "out-of-order" not in self.rules:
                at = self.last  # as it stands in the file
        self.last = at if self.last is None else max(self.last, at)
        return at, entry

    def strays(self) -> Iterator[tuple[int, Entry]]:
        """Lines from another time, and the file goes on as before: they happened where they stand."""
        pending, self.pending = self.pending, []
        for at, entry in pending:
            self.counts["stray-line"] += 1
            yield self.sure(self.last, entry) if "stray-line" in self.rules else (at, entry)

    def was_set(self) -> Iterator[tuple[int, Entry]]:
        pending, self.pending = self.pending, []
        step = min(at for at, _ in pending) - self.last
        hour = pending[0][1].local and abs(abs(step) - HOUR) <= NEAR
        shift = 0
        if step < 0:
            rule = "dst-back" if hour else "clock-back"
            # Nobody knows how long it took meanwhile: an hour is given back, else the file goes on at once.
            shift = HOUR if hour and step + HOUR >= 0 else -step
        elif hour:
            rule, shift = "dst-forward", -min(HOUR, step)
        else:
            rule = "gap"  # kept: traffic does stop
        self.counts[rule] += 1
        if rule not in self.rules:
            shift = 0
        self.offset += shift
        if step + shift < -WINDOW:  # not to be repaired: time goes back here, and so be it
            self.last = None
        for at, entry in pending:
            yield self.sure(at + shift, entry)

    def flush(self) -> Iterator[tuple[int, Entry]]:
        """At the end of the file: fewer than CONFIRM lines after a real gap are a gap all the same."""
        if self.pending and self.pending[0][0] > self.last:
            yield from self.was_set()
        else:
            yield from self.strays()
