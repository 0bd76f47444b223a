"""What a channel takes: messages in 10 s, lines unanswered, the stall for each line.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from ..net.clock import SECOND
from .terms import Channel, Message

# A message counts so much longer than the window: one that was slow on the way and a quick one after it must
# not come within it.
SPREAD = SECOND // 2
# One message in four is left for drains: a module that orders without a pause fills the rest, and a drain has
# to leave within its grace, two or three messages for a backend with as many hundred lines.
RESERVE = 4


class Window:
    """It outlives connections: the platform counts by relay."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.sent: deque[int] = deque()  # times, within the window
        self.free_at = 0  # the stall of the last message is over

    def free(self, now: int, waiting: Iterable[Message], urgent: bool = False) -> bool:
        """Whether it takes one more message of the largest size."""
        while self.sent and self.sent[0] <= now - Channel.WINDOW - SPREAD:
            self.sent.popleft()
        if len(self.sent) >= self.room(urgent) or now < self.free_at:
            return False
        lines = sum(message.lines() for message in waiting)
        return lines + self.channel.lines <= max(self.channel.queue, self.channel.lines)

    def room(self, urgent: bool) -> int:
        """Messages in the window."""
        return self.channel.messages - (0 if urgent else self.channel.messages // RESERVE)

    def opens(self, now: int, urgent: bool = False) -> int | None:
        """When time alone frees it; None: it is free, but for answers."""
        if len(self.sent) >= (room := self.room(urgent)):
            return max(self.free_at, self.sent[len(self.sent) - room] + Channel.WINDOW + SPREAD)
        return self.free_at if self.free_at > now else None

    def take(self, now: int, message: Message) -> None:
        self.sent.append(now)
        self.free_at = max(now, self.free_at) + self.channel.stall * message.lines()

    def count_received(self, now: int, heard: int) -> None:
        """The relay heard more than this process has sent: another one did, before it."""
        self.sent.extend([now] * (heard - len(self.sent)))
