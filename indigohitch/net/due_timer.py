"""The one deadline of a state machine that tells when it wants to be stepped."""

from __future__ import annotations

from collections.abc import Callable

from .loop import Deadline, EventLoop


class DueTimer:
    """`due()`: when the machine is to be stepped at the latest, None: not until something else happens.
    Where that has moved later, the deadline that stands looks again."""

    def __init__(self, loop: EventLoop, due: Callable[[], int | None], step: Callable[[], None]) -> None:
        self.loop, self.due, self.step = loop, due, step
        self.deadline: Deadline | None = None

    def arm(self) -> None:
        """After each step of the machine."""
        when = self.due()
        if when is None or self.deadline is not None and self.deadline.when <= when:
            return
        self.cancel()
        self.deadline = self.loop.call_at(when, self.passed)

    def passed(self) -> None:
        self.deadline = None
        when = self.due()
        if when is not None and self.loop.clock.now() >= when:
            self.step()
        self.arm()

    def cancel(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
            self.deadline = None
