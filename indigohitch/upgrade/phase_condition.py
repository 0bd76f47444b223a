"""Waits for a condition during one phase of the old process."""

from __future__ import annotations

from collections.abc import Callable

from ..net.clock import SECOND
from ..net.loop import EventLoop
from .phases import Phase
from .predecessor import Predecessor


class PhaseCondition:
    """Polls a condition and feeds an event to the state machine once the condition holds."""

    POLL_INTERVAL = SECOND // 200  # ticks

    def __init__(self, loop: EventLoop, machine: Predecessor, step: Callable[[str], None]) -> None:
        """Stores the state machine and `step`, which feeds it an event."""
        self.loop = loop
        self.machine = machine
        self.step = step

    def poll(self, phase: Phase, is_ready: Callable[[], bool], event: str) -> None:
        """Feeds `event` once `is_ready()`; stops polling when the machine leaves `phase`."""
        if self.machine.phase is phase:
            if is_ready():
                self.step(event)
            else:
                self.loop.call_after(self.POLL_INTERVAL, lambda: self.poll(phase, is_ready, event))
