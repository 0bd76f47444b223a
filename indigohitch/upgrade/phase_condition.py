"""Waits for a condition as long as a phase of the old process lasts."""

from __future__ import annotations

from collections.abc import Callable

from ..net.clock import SECOND
from ..net.loop import EventLoop
from .phases import Phase
from .predecessor import Predecessor


class PhaseCondition:
    """Polls a condition and feeds an event to the state machine once it holds."""

    POLL_INTERVAL = SECOND // 200

    def __init__(self, loop: EventLoop, machine: Predecessor, step: Callable[[str], None]) -> None:
        """Takes the machine whose phase counts, and the function that feeds it an event."""
        self.loop = loop
        self.machine = machine
        self.step = step

    def poll(self, phase: Phase, is_ready: Callable[[], bool], event: str) -> None:
        """Feeds `event` once `is_ready()`, as long as the phase lasts."""
        if self.machine.phase is phase:
            if is_ready():
                self.step(event)
            else:
                self.loop.call_after(self.POLL_INTERVAL, lambda: self.poll(phase, is_ready, event))
