"""Steps one state machine on the loop: inputs one after the other, also those that come while the outputs of
one are being carried out, and `Due` when the machine wants it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from ...net.due_timer import DueTimer
from ...net.loop import EventLoop
from .interfaces import Tick


class Machine(Protocol):
    due: int | None

    def step(self, now: int, input) -> list: ...


class MachineDriver:
    def __init__(self, loop: EventLoop, machine: Machine, execute: Callable[[object], None]) -> None:
        self.loop = loop
        self.machine = machine
        self.execute = execute
        self.pending: deque = deque()
        self.busy = False
        self.stopped = False
        self.timer = DueTimer(loop, lambda: self.machine.due, lambda: self.step(Tick()))

    def step(self, input) -> None:
        if self.stopped:
            return
        self.pending.append(input)
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
        self.stopped = True
        self.pending.clear()
        self.timer.cancel()
