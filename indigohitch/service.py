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
from .net.clock import SECOND, Ticks
from .net.connection import parse_address
from .net.listener import Listener
from .net.transient_errors import is_transient, retry_transient
from .platform_protocol.front import Front
from .process import Process

# The errors of a configuration that can't be read, or lacks something.
UNUSABLE = (OSError, ValueError, KeyError, TypeError, AttributeError)
REMEDY = "mend the file that BALANCER_CONFIG names"


class Phase(enum.Enum):
    """The phases of a coordinator; their values are in the log."""

    STARTING = "starting"  # reads its configuration, opens its address
    LISTENING = "listening"  # answers; the state of the relay is not known yet
    SERVING = "serving"
    ENDING = "ending"  # after SIGTERM: finishes pending calls, for GRACE
    ENDED = "ended"


def read_configuration(environ: Mapping[str, str], *variables: str) -> dict:
    """Reads the file that BALANCER_CONFIG names; the environment variables named override its entries.

    Raises:
        OSError, ValueError, KeyError: See UNUSABLE.
    """
    with open(environ["BALANCER_CONFIG"], "rb") as file:
        configuration = orjson.loads(file.read())
    for variable in variables:
        if variable in environ:
            configuration[variable.removeprefix("BALANCER_").lower()] = environ[variable]
    return configuration


ENDS = (Phase.ENDING, Phase.ENDED)
RELOAD_PATIENCE = 4 * SECOND
RELOAD_RETRY_DELAY = SECOND // 50


def reload_front(
    process: Process,
    environ: Mapping[str, str],
    front: Callable[[], Front | None],
    done: Callable[[], None] = lambda: None,
    deadline: Ticks = 0,
) -> None:
    """Applies the configuration file as it is now; `done` is called if it was applied.

    A file that can't be used changes nothing.  The file is newer than the variable that named discovery at
    the start; the address to listen on can't change while connections use it.  A transient failure is
    retried for RELOAD_PATIENCE, as long as `front` returns one.
    """
    if (current := front()) is None:
        return
    now = process.clock.now()
    deadline = deadline or now + RELOAD_PATIENCE
    try:
        current.reload(read_configuration(environ, "BALANCER_LISTEN"))
    except UNUSABLE as error:
        if is_transient(error) and now < deadline:
            process.loop.call_after(
                RELOAD_RETRY_DELAY, lambda: reload_front(process, environ, front, done, deadline)
            )
        else:
            process.log.warning("reload_failed", **error_fields(error, REMEDY))
    else:
        done()


class Service(Process):
    """The process of a coordinator that is restarted, not upgraded."""

    GRACE = SECOND // 4  # of the 0.7 s until SIGKILL
    # The previous process has the address until it has ended, 0.7 s and a SIGKILL after its SIGTERM.
    LISTEN_PATIENCE = 4 * SECOND
    LISTEN_RETRY_DELAY = SECOND // 50

    def __init__(self, environ: Mapping[str, str]) -> None:
        super().__init__(Phase.STARTING, environ.get("BALANCER_NAME", ""))
        self.environ = environ
        self.front: Front | None = None
        self.decided = False  # while it ends: all earlier events are decided on
        self.file_is_newer = False

    def reload(self) -> None:
        """Applies the configuration file as it is now."""
        reload_front(self, self.environ, lambda: None if self.phase in ENDS else self.front)

    def run(self) -> int:
        """Runs to the end; returns the exit code."""
        try:
            found = retry_transient(
                lambda: read_configuration(self.environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY"),
                self.delayed,
            )
            listening = self.listen(parse_address(found["listen"]))
            if listening is None:
                return 0
            if self.file_is_newer:
                found = retry_transient(
                    lambda: read_configuration(self.environ, "BALANCER_LISTEN"), self.delayed
                )
            self.front = Front(self.loop, self.log, found, listening)
        except UNUSABLE as error:
            self.log.event("cannot_start", **error_fields(error, REMEDY))
            self.become(Phase.ENDED)
            return 1
        self.become(Phase.LISTENING)
        self.front.start()
        self.loop.turn()  # accepts waiting connections: read in the next turn, before the first decision
        while self.phase is not Phase.ENDED:
            self.loop.turn()
            if self.phase is not Phase.ENDED and not self.decided:
                self.loop.guarded(self.front.event_batch.flush_if_due)
            if self.phase is Phase.ENDING:
                # A drain that was requested right before the signal still gets its orders.
                self.decided |= not self.front.event_batch.events
                if self.decided and self.front.relay.idle:
                    self.end()
            if self.phase is Phase.LISTENING and self.front.store_mirror.has_started:
                self.become(Phase.SERVING)
        self.log.counters()
        return 0

    def listen(self, address: tuple[str, int]) -> socket.socket | None:
        """Opens the listening socket, retrying while the previous process has the address.

        Returns None if the process was ended meanwhile.

        Raises:
            OSError: The address can't be opened.
        """
        deadline = self.clock.now() + self.LISTEN_PATIENCE
        while self.phase is Phase.STARTING:
            try:
                return Listener.open_socket(address)
            except OSError as error:
                is_retryable = error.errno == errno.EADDRINUSE or is_transient(error)
                if not is_retryable or self.clock.now() >= deadline:
                    raise
                self.log.warning("address_in_use", listen=f"{address[0]}:{address[1]}", why=str(error))
            self.loop.call_after(self.LISTEN_RETRY_DELAY, lambda: None)
            self.loop.turn()
        return None

    def on_signal(self, number: int) -> None:
        """SIGUSR1 logs the counters, SIGHUP reloads, others end the process."""
        if number == signal.SIGUSR1:
            self.log.counters()
        elif self.phase is Phase.STARTING:
            if number == signal.SIGHUP:
                self.file_is_newer = True  # than what was read before the wait for the address
            else:
                self.become(Phase.ENDED)
        elif self.phase not in (Phase.LISTENING, Phase.SERVING):
            pass  # it ends: nothing is reloaded any more
        elif number == signal.SIGHUP:
            self.reload()
        else:
            self.become(Phase.ENDING)
            self.loop.call_after(self.GRACE, self.end)

    def end(self) -> None:
        """Closes the front and enters the last phase."""
        if self.phase is Phase.ENDING:
            self.loop.guarded(self.front.close)  # a defect in it must not keep the process
            self.become(Phase.ENDED)


def main() -> int:
    """Runs a coordinator with the environment of the process; returns the exit code."""
    os.set_blocking(1, False)  # a log that nobody reads must not block the service
    return Service(os.environ).run()
