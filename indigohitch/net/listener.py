"""A listening socket that accepts a limited number of connections per turn and pauses without descriptors."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .clock import SECOND
from .connection import READ
from .graceful_close import close_in_order
from .loop import Deadline, EventLoop
from .transient_errors import is_transient, retry_transient


class Listener:
    """Accepts connections and passes each socket to `on_accepted`, which returns False to have it closed."""

    ACCEPT_RETRY_DELAY = SECOND // 10  # short for waiting clients, long enough to avoid a busy loop
    MAX_ACCEPTS_PER_TURN = 64
    OPEN_RETRY_SECONDS = 1.0  # at the start of a process
    LAST_BATCHES = 2  # accepted before closing; more waiting connections than these are a flood
    BACKLOG = 1024  # connections that may wait in the kernel, see listen(2)

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        on_accepted: Callable[[socket.socket], bool],
        on_accept_failed: Callable[[str], None],
        listening: socket.socket | None = None,
    ) -> None:
        """Uses the socket `listening`, handed over by another process, or opens one.

        Opening blocks for up to OPEN_RETRY_SECONDS while no descriptor is free.

        Raises:
            OSError: No socket could be opened at the address.
        """
        self.loop = loop
        self.on_accepted = on_accepted
        self.on_accept_failed = on_accept_failed
        self.sock = listening or retry_transient(
            lambda: self.open_socket(address), max_seconds=self.OPEN_RETRY_SECONDS
        )
        self.sock.setblocking(False)
        self._number = loop.watch(self.sock, self, READ)
        self._paused: Deadline | None = None
        self.accepting = True

    @staticmethod
    def open_socket(address: tuple[str, int]) -> socket.socket:
        """Opens a listening socket; raises OSError if it cannot."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(Listener.BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    def accept(self, on: bool) -> None:
        """Turns accepting on or off; while it is off, connections wait in the kernel for the next accept."""
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
        """Accepts a batch of waiting connections."""
        self._accept_batch()

    def accept_last(self) -> None:
        """Accepts waiting connections before the socket closes, as the kernel would reset them.

        Does nothing while accepting is off: another process accepts on this socket then.
        """
        if not self.accepting:
            return
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        for _ in range(self.LAST_BATCHES):
            if not self._accept_batch():
                return

    def _accept_batch(self) -> bool:
        """Accepts a batch of connections; returns whether more may wait."""
        for _ in range(self.MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if is_transient(error):
                    # The waiting connection keeps the socket readable: the loop would spin without a pause.
                    self.on_accept_failed(error.strerror)
                    self.loop.pause(self.sock)
                    self._paused = self.loop.call_after(self.ACCEPT_RETRY_DELAY, self._resume)
                    return False
                continue  # the connection failed before it was accepted
            sock.setblocking(False)
            if not self.on_accepted(sock):
                close_in_order(sock)
        return True

    def _resume(self) -> None:
        self._paused = None
        self.loop.resume(self.sock, self._number, READ)

    def close(self) -> None:
        """Closes the socket; waiting connections are reset unless another process has it open."""
        if self._paused is not None:
            self._paused.cancel()
            self._resume()
        self.accept(True)  # registers it again, as `forget` unregisters it
        self.loop.forget(self.sock, self._number)
        self.sock.close()
