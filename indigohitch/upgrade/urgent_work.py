"""Cancels an upgrade that delays work with a time limit while the old process is frozen."""

from __future__ import annotations

from collections.abc import Callable

from ..net.clock import SECOND
from ..net.loop import EventLoop


class UrgentWorkMonitor:
    """Polls for urgent work while the process is frozen and refuses the upgrade when it waits too long."""

    POLL_INTERVAL = SECOND // 20  # ticks
    # A third of the shortest known drain grace; an upgrade without faults takes a tenth of that.
    MAX_WAIT = SECOND  # ticks

    def __init__(
        self, loop: EventLoop, has_urgent_work: Callable[[], bool | None], step: Callable[[str, str], None]
    ) -> None:
        """Stores the callbacks.

        `has_urgent_work` returns whether work with a time limit waits, or None once the process is no longer
        frozen.  `step(event, reason)` receives the event that cancels the upgrade.
        """
        self.loop = loop
        self.has_urgent_work = has_urgent_work
        self.step = step
        self.waiting_since = 0  # ticks; 0: no urgent work waits

    def begin(self) -> None:
        """Starts polling when the process is frozen."""
        self.waiting_since = 0
        self.poll()

    def poll(self) -> None:
        """Checks once, then either refuses the upgrade or schedules the next check."""
        urgent = self.has_urgent_work()
        if urgent is None:
            return
        now = self.loop.clock.now()
        self.waiting_since = (self.waiting_since or now) if urgent else 0
        if self.waiting_since and now - self.waiting_since >= self.MAX_WAIT:
            self.step("refused", "orders with a time limit were delayed too long")
        else:
            self.loop.call_after(self.POLL_INTERVAL, self.poll)
