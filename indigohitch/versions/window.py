"""What a channel takes: messages in 10 s, lines unanswered, the stall for each line.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from ..logic.rate_limit import MessageRateLimit
from ..net.clock import SECOND
from .terms import Channel, Message

# A message counts so much longer than the window: one that was slow on the way and a quick one after it must
# not come within it.
SPREAD = SECOND // 2


class Window:
    """It outlives connections: the platform counts by relay."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        # It leaves messages to drains, as a module that orders without a pause takes all that there are.
        self.pace = MessageRateLimit(channel.messages, Channel.WINDOW + SPREAD)
        self.free_at = 0  # the stall of the last message is over

    def free(self, now: int, waiting: Iterable[Message], urgent: bool = False) -> bool:
        """Whether it takes one more message of the largest size."""
        if now < self.free_at or self.pace.free_at(now, urgent) > now:
            return False
        lines = sum(message.lines() for message in waiting)
        return lines + self.channel.lines <= max(self.channel.queue, self.channel.lines)

    def opens(self, now: int, urgent: bool = False) -> int | None:
        """When time alone frees it; None: it is free, but for answers."""
        opens = max(self.free_at, self.pace.free_at(now, urgent))
        return opens if opens > now else None

    def take(self, now: int, message: Message) -> None:
        self.pace.record_sent(now)
        self.free_at = max(now, self.free_at) + self.channel.stall * message.lines()

    def count_received(self, now: int, heard: int) -> None:
        """The relay heard more than this process has sent: another one did, before it."""
        for _ in range(heard - len(self.pace.sent)):
            self.pace.record_sent(now)
