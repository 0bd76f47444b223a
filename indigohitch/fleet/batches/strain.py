"""Strain of the interactive RPCs, as one member feels it: its latency against its own calm.  No I/O.

No one is asked: what is felt here pauses the batches here, within a window."""
from __future__ import annotations

from ...net.clock import SECOND

WINDOW = SECOND // 4            # at ten interactive RPCs a second two or three are in it
LEAST = 4                       # fewer say nothing of a window; it goes on into the next
# Tails of 1.25 are not to be had: at 1.15 of the calm level, and half a ms against the clock's own grain.
OVER, GRAIN = 1.15, 5
CALM_FOR = 2 * SECOND           # so long below before batches go on: two windows may be luck
MEAN = 5 * SECOND               # what is told of the load is a mean over this
SLOW = 16                       # windows over which the calm level follows what is calm
FORGETS = 400                   # windows of strain on end after which that is how it is now, and calm


class Strain:
    """`calm`: the level of the upper tenth of latencies in windows without strain, 0 before any was felt."""

    def __init__(self) -> None:
        self.calm = 0.0
        self.strained, self.since = False, 0        # since when it has been calm
        self.pauses = 0
        self.busy = False           # batches run here: what is felt may be their doing
        self._window: list[int] = []
        self._took, self._since, self._mean = 0, 0, 0
        self._until, self._in_a_row = 0, 0

    def felt(self, now: int, latency: int) -> None:
        """One interactive RPC was answered, `latency` after it came."""
        self._window.append(latency)
        self._took += latency
        self.turn(now)

    def at_once(self, now: int) -> int:
        """Hundredths of interactive RPCs under way at a time, over the last `MEAN` (Little's law)."""
        if now - self._since >= MEAN:
            self._mean = 100 * self._took // (now - self._since) if self._since else 0
            self._took, self._since = 0, now
        return self._mean

    def turn(self, now: int) -> bool:
        """Is there strain?  Silence counts as calm: nobody is there to be hurt."""
        if now >= self._until:
            if len(self._window) >= LEAST or not self._window:
                self.judge(now, sorted(self._window))
                self._window = []
            self._until = now + WINDOW
        if self.strained and now - self.since >= CALM_FOR:
            self.strained = False
        return self.strained

    def judge(self, now: int, window: list[int]) -> None:
        level = window[len(window) * 9 // 10] if window else 0
        if not self.calm:
            self.calm = float(level)
            return
        if level > self.calm * OVER + GRAIN:
            self._in_a_row += 1
            self.since = now
            if not self.strained:
                self.strained, self.pauses = True, self.pauses + 1
            if self._in_a_row > FORGETS:
                self.calm = float(level)
            return
        self._in_a_row = 0
        if 0 < level < self.calm or level and not self.busy:    # or batches would raise it step by step
            self.calm += (level - self.calm) / SLOW
