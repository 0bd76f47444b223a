"""How many lines may wait in the channel to the proxies, by all calls that went out, repeats among them.

The module counts what it orders, once.  A call whose outcome is unclear may have been carried out, and the
same again lies in the channel twice: two large ones together are more than the settings let wait there."""

from __future__ import annotations

from ..net.clock import SECOND


class Backlog:
    """At most `cap` lines (0: any number) may wait; they leave at `pace` lines a second."""

    # The rest of the cap is for what is not known here: proxies that join while a call is on its way, and a
    # call carried out later than it was sent.  The module fills 0.8 of the cap.
    SHARE = 0.9

    def __init__(self, cap: float, pace: float) -> None:
        self.most, self.pace = cap * self.SHARE, pace
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

    def most_orders(self, proxies: int, head: int) -> int | None:
        """Of a call with `head` more lines to each of so many; None: any number."""
        return int(self.most / proxies) - head if self.most and proxies else None

    def fits_at(self, now: int, lines: int) -> int:
        """From when on so many lines more may wait; what is too many alone, once none does."""
        self._drain(now)
        over = self.lines - max(0.0, self.most - lines)
        if not self.most or not self.pace or over <= 0:
            return now
        return now + int(over * SECOND / self.pace) + 1
