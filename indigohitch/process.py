"""Base class of long-running commands: phases, an event loop, and signals that are handled in the loop."""

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
        self.loop = retry_transient(lambda: EventLoop(self.clock, self.log_defect), self.log_start_delay)
        self._signal_reader, writer = retry_transient(socket.socketpair, self.log_start_delay)
        for sock in (self._signal_reader, writer):
            sock.setblocking(False)
        self._signal_writer = writer  # an unreferenced socket would be closed
        signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        for number in self.SIGNALS:
            signal.signal(number, lambda *_: None)  # handled through the wakeup socket, in the loop
        self.loop.watch(self._signal_reader, self, READ)

    def become(self, phase: enum.Enum) -> None:
        """Enters a phase and logs it."""
        self.log.event("phase", was=self.phase.value, now=phase.value)
        self.phase = phase

    def log_start_delay(self, error: OSError) -> None:
        """Logs that the start waits for a system resource."""
        self.log.warning("start_delayed", why=str(error))

    def log_defect(self, error: BaseException) -> None:
        """Logs an unexpected exception of a callback."""
        self.log.warning(
            "defect",
            error=f"{type(error).__name__}: {error}"[:500],
            trace="".join(traceback.format_exception(error))[-2000:],
        )

    def ready(self, readable: bool, writable: bool) -> None:
        """Handles the signals that have arrived."""
        # Each signal is handled once, in order of number, so that SIGHUP (a reload) comes before SIGTERM: the
        # kernel does not report in which order pending signals were sent.
        for number in sorted(set(self._signal_reader.recv(256))):
            self.loop.guarded(self.on_signal, number)  # a failed reload must not prevent a shutdown

    def on_signal(self, number: int) -> None:
        """Handles a signal; called from the event loop."""
        raise NotImplementedError
