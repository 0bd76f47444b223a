"""Drives one state machine on the event loop.

Events are handled one at a time, also those that arrive while outputs are executed.  `Tick` is sent when the
machine is due.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ...net.due_timer import DueTimer
from ...net.loop import EventLoop
from .interfaces import Tick


class Machine(Protocol):
    """Interface of the distributor's and the subscriber's state machines."""

    due: int | None

    def step(self, now: int, event: object) -> list:
        """Handles one event and returns the outputs in order."""


class MachineDriver:
    """Passes events to a state machine and executes its outputs."""

    def __init__(self, loop: EventLoop, machine: Machine, execute: Callable[[object], None]) -> None:
        self.loop = loop
        self.machine = machine
        self.execute = execute
        self.pending: deque = deque()
        self.busy = False
        self.stopped = False
        self.timer = DueTimer(loop, lambda: self.machine.due, lambda: self.step(Tick()))

    def step(self, event: object) -> None:
        """Handles an event now, or after those that are in progress."""
        if self.stopped:
            return
        self.pending.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.pending:
                for output in self.machine.step(self.loop.clock.now(), self.pending.popleft()):
                    self.execute(output)
        finally:
            self.busy = False
        self.timer.arm()

    def stop(self) -> None:
        """Drops pending events and stops the timer."""
        self.stopped = True
        self.pending.clear()
        self.timer.cancel()
