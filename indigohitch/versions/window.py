"""What a channel takes: messages in 10 s, lines unanswered, the stall for each line.  No I/O."""
from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from .terms import Channel, Message


class Window:
    """It outlives connections: the platform counts by relay."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.sent: deque[int] = deque()         # times, within the window
        self.free_at = 0                        # the stall of the last message is over

    def free(self, now: int, waiting: Iterable[Message]) -> bool:
        """Whether it takes one more message of the largest size."""
        while self.sent and self.sent[0] <= now - Channel.WINDOW:
            self.sent.popleft()
        if len(self.sent) >= self.channel.messages or now < self.free_at:
            return False
        lines = sum(message.lines() for message in waiting)
        return lines + self.channel.lines <= max(self.channel.queue, self.channel.lines)

    def opens(self, now: int) -> int | None:
        """When time alone frees it; None: it is free, but for answers."""
        if len(self.sent) >= self.channel.messages:
            return max(self.free_at, self.sent[0] + Channel.WINDOW)
        return self.free_at if self.free_at > now else None

    def takes(self, now: int, message: Message) -> None:
        self.sent.append(now)
        self.free_at = max(now, self.free_at) + self.channel.stall * message.lines()
