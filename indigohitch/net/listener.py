"""A listening socket: it accepts connections in bounded bursts, and rests while no descriptor is left."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .clock import SECOND
from .connection import READ
from .graceful_close import close_in_order
from .loop import Deadline, EventLoop
from .transient_errors import is_transient, retry_transient


class Listener:
    """Accepts up to `most` connections; `greet` makes the reader of each."""

    PAUSE = SECOND // 10  # after a failed accept: short for those who wait, long enough not to spin
    BURST = 64  # accepts a turn
    PATIENCE = 1.0  # s, at the start of a process
    LAST = 2  # bursts before it closes: more than that in the queue come from a flood

    def __init__(
        self,
        loop: EventLoop,
        at: tuple[str, int],
        greet: Callable[[socket.socket], bool],
        trouble: Callable[[str], None],
        listening: socket.socket | None = None,
    ) -> None:
        """`listening`: a socket that listens already, come from another process.  Without it one is opened,
        which may block for PATIENCE where no descriptor is left.  Raises OSError."""
        self.loop, self.greet, self.trouble = loop, greet, trouble
        self.sock = listening or retry_transient(lambda: self.opened(at), patience=self.PATIENCE)
        self.sock.setblocking(False)
        self._number = loop.watch(self.sock, self, READ)
        self._paused: Deadline | None = None
        self.accepting = True

    @staticmethod
    def opened(at: tuple[str, int]) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(at)
            sock.listen(1024)
        except OSError:
            sock.close()
            raise
        return sock

    def accept(self, on: bool) -> None:
        """Who connects while it is off waits in the kernel, for whoever accepts at this socket next."""
        if self.accepting == on:
            return
        self.accepting = on
        if on:
            self.loop.resume(self.sock, self._number, READ)
        elif self._paused is not None:
            self._paused.cancel()
            self._paused = None
        else:
            self.loop.pause(self.sock)

    def ready(self, readable: bool, writable: bool) -> None:
        self._burst()

    def accept_last(self) -> None:
        """Before it closes: who has connected by then is greeted, and not reset by the kernel.  Nothing to do
        while it is off, as another process accepts at this socket."""
        if not self.accepting:
            return
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        for _ in range(self.LAST):
            if not self._burst():
                return

    def _burst(self) -> bool:
        """Whether more may wait."""
        for _ in range(self.BURST):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as failed:
                if is_transient(failed):
                    # The waiting connection stays readable: without a pause the loop would spin on it.
                    self.trouble(failed.strerror)
                    self.loop.pause(self.sock)
                    self._paused = self.loop.call_after(self.PAUSE, self._resume)
                    return False
                continue  # that one broke before it was accepted
            sock.setblocking(False)
            if not self.greet(sock):
                close_in_order(sock)
        return True

    def _resume(self) -> None:
        self._paused = None
        self.loop.resume(self.sock, self._number, READ)

    def close(self) -> None:
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        self.accept(True)  # for the selector to forget it
        self.loop.forget(self.sock, self._number)
        self.sock.close()
