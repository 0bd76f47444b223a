"""An orderly close of a socket."""

from __future__ import annotations

import socket

# What is read off, at most: as much as the protocol lets anyone leave unread.
SCRAP, SCRAPS = bytearray(16 << 10), 8


def close_in_order(sock: socket.socket) -> None:
    """A close over unread input is a reset, and what was written before it may be lost with it: what has
    come is read off first.  Nothing is waited for; a peer that goes on writing is reset all the same."""
    try:
        sock.shutdown(socket.SHUT_WR)
        for _ in range(SCRAPS):
            if not sock.recv_into(SCRAP):
                break
    except OSError:  # all read off, or never connected, or reset by the peer
        pass
    sock.close()
