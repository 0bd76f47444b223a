"""Sends listeners and state to the new process and compares the orders that both processes compute."""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping

from ..net.clock import SECOND
from . import messages
from .handover_participant import HandoverParticipant

CHUNK_BYTES = 1 << 16  # of the state per frame: fits into a socket buffer in one write


class StateTransfer:
    """The state that was sent, and the digest of the orders that the new process computed from it."""

    REHEARSAL_DELAY = 2 * SECOND  # four beats of the decision module, so that it issues orders

    def __init__(self) -> None:
        self.state = b""  # encoded
        self.rehearse_at = 0  # ticks
        self.successor_orders = b""  # digest of the orders at `rehearse_at`

    def send_state(
        self,
        send: Callable[..., None],
        listeners: Mapping[str, socket.socket],
        state: bytes,
        now: int,
        rehearse_at: int,
    ) -> None:
        """Sends the listeners, then the encoded state in chunks; times are in ticks."""
        self.state = state
        self.rehearse_at = rehearse_at
        descriptors = [sock.fileno() for sock in listeners.values()]
        send(messages.Listeners(list(listeners), now, len(state), self.rehearse_at), descriptors)
        for offset in range(0, len(state), CHUNK_BYTES):
            send(messages.StateChunk(state[offset : offset + CHUNK_BYTES]))

    def is_equal(self, side: HandoverParticipant) -> bool:
        """Whether this process computes the same orders as the new one; advances its decision module."""
        return side.rehearse(self.rehearse_at) == self.successor_orders
