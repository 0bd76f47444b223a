"""Closes of a socket: in order, or by a reset."""

from __future__ import annotations

import contextlib
import socket
import struct

# Together these cover the unread input that the protocol allows a peer to cause.
DISCARD_BUFFER = bytearray(16 << 10)
DISCARD_READS = 8


def close_in_order(sock: socket.socket) -> None:
    """Closes a socket so that the data written before reaches the peer.

    A close with unread input resets the connection, which may lose written data, so received input is read
    and discarded first.  This does not wait: a peer that keeps writing is reset nevertheless.
    """
    with contextlib.suppress(OSError):  # all is read, it never connected, or the peer reset it
        sock.shutdown(socket.SHUT_WR)
        for _ in range(DISCARD_READS):
            if not sock.recv_into(DISCARD_BUFFER):
                break
    sock.close()


def set_reset_on_close(sock: socket.socket, on: bool) -> None:
    """Sets whether a close of the socket resets the connection, also the close by the death of the process.

    The reset discards what the peer's kernel has not acknowledged.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", on, 0))
