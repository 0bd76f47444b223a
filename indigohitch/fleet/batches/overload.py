"""Strain of the interactive RPCs, as one member feels it: its latency against its own calm.  No I/O.

No one is asked: some slow RPCs, one soon after the other, pause the batches here at once.  A cumulative sum
(Page 1954) tells them from the odd slow one: it grows with each RPC over the line, else it shrinks."""

from __future__ import annotations

from ...net.clock import SECOND

FIRST = 32  # RPCs from which the first calm level is taken
OVER, GRAIN = 1.15, 10  # the line: so much above the calm level, and a ms against the clocks' noise
# In calm one in ten is over the level, fewer over the line: the sum falls by 0.2 an RPC, and six in a row or
# half of twenty raise it to the mark.  Capped, so that it is gone after 36 good ones.
GOOD, MARK, MOST = 1 / 3, 6.0, 12.0
SILENT = SECOND  # without interactive RPCs for so long nobody is there to be hurt
# The level follows its tenth by 1 in so many of itself an RPC: a burst of seconds hardly moves it.
SLOW = 512
MEAN = 5 * SECOND  # what is told of the load is a mean over this


class OverloadDetector:
    """`calm`: the latency that one in ten RPCs exceeds while no batch runs here; 0 before it is known."""

    def __init__(self) -> None:
        self.calm, self.sum = 0.0, 0.0
        self.strained = self.busy = False  # busy: batches run here, what is felt may be their doing
        self.pauses = 0
        self._first: list[int] = []
        self._felt = 0
        self._took, self._since, self._mean = 0, 0, 0

    def felt(self, now: int, latency: int) -> None:
        """One interactive RPC was answered, `latency` after it came."""
        self._felt = now
        self._took += latency
        if not self.calm:
            self._first.append(latency)
            if len(self._first) >= FIRST:
                self.calm = float(sorted(self._first)[FIRST * 9 // 10])
            return
        if latency > self.calm * OVER + GRAIN:
            self.sum = min(MOST, self.sum + 1)
        else:
            self.sum = max(0.0, self.sum - GOOD)
        if latency <= self.calm:
            self.calm -= self.calm / SLOW / 10
        elif not self.busy:  # or batches would raise it step by step
            self.calm += self.calm / SLOW * 9 / 10
        self.judge()

    def judge(self) -> None:
        if not self.strained and self.sum >= MARK:
            self.strained, self.pauses = True, self.pauses + 1
        elif self.strained and self.sum <= 0:
            self.strained = False

    def turn(self, now: int) -> bool:
        """Is there strain?"""
        if now - self._felt >= SILENT:
            self.sum = 0.0
            self.judge()
        return self.strained

    def at_once(self, now: int) -> int:
        """Hundredths of interactive RPCs under way at a time, over the last `MEAN` (Little's law)."""
        if now - self._since >= MEAN:
            self._mean = 100 * self._took // (now - self._since) if self._since else 0
            self._took, self._since = 0, now
        return self._mean
