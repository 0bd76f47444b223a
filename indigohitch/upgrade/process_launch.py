"""Starts the new process from the program file that is on disk now, and watches it through a pidfd."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Sequence

from ..net.connection import READ
from ..net.loop import EventLoop

# Value `fd:pid`: the channel's descriptor in the new process, and the pid of the old one.
CHANNEL_VARIABLE = "INDIGOHITCH_CHANNEL"


def successor_command(program: Sequence[str]) -> list[str]:
    """Returns the configured command, or by default the command line of this process with its interpreter."""
    return list(program) or [sys.executable, *sys.orig_argv[1:]]


class ProcessWatch:
    """Watches another process, which need not be a child, and reports its death in the event loop."""

    def __init__(self, loop: EventLoop, pid: int, on_death: Callable[[], None]) -> None:
        """Opens the pidfd and watches it.

        Raises:
            ProcessLookupError: the process is already dead.
            OSError: the pidfd can't be opened.
        """
        self.loop = loop
        self.on_death = on_death
        self.fd = os.pidfd_open(pid)
        self.watch_number = loop.watch(self.fd, self, READ)

    def ready(self, readable: bool, writable: bool) -> None:
        """Stops the watch and reports the death; the loop calls it when the process is dead."""
        self.close()
        self.on_death()

    def kill(self, signal_number: int = signal.SIGKILL) -> None:
        """Sends a signal through the pidfd, which can't reach another process that has reused the pid."""
        if self.fd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.fd, signal_number)

    def close(self) -> None:
        """Stops the watch; does nothing if it was stopped before."""
        if self.fd >= 0:
            self.loop.forget(self.fd, self.watch_number)
            os.close(self.fd)
            self.fd = -1


class StartedProcess:
    """The new process, and this process' end of the channel to it."""

    def __init__(
        self, loop: EventLoop, program: Sequence[str], on_death: Callable[[StartedProcess, str], None]
    ) -> None:
        """Starts the program.

        Raises:
            OSError: it can't be started.
        """
        own_end, successor_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        channel_setting = {CHANNEL_VARIABLE: f"{successor_end.fileno()}:{os.getpid()}"}
        try:
            # The new process inherits stdout and stderr, so it logs to the same place.
            self.process = subprocess.Popen(
                successor_command(program),
                stdin=subprocess.DEVNULL,
                env=os.environ | channel_setting,
                pass_fds=[successor_end.fileno()],
            )
            self.pid = self.process.pid
            self._on_death = on_death
            self.watch = ProcessWatch(loop, self.pid, self._on_process_end)
        except BaseException:
            own_end.close()
            raise
        finally:
            successor_end.close()
        self.channel = own_end

    def _on_process_end(self) -> None:
        code = self.process.poll()
        if code is None:  # the pidfd is readable before the child can be waited for
            code = self.process.wait()
        self._on_death(self, f"the new process ended with {code}")

    def kill(self) -> None:
        """Kills the process, whose death is then reported through `on_death`."""
        self.watch.kill()

    def reap(self) -> None:
        """Stops watching the process and collects its exit code if it has ended."""
        self.watch.close()
        self.process.poll()
        self.process.returncode = self.process.returncode or 0  # Popen warns of a child that still runs


def inherited_channel() -> tuple[socket.socket, int] | None:
    """Returns the channel and the old process' pid, or None if this process was not started by an upgrade.

    The environment variable is removed, so that child processes do not inherit it.
    """
    setting = os.environ.pop(CHANNEL_VARIABLE, "")
    if not setting:
        return None
    fd, _, pid = setting.partition(":")
    sock = socket.socket(fileno=int(fd))
    sock.set_inheritable(False)
    return sock, int(pid)
