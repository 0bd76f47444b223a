"""The new program as a process: started from the file on disk as it is now, watched through its pidfd."""

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

VARIABLE = "INDIGOHITCH_CHANNEL"  # holds the new process' channel descriptor and our pid, as `fd:pid`


def command(program: Sequence[str]) -> list[str]:
    """Returns the command to start: the configured one, else this process' own with its interpreter."""
    return list(program) or [sys.executable, *sys.orig_argv[1:]]


class ProcessWatch:
    """Reports the death of another process, which need not be a child, in the event loop."""

    def __init__(self, loop: EventLoop, pid: int, died: Callable[[], None]) -> None:
        """Opens the pidfd and watches it.

        Raises:
            ProcessLookupError: the process is dead already.
            OSError: the pidfd can't be opened.
        """
        self.loop = loop
        self.died = died
        self.fd = os.pidfd_open(pid)
        self.number = loop.watch(self.fd, self, READ)

    def ready(self, readable: bool, writable: bool) -> None:
        """Called by the loop once the process is dead: closes the watch and reports it."""
        self.close()
        self.died()

    def kill(self, signal_number: int = signal.SIGKILL) -> None:
        """Sends a signal through the pidfd: it never reaches another process that got the same pid."""
        if self.fd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.fd, signal_number)

    def close(self) -> None:
        """Stops the watch; closing twice is allowed."""
        if self.fd >= 0:
            self.loop.forget(self.fd, self.number)
            os.close(self.fd)
            self.fd = -1


class StartedProcess:
    """The new program's process, and this process' end of the channel to it."""

    def __init__(
        self, loop: EventLoop, program: Sequence[str], died: Callable[[StartedProcess, str], None]
    ) -> None:
        """Starts the program.

        Raises:
            OSError: it can't be started.
        """
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        channel_setting = {VARIABLE: f"{theirs.fileno()}:{os.getpid()}"}
        try:
            # Its log goes where ours goes.
            self.process = subprocess.Popen(
                command(program),
                stdin=subprocess.DEVNULL,
                env=os.environ | channel_setting,
                pass_fds=[theirs.fileno()],
            )
            self.pid = self.process.pid
            self._died = died
            self.watch = ProcessWatch(loop, self.pid, self._ended)
        except BaseException:
            ours.close()
            raise
        finally:
            theirs.close()
        self.channel = ours

    def _ended(self) -> None:
        code = self.process.poll()
        if code is None:  # the pidfd is readable before the child can be waited for
            code = self.process.wait()
        self._died(self, f"the new process ended with {code}")

    def kill(self) -> None:
        """Kills the process; its death is reported through `died`."""
        self.watch.kill()

    def reap(self) -> None:
        """Stops watching the process, which lives on or is dead, and collects its exit code if it has one."""
        self.watch.close()
        self.process.poll()
        self.process.returncode = self.process.returncode or 0  # Popen warns of a child that still runs


def inherited_channel() -> tuple[socket.socket, int] | None:
    """Returns this process' end of the channel and the old process' pid if it was started for an upgrade.

    The environment variable is removed, so that children do not inherit it.
    """
    text = os.environ.pop(VARIABLE, "")
    if not text:
        return None
    number, _, pid = text.partition(":")
    sock = socket.socket(fileno=int(number))
    sock.set_inheritable(False)
    return sock, int(pid)
