"""The process of a coordinator: its phases from start to exit, and its signals."""

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

# Exceptions that an unreadable or invalid configuration raises.
CONFIGURATION_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError)
CONFIGURATION_REMEDY = "correct the file that BALANCER_CONFIG names"


class Phase(enum.Enum):
    """The phases of a coordinator; their values are in the log."""

    STARTING = "starting"  # reads its configuration, opens its address
    LISTENING = "listening"  # answers callers; the state of the relay is not known yet
    SERVING = "serving"
    ENDING = "ending"  # after SIGTERM: finishes pending calls, for GRACE
    ENDED = "ended"


def read_configuration(environ: Mapping[str, str], *variables: str) -> dict:
    """Reads the file that BALANCER_CONFIG names; the environment variables named override its entries.

    Raises:
        OSError, ValueError, KeyError: See CONFIGURATION_ERRORS.
    """
    with open(environ["BALANCER_CONFIG"], "rb") as file:
        configuration = orjson.loads(file.read())
    for variable in variables:
        if variable in environ:
            configuration[variable.removeprefix("BALANCER_").lower()] = environ[variable]
    return configuration


SHUTDOWN_PHASES = (Phase.ENDING, Phase.ENDED)
RELOAD_RETRY_PERIOD = 4 * SECOND
RELOAD_RETRY_DELAY = SECOND // 50


def reload_front(
    process: Process,
    environ: Mapping[str, str],
    get_front: Callable[[], Front | None],
    on_applied: Callable[[], None] = lambda: None,
    deadline: Ticks = 0,
) -> None:
    """Applies the configuration file as it is now; `on_applied` is called if it was applied.

    A file that can't be used changes nothing.  The variable BALANCER_DISCOVERY is not applied, as the file is
    newer; BALANCER_LISTEN is, as the address can't change while connections use it.  A transient failure is
    retried for RELOAD_RETRY_PERIOD, as long as `get_front` returns a front.
    """
    if (front := get_front()) is None:
        return
    now = process.clock.now()
    deadline = deadline or now + RELOAD_RETRY_PERIOD
    try:
        front.reload(read_configuration(environ, "BALANCER_LISTEN"))
    except CONFIGURATION_ERRORS as error:
        if is_transient(error) and now < deadline:
            process.loop.call_after(
                RELOAD_RETRY_DELAY, lambda: reload_front(process, environ, get_front, on_applied, deadline)
            )
        else:
            process.log.warning("reload_failed", **error_fields(error, CONFIGURATION_REMEDY))
    else:
        on_applied()


class Service(Process):
    """The process of a coordinator that is replaced by a restart, not by an upgrade."""

    GRACE = SECOND // 4  # the platform sends SIGKILL 0.7 s after SIGTERM
    # The previous process holds the address until it has exited, which SIGKILL enforces 0.7 s after SIGTERM.
    LISTEN_RETRY_PERIOD = 4 * SECOND
    LISTEN_RETRY_DELAY = SECOND // 50

    def __init__(self, environ: Mapping[str, str]) -> None:
        super().__init__(Phase.STARTING, environ.get("BALANCER_NAME", ""))
        self.environ = environ
        self.front: Front | None = None
        self.all_events_handled = False  # while ending: the module has handled all earlier events
        self.reload_requested = False  # by SIGHUP during the start

    def reload(self) -> None:
        """Applies the configuration file as it is now."""
        reload_front(self, self.environ, lambda: None if self.phase in SHUTDOWN_PHASES else self.front)

    def run(self) -> int:
        """Runs until the process ends; returns the exit code."""
        try:
            configuration = retry_transient(
                lambda: read_configuration(self.environ, "BALANCER_LISTEN", "BALANCER_DISCOVERY"),
                self.log_start_delay,
            )
            listening = self.listen(parse_address(configuration["listen"]))
            if listening is None:
                return 0
            if self.reload_requested:
                configuration = retry_transient(
                    lambda: read_configuration(self.environ, "BALANCER_LISTEN"), self.log_start_delay
                )
            self.front = Front(self.loop, self.log, configuration, listening)
        except CONFIGURATION_ERRORS as error:
            self.log.event("cannot_start", **error_fields(error, CONFIGURATION_REMEDY))
            self.become(Phase.ENDED)
            return 1
        self.become(Phase.LISTENING)
        self.front.start()
        self.loop.turn()  # accepts waiting connections, so that they are read before the first decision
        while self.phase is not Phase.ENDED:
            self.loop.turn()
            if self.phase is not Phase.ENDED and not self.all_events_handled:
                self.loop.guarded(self.front.event_batch.flush_if_due)
            if self.phase is Phase.ENDING:
                # Orders for a drain that was requested right before the signal are still sent.
                self.all_events_handled |= not self.front.event_batch.events
                if self.all_events_handled and self.front.relay.idle:
                    self.end()
            if self.phase is Phase.LISTENING and self.front.store_mirror.has_started:
                self.become(Phase.SERVING)
        self.log.counters()
        return 0

    def listen(self, address: tuple[str, int]) -> socket.socket | None:
        """Opens the listening socket, retrying while the previous process holds the address.

        Returns None if a signal ended the process meanwhile.

        Raises:
            OSError: The address can't be opened.
        """
        deadline = self.clock.now() + self.LISTEN_RETRY_PERIOD
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
        """Logs the counters on SIGUSR1, reloads on SIGHUP, and ends the process on any other signal."""
        if number == signal.SIGUSR1:
            self.log.counters()
        elif self.phase is Phase.STARTING:
            if number == signal.SIGHUP:
                self.reload_requested = True  # the file may have changed since it was read
            else:
                self.become(Phase.ENDED)
        elif self.phase not in (Phase.LISTENING, Phase.SERVING):
            pass  # shutting down already: no reload, no second shutdown
        elif number == signal.SIGHUP:
            self.reload()
        else:
            self.become(Phase.ENDING)
            self.loop.call_after(self.GRACE, self.end)

    def end(self) -> None:
        """Closes the front and enters the last phase."""
        if self.phase is Phase.ENDING:
            self.loop.guarded(self.front.close)  # an exception in it must not prevent the exit
            self.become(Phase.ENDED)


def main() -> int:
    """Runs a coordinator with the environment of the process; returns the exit code."""
    os.set_blocking(1, False)  # an unread log pipe must not block the service
    return Service(os.environ).run()
