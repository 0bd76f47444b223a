"""How many lines may wait in the channel to the proxies, by all calls that went out, repeats among them.

The module counts what it orders, once.  A call whose outcome is unclear may have been carried out, and the
same again lies in the channel twice: two large ones together are more than the settings let wait there."""

from __future__ import annotations

from ..net.clock import SECOND


class Backlog:
    """At most `cap` lines (0: any number) may wait; they leave at `pace` lines a second."""

    def __init__(self, cap: float, pace: float) -> None:
        self.cap, self.pace = cap, pace
        self.lines, self.at = 0.0, 0  # that may wait, and when

    def _drain(self, now: int) -> None:
        self.lines = max(0.0, self.lines - (now - self.at) * self.pace / SECOND)
        self.at = now

    def sent(self, now: int, lines: int) -> None:
        self._drain(now)
        self.lines += lines

    def taken_back(self, lines: int) -> None:
        """What went out last was surely not carried out."""
        self.lines = max(0.0, self.lines - lines)

    def fits_at(self, now: int, lines: int) -> int:
        """From when on so many lines more may wait; what is more than the cap alone, once none does."""
        self._drain(now)
        over = self.lines - max(0.0, self.cap - lines)
        if not self.cap or not self.pace or over <= 0:
            return now
        return now + int(over * SECOND / self.pace) + 1
