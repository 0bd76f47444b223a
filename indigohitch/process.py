"""What every long-running command of the program is: named phases, one loop, and signals heard in it."""

from __future__ import annotations

import enum
import signal
import socket
import traceback

from .log import Log
from .net.clock import Clock
from .net.connection import READ
from .net.loop import EventLoop
from .net.transient_errors import retry_transient


class Process:
    SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)

    def __init__(self, phase: enum.Enum, name: str) -> None:
        self.phase = phase
        self.clock = Clock()
        self.log = Log(self.clock, name)
        self.loop = retry_transient(lambda: EventLoop(self.clock, self.failed), self.delayed)
        self._wake, wake = retry_transient(socket.socketpair, self.delayed)
        for end in (self._wake, wake):
            end.setblocking(False)
        self._woken_by = wake  # held, or it would close
        signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
        for number in self.SIGNALS:
            signal.signal(number, lambda *_: None)  # heard through the wakeup socket, in the loop
        self.loop.watch(self._wake, self, READ)

    def become(self, phase: enum.Enum) -> None:
        self.log.event("phase", was=self.phase.value, now=phase.value)
        self.phase = phase

    def delayed(self, error: OSError) -> None:
        """The start waits for what the system has not got just now."""
        self.log.warning("start_delayed", why=str(error))

    def failed(self, broken: BaseException) -> None:
        self.log.warning(
            "defect",
            error=f"{type(broken).__name__}: {broken}"[:500],
            trace="".join(traceback.format_exception(broken))[-2000:],
        )

    def ready(self, readable: bool, writable: bool) -> None:
        # Each once; which of two came first the kernel does not tell: by number, a reload before the end.
        for number in sorted(set(self._wake.recv(256))):
            self.loop.guarded(self.on_signal, number)  # the end is heard though a reload fails

    def on_signal(self, number: int) -> None:
        raise NotImplementedError
