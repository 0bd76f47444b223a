"""The coordinator as a process: its phases from start to exit, and its signals."""
from __future__ import annotations

import enum
import os
import signal
import socket
import traceback
from collections.abc import Mapping

import orjson

from .log import Log
from .net.clock import SECOND, Clock
from .net.connection import READ
from .net.loop import Loop
from .platformlink.front import Front

# What a configuration that can't be read, or lacks something, shows itself by.
UNUSABLE = (OSError, ValueError, KeyError, TypeError, AttributeError)


class Phase(enum.Enum):
    STARTING = "starting"       # reads its configuration, opens its address
    LISTENING = "listening"     # answers; the relay has not told yet what stands
    SERVING = "serving"
    ENDING = "ending"           # was told to end: finishes the calls that wait, for a moment
    ENDED = "ended"


class Service:
    GRACE = SECOND // 4         # of the 0.7 s until SIGKILL

    def __init__(self, environ: Mapping[str, str]) -> None:
        self.environ = environ
        self.phase = Phase.STARTING
        self.clock = Clock()
        self.log = Log(self.clock, environ.get("BALANCER_NAME", ""))
        self.loop = Loop(self.clock, self.failed)
        self.front: Front | None = None
        self._wake, wake = socket.socketpair()
        for end in (self._wake, wake):
            end.setblocking(False)
        self._woken_by = wake               # held, or it would close
        signal.set_wakeup_fd(wake.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP):
            signal.signal(number, lambda *_: None)      # heard through the wakeup socket, in the loop
        self.loop.watch(self._wake, self, READ)

    def become(self, phase: Phase) -> None:
        self.log.event("phase", was=self.phase.value, now=phase.value)
        self.phase = phase

    def failed(self, broken: BaseException) -> None:
        self.log.trouble("defect", error=f"{type(broken).__name__}: {broken}",
                         trace="".join(traceback.format_exception(broken))[-2000:])

    def configuration(self, *variables: str) -> dict:
        """What the platform hands over; the variables named win over the file, which says more."""
        with open(self.environ["BALANCER_CONFIG"], "rb") as file:
            found = orjson.loads(file.read())
        for variable in variables:
            if variable in self.environ:
                found[variable.removeprefix("BALANCER_").lower()] = self.environ[variable]
        return found

    def reload(self) -> None:
        """The file as it is now; one that can't be used changes nothing.  It is newer than the variable
        that told of discovery at the start; the address to listen on can't change while callers hold it."""
        try:
            self.front.reload(self.configuration("BALANCER_LISTEN"))
        except UNUSABLE as bad:
            self.log.trouble("reload_failed", why=f"{type(bad).__name__}: {bad}")

    def run(self) -> int:
        """Returns the exit code."""
        try:
            self.front = Front(self.loop, self.log,
                               self.configuration("BALANCER_LISTEN", "BALANCER_DISCOVERY"))
        except UNUSABLE as bad:
            self.log.event("cannot_start", why=f"{type(bad).__name__}: {bad}")
            self.become(Phase.ENDED)
            return 1
        self.become(Phase.LISTENING)
        self.front.start()
        while self.phase is not Phase.ENDED:
            self.loop.turn()
            if self.phase is Phase.ENDING:
                if self.front.relay.idle:
                    self.end()
                continue
            self.loop.guarded(self.front.gathering.turn)
            if self.phase is Phase.LISTENING and self.front.holdings.begun:
                self.become(Phase.SERVING)
        self.log.counters()
        return 0

    def ready(self, readable: bool, writable: bool) -> None:
        for number in set(self._wake.recv(256)):
            if number == signal.SIGUSR1:
                self.log.counters()
            elif self.phase not in (Phase.LISTENING, Phase.SERVING):
                continue                        # it ends: nothing is moved any more
            elif number == signal.SIGHUP:
                self.reload()
            else:
                self.become(Phase.ENDING)
                self.loop.after(self.GRACE, self.end)

    def end(self) -> None:
        if self.phase is Phase.ENDING:
            self.front.close()
            self.become(Phase.ENDED)


def main() -> int:
    os.set_blocking(1, False)           # a log that nobody reads must not hold up the service
    return Service(os.environ).run()
