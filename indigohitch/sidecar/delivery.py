"""How much of what was written to a client has not reached it yet."""

from __future__ import annotations

import fcntl
import sys
import termios

from ..net.stream import Stream


def unacknowledged_byte_count(stream: Stream) -> int:
    """Returns the number of bytes in the kernel's send buffer that the client has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(stream.sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
