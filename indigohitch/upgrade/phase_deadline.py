"""The deadline of the current phase of an upgrade."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..net.loop import Deadline, EventLoop


class PhaseDeadline:
    """Holds the timer of the current phase, if the phase has a timeout."""

    def __init__(self, loop: EventLoop, timeouts: Mapping[str, int], on_timeout: Callable[[], None]) -> None:
        """Stores the timeouts by name, in ticks; `on_timeout` is called when an armed deadline passes."""
        self.loop = loop
        self.timeouts = timeouts
        self.on_timeout = on_timeout
        self.deadline: Deadline | None = None

    def arm(self, name: str | None) -> None:
        """Replaces the deadline by the named timeout from now; None removes the deadline."""
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.loop.call_after(self.timeouts[name], self.on_timeout) if name else None
