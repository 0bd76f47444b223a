"""How much of what was written to a client has not reached it yet."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios
from collections.abc import Callable

from ..net.clock import SECOND
from ..net.loop import Deadline


def unacknowledged_byte_count(sock: socket.socket) -> int:
    """Returns the number of bytes in the kernel's send buffer that the peer has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)


class Delivery:
    """Watches how far a client has received what was written to its connection."""

    CHECK_INTERVAL = SECOND // 100

    __slots__ = ("client", "_check", "_action", "_unacknowledged_bytes")

    def __init__(self, client) -> None:
        self.client = client
        self._check: Deadline | None = None
        self._action: Callable[[], None] | None = None
        self._unacknowledged_bytes = 0  # as last looked at

    def is_complete(self) -> bool:
        """Returns whether the client has received all that was written."""
        stream = self.client.stream
        return not len(stream.outgoing) and not unacknowledged_byte_count(stream.sock)

    def note_progress(self) -> None:
        """Counts it as activity of the client that it has received more since the last look."""
        count = unacknowledged_byte_count(self.client.stream.sock)
        if count < self._unacknowledged_bytes:
            self.client.last_activity = self.client.host.now
        self._unacknowledged_bytes = count

    def call_later(self, action: Callable[[], None]) -> None:
        """Calls `action` after a while, in the place of one that waits already."""
        self._action = action
        if self._check is None:
            self._check = self.client.host.loop.call_after(self.CHECK_INTERVAL, self._run)

    def _run(self) -> None:
        self._check = None
        if self.client.stream.open:
            self.note_progress()
        self._action()
