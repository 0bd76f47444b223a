"""The coordinator as a process: its phases from start to exit, and its signals."""

from __future__ import annotations

import enum
import errno
import os
import signal
import socket
from collections.abc import Callable, Mapping

import orjson

from .errors import error_fields
from .net.clock import SECOND
from .net.connection import parse_address
from .net.listener import Listener
from .net.transient_errors import is_transient, retry_transient
from .platform_protocol.front import Front
from .process import Process

# What a configuration that can't be read, or lacks something, shows itself by.
UNUSABLE = (OSError, ValueError, KeyError, TypeError, AttributeError)
REMEDY = "mend the file that BALANCER_CONFIG names"


class Phase(enum.Enum):
    STARTING = "starting"  # reads its configuration, opens its address
    LISTENING = "listening"  # answers; the relay has not told yet what stands
    SERVING = "serving"
    ENDING = "ending"  # was told to end: finishes the calls that wait, for a moment
    ENDED = "ended"


def read_configuration(environ: Mapping[str, str], *variables: str) -> dict:
    """What the platform hands over; the variables named win over the file, which says more."""
    with open(environ["BALANCER_CONFIG"], "rb") as file:
        found = orjson.loads(file.read())
    for variable in variables:
        if variable in environ:
            found[variable.removeprefix("BALANCER_").lower()] = environ[variable]
    return found


ENDS = (Phase.ENDING, Phase.ENDED)
RELOAD_PATIENCE, RELOAD_AGAIN = 4 * SECOND, SECOND // 50


def reload_front(
    process: Process,
    environ: Mapping[str, str],
    front: Callable[[], Front | None],
    done: Callable[[], None] = lambda: None,
    until: int = 0,
) -> None:
    """The file as it is now; one that can't be used changes nothing.  It is newer than the variable that told
    of discovery at the start; the address to listen on can't change while callers hold it.  One that can't be
    opened just now is tried again for RELOAD_PATIENCE, while there is a `front`; `done`: it was read."""
    if (moved := front()) is None:
        return
    now = process.clock.now()
    until = until or now + RELOAD_PATIENCE
    try:
        moved.reload(read_configuration(environ, "BALANCER_LISTEN"))
    except UNUSABLE as bad:
        if is_transient(bad) and now < until:
            process.loop.call_after(RELOAD_AGAIN, lambda: reload_front(process, environ, front, done, until))
        else:
            process.log.warning("reload_failed", **error_fields(bad, REMEDY))
    else:
        done()


class Service(Process):
    GRACE = SECOND // 4  # of the 0.7 s until SIGKILL
    # The process before this one holds the address until it has ended, 0.7 s and a SIGKILL after its SIGTERM.
    HELD, AGAIN = 4 * SECOND, SECOND // 50

    def __init__(self, environ: Mapping[str, str]) -> None:
        super().__init__(Phase.STARTING, environ.get("BALANCER_NAME", ""))
        self.environ = environ
        self.front: Front | None = None
        self.decided = False  # while it ends: on all that was told before
        self.file_is_newer = False

    def reload(self) -> None:
        reload_front(self, self.environ, lambda: None if self.phase in ENDS else self.front)

    def run(self) -> int:
        """Returns the exit code."""
        try:
            found = retry_transient(
                lambda: read_configuration(self.environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY"),
                self.delayed,
            )
            listening = self.listening(parse_address(found["listen"]))
            if listening is None:
                return 0
            if self.file_is_newer:
                found = retry_transient(
                    lambda: read_configuration(self.environ, "BALANCER_LISTEN"), self.delayed
                )
            self.front = Front(self.loop, self.log, found, listening)
        except UNUSABLE as bad:
            self.log.event("cannot_start", **error_fields(bad, REMEDY))
            self.become(Phase.ENDED)
            return 1
        self.become(Phase.LISTENING)
        self.front.start()
        self.loop.turn()  # accepts who waits already: heard in the next, before the module's first
        while self.phase is not Phase.ENDED:
            self.loop.turn()
            if self.phase is not Phase.ENDED and not self.decided:
                self.loop.guarded(self.front.event_batch.flush_if_due)
            if self.phase is Phase.ENDING:
                # A drain that was told right before the signal still gets its orders.
                self.decided |= not self.front.event_batch.events
                if self.decided and self.front.relay.idle:
                    self.end()
            if self.phase is Phase.LISTENING and self.front.store_mirror.begun:
                self.become(Phase.SERVING)
        self.log.counters()
        return 0

    def listening(self, at: tuple[str, int]) -> socket.socket | None:
        """Who connects from here on waits to be accepted.  None: told to end before the address was had."""
        until = self.clock.now() + self.HELD
        while self.phase is Phase.STARTING:
            try:
                return Listener.opened(at)
            except OSError as held:
                if held.errno != errno.EADDRINUSE and not is_transient(held) or self.clock.now() >= until:
                    raise
                self.log.warning("address_in_use", listen=f"{at[0]}:{at[1]}", why=str(held))
            self.loop.call_after(self.AGAIN, lambda: None)
            self.loop.turn()
        return None

    def on_signal(self, number: int) -> None:
        if number == signal.SIGUSR1:
            self.log.counters()
        elif self.phase is Phase.STARTING:
            if number == signal.SIGHUP:
                self.file_is_newer = True  # than what was read before the wait for the address
            else:
                self.become(Phase.ENDED)
        elif self.phase not in (Phase.LISTENING, Phase.SERVING):
            pass  # it ends: nothing is moved any more
        elif number == signal.SIGHUP:
            self.reload()
        else:
            self.become(Phase.ENDING)
            self.loop.call_after(self.GRACE, self.end)

    def end(self) -> None:
        if self.phase is Phase.ENDING:
            self.loop.guarded(self.front.close)  # a defect in it must not keep the process
            self.become(Phase.ENDED)


def main() -> int:
    os.set_blocking(1, False)  # a log that nobody reads must not hold up the service
    return Service(os.environ).run()
