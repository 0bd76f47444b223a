"""A listening socket: it accepts connections in bounded bursts, and pauses while no descriptor is left."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .clock import SECOND
from .connection import READ
from .graceful_close import close_in_order
from .loop import Deadline, EventLoop
from .transient_errors import is_transient, retry_transient


class Listener:
    """Accepts connections and hands each socket to `greet`, which returns False to have it closed."""

    PAUSE = SECOND // 10  # after a failed accept: short for waiting clients, long enough not to spin
    BURST = 64  # accepts a turn
    PATIENCE = 1.0  # s, at the start of a process
    LAST_BURSTS = 2  # before it closes: more than that in the queue come from a flood
    QUEUE = 1024  # connections that may wait in the kernel, listen(2)

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        greet: Callable[[socket.socket], bool],
        on_accept_failed: Callable[[str], None],
        listening: socket.socket | None = None,
    ) -> None:
        """Takes over the socket `listening`, passed on by another process, or opens one.

        Opening may block for PATIENCE where no descriptor is left.

        Raises:
            OSError: The address could not be opened.
        """
        self.loop = loop
        self.greet = greet
        self.on_accept_failed = on_accept_failed
        self.sock = listening or retry_transient(lambda: self.open_socket(address), patience=self.PATIENCE)
        self.sock.setblocking(False)
        self._number = loop.watch(self.sock, self, READ)
        self._paused: Deadline | None = None
        self.accepting = True

    @staticmethod
    def open_socket(address: tuple[str, int]) -> socket.socket:
        """Opens a listening socket; raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(Listener.QUEUE)
        except OSError:
            sock.close()
            raise
        return sock

    def accept(self, on: bool) -> None:
        """Turns accepting on or off; meanwhile connections wait in the kernel for the next to accept here."""
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
        """Accepts a burst."""
        self._burst()

    def accept_last(self) -> None:
        """Accepts what has connected before the socket closes, so that the kernel does not reset it.

        Nothing is done while accepting is off, as another process accepts at this socket.
        """
        if not self.accepting:
            return
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        for _ in range(self.LAST_BURSTS):
            if not self._burst():
                return

    def _burst(self) -> bool:
        """Accepts a burst; returns whether more may wait."""
        for _ in range(self.BURST):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if is_transient(error):
                    # The waiting connection stays readable: without a pause the loop would spin on it.
                    self.on_accept_failed(error.strerror)
                    self.loop.pause(self.sock)
                    self._paused = self.loop.call_after(self.PAUSE, self._resume)
                    return False
                continue  # that connection broke before it was accepted
            sock.setblocking(False)
            if not self.greet(sock):
                close_in_order(sock)
        return True

    def _resume(self) -> None:
        self._paused = None
        self.loop.resume(self.sock, self._number, READ)

    def close(self) -> None:
        """Closes the socket; waiting connections are reset unless another process listens on it."""
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        self.accept(True)  # for the selector to forget it
        self.loop.forget(self.sock, self._number)
        self.sock.close()
