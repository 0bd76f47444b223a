"""The one deadline of a state machine that reports when it is to be stepped."""

from __future__ import annotations

from collections.abc import Callable

from .clock import Ticks
from .loop import Deadline, EventLoop


class DueTimer:
    """Steps a state machine when it is due.

    `due()` returns the time of the next step at the latest, None if only another event leads to one.  Where
    that time has moved later, the deadline in place checks it again.
    """

    def __init__(self, loop: EventLoop, due: Callable[[], Ticks | None], step: Callable[[], None]) -> None:
        self.loop = loop
        self.due = due
        self.step = step
        self.deadline: Deadline | None = None

    def arm(self) -> None:
        """Sets the deadline; to be called after each step of the machine."""
        when = self.due()
        if when is None or self.deadline is not None and self.deadline.when <= when:
            return
        self.cancel()
        self.deadline = self.loop.call_at(when, self._expire)

    def _expire(self) -> None:
        self.deadline = None
        when = self.due()
        if when is not None and self.loop.clock.now() >= when:
            self.step()
        self.arm()

    def cancel(self) -> None:
        """Drops the deadline."""
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
