"""When a proxy may get its next message, where the settings bound how many it gets within a window.

A bare count over the window lets a burst use it up, and an urgent message then waits until the burst has left
the window. As in a token bucket, a part may go at once, the burst, and the rest is refilled evenly: the next
message is never further away than `refill_interval`. Ordinary messages leave half of the
burst to urgent ones.
"""

from __future__ import annotations

import math
from collections import deque


class MessageRateLimit:
    """A token bucket that also keeps the bound over any window; max_messages 0: no bound."""

    # Of the messages of a window, what may go at once: with twelve in ten seconds four, and the others are
    # refilled one in 1.3 s. A drain has three seconds, of which a message takes up to 0.4 s on its way.
    BURST = 1 / 3

    def __init__(self, max_messages: int, window: int) -> None:
        self.max_messages = max_messages
        self.window = window  # in ticks
        self.burst = max(1, int(max_messages * self.BURST))
        self.reserve = self.burst // 2  # left to urgent messages
        self.refill_interval = window / max(1, max_messages - self.burst)  # until one more may go
        self.sent: deque[int] = deque()  # when messages were sent, those of the last window at least

    def free_at(self, now: int, urgent: bool) -> int:
        """Return from when on one more message may go; `now` at the earliest."""
        self._forget(now)
        if not self.max_messages:
            return now
        tokens, counted_at = self._tokens()
        available = min(self.burst, tokens + (now - counted_at) / self.refill_interval)
        missing = 1 + (0 if urgent else self.reserve) - available
        free = now + max(0, math.ceil(missing * self.refill_interval))
        if len(self.sent) >= self.max_messages:
            free = max(free, self.sent[-self.max_messages] + self.window)
        return free

    def record_sent(self, now: int) -> None:
        """Count a message."""
        self.sent.append(now)

    def undo_last(self) -> None:
        """Remove the last message, which was surely not sent."""
        self.sent.pop()

    def _tokens(self) -> tuple[float, int]:
        """Return how many tokens were left right after the last message, and when that was."""
        tokens = float(self.burst)
        counted_at = self.sent[0] if self.sent else 0
        for sent_at in self.sent:
            # Never below none: another process may have sent more than this pace allows.
            refilled = min(float(self.burst), tokens + (sent_at - counted_at) / self.refill_interval)
            tokens = max(0.0, refilled - 1.0)
            counted_at = sent_at
        return tokens, counted_at

    def _forget(self, now: int) -> None:
        while self.sent and self.sent[0] <= now - self.window:
            self.sent.popleft()
