"""How much of what was written to a client has not reached it yet."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios


def unacknowledged_byte_count(sock: socket.socket) -> int:
    """Returns the number of bytes in the kernel's send buffer that the peer has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
