"""Limits of a relay's channel: messages in 10 s, unanswered lines, and the stall for each line. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from ..logic.rate_limit import MessageRateLimit
from ..net.clock import SECOND
from .terms import Channel, Message

# A message counts this much longer than the window, so that a message that was delayed on the way and a quick
# one after it do not arrive within one window.
SPREAD = SECOND // 2


class Window:
    """Send window of one relay; it outlives connections, since the platform counts messages by relay."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        # Holds messages in reserve for drains, since a module that orders without a pause uses up all others.
        self.pace = MessageRateLimit(channel.messages, Channel.WINDOW + SPREAD)
        self.free_at = 0  # when the stall of the last message ends

    def free(self, now: int, waiting: Iterable[Message], urgent: bool = False) -> bool:
        """Returns whether the channel takes one more message of the largest size now."""
        if now < self.free_at or self.pace.free_at(now, urgent) > now:
            return False
        lines = sum(message.lines() for message in waiting)
        return lines + self.channel.lines <= max(self.channel.queue, self.channel.lines)

    def opens(self, now: int, urgent: bool = False) -> int | None:
        """Returns when time alone opens the window, or None if only answers are waited for, or nothing is."""
        opens = max(self.free_at, self.pace.free_at(now, urgent))
        return opens if opens > now else None

    def take(self, now: int, message: Message) -> None:
        """Counts a message sent now, and the stall that its lines cause."""
        self.pace.record_sent(now)
        self.free_at = max(now, self.free_at) + self.channel.stall * message.lines()

    def count_received(self, now: int, heard: int) -> None:
        """Counts messages that the relay received from an earlier process, beyond those sent by this one."""
        for _ in range(heard - len(self.pace.sent)):
            self.pace.record_sent(now)
