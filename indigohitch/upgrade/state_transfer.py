"""The old process' state on its way to the new one."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

from . import messages

PIECE = 1 << 16  # of the state: a frame that a socket's buffer takes in one go


def send_state(
    say: Callable[..., None],
    listeners: Mapping[str, socket.socket],
    state: bytes,
    now: int,
    rehearse_at: int,
) -> None:
    """The listeners by name, then the state in pieces; what modules order at `rehearse_at` is compared."""
    descriptors = [sock.fileno() for sock in listeners.values()]
    say(messages.Listeners(list(listeners), now, len(state), rehearse_at), descriptors)
    for at in range(0, len(state), PIECE):
        say(messages.StateChunk(state[at : at + PIECE]))
