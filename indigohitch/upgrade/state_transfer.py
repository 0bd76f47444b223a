"""Sends the old process' listeners and state to the new process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

from . import messages

CHUNK_BYTES = 1 << 16  # of the state: a frame that a socket's buffer takes in one write


def send_state(
    send: Callable[..., None],
    listeners: Mapping[str, socket.socket],
    state: bytes,
    now: int,
    rehearse_at: int,
) -> None:
    """Sends the listeners by name, then the state in chunks.

    `now` and `rehearse_at` are ticks; both processes compute their orders as of `rehearse_at` and the
    results are compared.
    """
    descriptors = [sock.fileno() for sock in listeners.values()]
    send(messages.Listeners(list(listeners), now, len(state), rehearse_at), descriptors)
    for offset in range(0, len(state), CHUNK_BYTES):
        send(messages.StateChunk(state[offset : offset + CHUNK_BYTES]))
