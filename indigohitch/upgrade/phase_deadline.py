"""The one deadline of a phase of an upgrade."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..net.loop import Deadline, EventLoop


class PhaseDeadline:
    """Holds at most one timer of the loop: the deadline of the current phase."""

    def __init__(self, loop: EventLoop, timeouts: Mapping[str, int], overdue: Callable[[], None]) -> None:
        """Takes the timeouts in ticks by name; `overdue` is called when an armed one has passed."""
        self.loop = loop
        self.timeouts = timeouts
        self.overdue = overdue
        self.deadline: Deadline | None = None

    def arm(self, name: str | None) -> None:
        """Replaces the deadline by that of the named timeout; None: the phase has no deadline."""
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.loop.call_after(self.timeouts[name], self.overdue) if name else None
