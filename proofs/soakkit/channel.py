"""The channel from a relay to its proxies: messages wait in turn, leave at its pace and arrive in order."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop

from . import settings

Order = list[str]  # its word, and what follows


@dataclass(slots=True)
class Message:
    orders: Sequence[Order]
    lines: int
    leaves: int  # when all of it has left the channel


class Channel:
    def __init__(
        self, loop: EventLoop, chance: random.Random, arrived: Callable[[Sequence[Order]], None]
    ) -> None:
        self.loop, self.chance, self.arrived = loop, chance, arrived
        self.waiting: deque[Message] = deque()
        self.written: deque[int] = deque()  # when messages were written, within the window
        self.last_leaves = self.last_arrives = 0
        self.most_written = 0  # within any window
        self.most_lines = 0.0  # that waited at any time
        self.epoch = 0  # what is on its way is lost when the proxies leave

    def send(self, orders: Sequence[Order], proxies: int) -> None:
        now = self.loop.clock.now()
        lines = int((len(orders) + settings.ENVELOPE) * proxies)
        self._count(now)
        leaves = max(now, self.last_leaves) + int(lines / settings.PACE * SECOND)
        self.last_leaves = leaves
        self.waiting.append(Message(orders, lines, leaves))
        self._count_lines(now)
        way = int(self.chance.uniform(0.08, settings.WAY) * SECOND)
        self.last_arrives = max(leaves + way, self.last_arrives)
        epoch = self.epoch
        self.loop.call_at(self.last_arrives, lambda: self._arrive(orders, epoch))

    def _count(self, now: int) -> None:
        window = int(settings.WINDOW * SECOND)
        while self.written and self.written[0] <= now - window:
            self.written.popleft()
        self.written.append(now)
        self.most_written = max(self.most_written, len(self.written))

    def _count_lines(self, now: int) -> None:
        while self.waiting and self.waiting[0].leaves <= now:
            self.waiting.popleft()
        self.most_lines = max(self.most_lines, sum(message.lines for message in self.waiting))

    def _arrive(self, orders: Sequence[Order], epoch: int) -> None:
        if epoch == self.epoch:
            self.arrived(orders)

    def lost(self) -> None:
        """The streams to the proxies broke: nothing that waits or travels arrives, and they count anew."""
        self.epoch += 1
        self.waiting.clear()
        self.written.clear()
        self.last_leaves = self.last_arrives = 0
