"""How soon a proxy may get another message, where the settings bound how many it gets within a window.

A bare count over the window lets a burst use it up, and what is urgent then waits until the burst has left
the window.  Here a part may go at once, the burst, and the rest comes back evenly, as in a token bucket: the
next message is never further away than `regain`.  What is not urgent leaves half of the burst to what is."""

from __future__ import annotations

import math
from collections import deque


class MessageRateLimit:
    # Of the messages of a window, what may go at once: with twelve in ten seconds four, and the others come
    # back one in 1.3 s.  A drain has three seconds, of which a message takes up to 0.4 s on its way.
    BURST = 1 / 3

    def __init__(self, most: int, window: int) -> None:
        """`most` messages (0: any number) within any span of `window` tenths of a ms."""
        self.max_messages, self.window = most, window
        self.burst = max(1, int(most * self.BURST))
        self.reserve = self.burst // 2  # left to what is urgent
        self.refill_interval = window / max(1, most - self.burst)  # until one more may go
        self.sent: deque[int] = deque()  # when messages went out, those of the last window at least

    def free_at(self, now: int, urgent: bool) -> int:
        """From when on one more may go; now at the earliest."""
        self._forget(now)
        if not self.max_messages:
            return now
        tokens, at = self._tokens()
        short = (
            1 + (0 if urgent else self.reserve) - min(self.burst, tokens + (now - at) / self.refill_interval)
        )
        free = now + max(0, math.ceil(short * self.refill_interval))
        if len(self.sent) >= self.max_messages:
            free = max(free, self.sent[-self.max_messages] + self.window)
        return free

    def record_sent(self, now: int) -> None:
        """One goes out."""
        self.sent.append(now)

    def undo_last(self) -> None:
        """The last one surely did not."""
        self.sent.pop()

    def _tokens(self) -> tuple[float, int]:
        """How many might have gone right after the last one went, and when that was."""
        tokens, at = float(self.burst), self.sent[0] if self.sent else 0
        for when in self.sent:
            # Never below none: more may have gone by another process than would have by this pace.
            tokens = max(0.0, min(float(self.burst), tokens + (when - at) / self.refill_interval) - 1.0)
            at = when
        return tokens, at

    def _forget(self, now: int) -> None:
        while self.sent and self.sent[0] <= now - self.window:
            self.sent.popleft()
