"""The base of each long-running command: named phases, one event loop, and signals handled in it."""

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
    """A process with a clock, a log and an event loop; subclasses handle signals."""

    SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)

    def __init__(self, phase: enum.Enum, name: str) -> None:
        self.phase = phase
        self.clock = Clock()
        self.log = Log(self.clock, name)
        self.loop = retry_transient(lambda: EventLoop(self.clock, self.failed), self.delayed)
        self._signal_reader, wake = retry_transient(socket.socketpair, self.delayed)
        for end in (self._signal_reader, wake):
            end.setblocking(False)
        self._signal_writer = wake  # referenced here, or it would be closed
        signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
        for number in self.SIGNALS:
            signal.signal(number, lambda *_: None)  # handled through the wakeup socket, in the loop
        self.loop.watch(self._signal_reader, self, READ)

    def become(self, phase: enum.Enum) -> None:
        """Enters a phase and logs it."""
        self.log.event("phase", was=self.phase.value, now=phase.value)
        self.phase = phase

    def delayed(self, error: OSError) -> None:
        """Logs that the start waits for a resource of the system."""
        self.log.warning("start_delayed", why=str(error))

    def failed(self, error: BaseException) -> None:
        """Logs an unexpected exception of a callback."""
        self.log.warning(
            "defect",
            error=f"{type(error).__name__}: {error}"[:500],
            trace="".join(traceback.format_exception(error))[-2000:],
        )

    def ready(self, readable: bool, writable: bool) -> None:
        """Handles the signals that have arrived."""
        # Each once, by number, a reload before the end: the kernel does not report which of two came first.
        for number in sorted(set(self._signal_reader.recv(256))):
            self.loop.guarded(self.on_signal, number)  # the end is handled though a reload fails

    def on_signal(self, number: int) -> None:
        """Handles a signal, in a turn of the loop."""
        raise NotImplementedError
