"""Rate limit of messages to a proxy, where the settings bound their number within a window.

With a plain count over the window a burst could use up the whole bound, and an urgent message would wait
until the burst has left the window. A token bucket instead allows a part of the bound as a burst and refills
the rest evenly, so that the next message waits no longer than `refill_interval`. Ordinary messages leave half
of the burst to urgent ones.
"""

from __future__ import annotations

import math
from collections import deque


class MessageRateLimit:
    """A token bucket that also keeps the bound over any window; `max_messages` 0 means no bound."""

    # Share of a window's messages that may be sent at once. Of twelve in ten seconds these are four, and one
    # token is refilled every 1.3 s: a drain must finish within 3 s, of which a message takes up to 0.4 s.
    BURST = 1 / 3

    def __init__(self, max_messages: int, window: int) -> None:
        self.max_messages = max_messages
        self.window = window  # in ticks
        self.burst = max(1, int(max_messages * self.BURST))
        self.reserve = self.burst // 2  # tokens that only urgent messages may use
        self.refill_interval = window / max(1, max_messages - self.burst)  # ticks per token
        self.sent: deque[int] = deque()  # send times, at least those within the last window

    def free_at(self, now: int, urgent: bool) -> int:
        """Returns the earliest time, not before `now`, at which one more message may be sent."""
        self._forget(now)
        if not self.max_messages:
            return now
        tokens, counted_at = self._tokens()
        available = min(self.burst, tokens + (now - counted_at) / self.refill_interval)
        missing = 1 + (0 if urgent else self.reserve) - available
        earliest = now + max(0, math.ceil(missing * self.refill_interval))
        if len(self.sent) >= self.max_messages:
            earliest = max(earliest, self.sent[-self.max_messages] + self.window)
        return earliest

    def record_sent(self, now: int) -> None:
        """Counts a message that was sent."""
        self.sent.append(now)

    def undo_last(self) -> None:
        """Removes the last message, which is known not to have been sent."""
        self.sent.pop()

    def _tokens(self) -> tuple[float, int]:
        """Returns the tokens that were left right after the last message, and the time of that message."""
        tokens = float(self.burst)
        counted_at = self.sent[0] if self.sent else 0
        for sent_at in self.sent:
            # Not below 0: another process may have sent more messages than this rate allows.
            refilled = min(float(self.burst), tokens + (sent_at - counted_at) / self.refill_interval)
            tokens = max(0.0, refilled - 1.0)
            counted_at = sent_at
        return tokens, counted_at

    def _forget(self, now: int) -> None:
        while self.sent and self.sent[0] <= now - self.window:
            self.sent.popleft()
