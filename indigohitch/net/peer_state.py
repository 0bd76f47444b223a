"""Asks the kernel about the peer of a connection, also where received data has not been read."""

from __future__ import annotations

import select
import socket


def has_peer_left(sock: socket.socket) -> bool:
    """Returns whether the peer has closed, half-closed or reset the connection, also behind unread data."""
    poller = select.poll()
    poller.register(sock, select.POLLRDHUP)
    return bool(poller.poll(0))
