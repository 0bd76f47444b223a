"""The one deadline of a phase of an upgrade."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..net.loop import Deadline, EventLoop


class PhaseDeadline:
    def __init__(self, loop: EventLoop, waits: Mapping[str, int], overdue: Callable[[], None]) -> None:
        """`waits`: spans in tenths of a ms by name."""
        self.loop, self.waits, self.overdue = loop, waits, overdue
        self.deadline: Deadline | None = None

    def arm(self, name: str | None) -> None:
        """In place of the one before; None: the phase has none."""
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.loop.call_after(self.waits[name], self.overdue) if name else None
