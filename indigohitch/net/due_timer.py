"""A timer for a state machine that reports when its next step is due."""

from __future__ import annotations

from collections.abc import Callable

from .clock import Ticks
from .loop import Deadline, EventLoop


class DueTimer:
    """Steps a state machine when it is due.

    `due()` returns the latest time of the next step, None if only another event causes one.  If that time
    moves to a later one, the deadline that is set stays and checks the time again when it expires.
    """

    def __init__(self, loop: EventLoop, due: Callable[[], Ticks | None], step: Callable[[], None]) -> None:
        self.loop = loop
        self.due = due
        self.step = step
        self.deadline: Deadline | None = None

    def arm(self) -> None:
        """Sets the deadline; the owner calls this after each step of the state machine."""
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
        """Cancels the deadline, if one is set."""
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
