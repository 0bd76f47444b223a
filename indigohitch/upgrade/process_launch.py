"""The new program as a process: started from the file on disk as it is now, watched through its pidfd."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Sequence

from ..net.connection import READ
from ..net.loop import EventLoop

VARIABLE = "INDIGOHITCH_CHANNEL"  # tells the new process its end of the channel and our pid


def command(program: Sequence[str]) -> list[str]:
    """What to start: the operator's words, else this process' own, with its interpreter."""
    return list(program) or [sys.executable, *sys.orig_argv[1:]]


class ProcessWatch:
    """Another process' death, heard in the loop; it need not be a child."""

    def __init__(self, loop: EventLoop, pid: int, died: Callable[[], None]) -> None:
        """Raises OSError, ProcessLookupError where it is dead already."""
        self.loop, self.died = loop, died
        self.fd = os.pidfd_open(pid)
        self.number = loop.watch(self.fd, self, READ)

    def ready(self, readable: bool, writable: bool) -> None:
        self.close()
        self.died()

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Through the pidfd: never another process that got the same pid."""
        if self.fd >= 0:
            try:
                signal.pidfd_send_signal(self.fd, number)
            except ProcessLookupError:
                pass

    def close(self) -> None:
        if self.fd >= 0:
            self.loop.forget(self.fd, self.number)
            os.close(self.fd)
            self.fd = -1


class StartedProcess:
    """A new program, with the other end of its channel."""

    def __init__(
        self, loop: EventLoop, program: Sequence[str], died: Callable[[StartedProcess, str], None]
    ) -> None:
        """Raises OSError where it can't be started."""
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
        told = {VARIABLE: f"{theirs.fileno()}:{os.getpid()}"}
        try:
            # Its log goes where ours goes.
            self.process = subprocess.Popen(
                command(program), stdin=subprocess.DEVNULL, env=os.environ | told, pass_fds=[theirs.fileno()]
            )
            self.pid, self._died = self.process.pid, died
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
        self.watch.kill()

    def reap(self) -> None:
        """It lives on without us, or is dead."""
        self.watch.close()
        self.process.poll()
        self.process.returncode = self.process.returncode or 0  # no word of a child that still runs


def inherited_channel() -> tuple[socket.socket, int] | None:
    """The new process' end of the channel and the old process' pid, if it was started for an upgrade."""
    text = os.environ.pop(VARIABLE, "")
    if not text:
        return None
    number, _, pid = text.partition(":")
    sock = socket.socket(fileno=int(number))
    sock.set_inheritable(False)
    return sock, int(pid)
