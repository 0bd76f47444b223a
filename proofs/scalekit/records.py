"""What one hollow subscriber went through: when it came to which version, whether it ever went back, and how
long it was without a distributor."""

from __future__ import annotations

import time
from array import array
from bisect import bisect_left


def clock() -> int:
    """Tenths of a millisecond of the machine's monotonic clock, the same in all processes."""
    return time.monotonic_ns() // 100_000


class Record:
    def __init__(self) -> None:
        self.indexes, self.times = array("q"), array("q")  # versions, ascending, and when each was applied
        self.since = 0  # the record is whole from then on
        self.outages: list[tuple[int, int]] = []  # when it was served no more, and when it was again
        self.lost_at = 0  # 0: it is served, or never was
        self.older = self.wholes = 0  # older versions applied; whole scopes sent though something was held
        self.tampered = False  # the proof has changed what it holds
        self.claims = 0  # a version that never was: it may go back from that, once

    def applied(self, at: int, index: int) -> None:
        last = self.indexes[-1] if self.indexes else 0
        if self.claims and last == self.claims:
            self.claims, self.since = 0, at
            del self.indexes[:], self.times[:]
        elif index < last:
            self.older += 1
            return
        self.indexes.append(index)
        self.times.append(at)

    def stands(self, at: int, served: bool) -> None:
        """After each input of the machine."""
        if served and self.lost_at:
            self.outages.append((self.lost_at, at))
            self.lost_at = 0
        elif not served and not self.lost_at and self.times:
            self.lost_at = at

    def in_force(self, index: int) -> int | None:
        """When all changes up to that entry were in force; None: never."""
        at = bisect_left(self.indexes, index)
        return self.times[at] if at < len(self.times) else None
