"""An orderly close of a socket."""

from __future__ import annotations

import contextlib
import socket

# Unread input is discarded up to what the protocol lets a peer leave unread.
DISCARD_BUFFER = bytearray(16 << 10)
DISCARD_READS = 8


def close_in_order(sock: socket.socket) -> None:
    """Closes a socket so that what was written before reaches the peer.

    A close over unread input is a reset, and written data may be lost with it: received input is read and
    discarded first.  It does not wait; a peer that goes on writing is reset all the same.
    """
    with contextlib.suppress(OSError):  # all was read, or it never connected, or the peer has reset it
        sock.shutdown(socket.SHUT_WR)
        for _ in range(DISCARD_READS):
            if not sock.recv_into(DISCARD_BUFFER):
                break
    sock.close()
