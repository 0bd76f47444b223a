"""Keeps the connections passed to the new process until it has confirmed that it owns them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from . import messages
from .channel import Channel
from .handover_participant import PassedConnection


class ConnectionTransfer:
    """Sends connections by number; each can be taken back until the new process confirms its number."""

    MAX_UNREAD_BYTES = 1 << 20  # unread bytes of connections in one frame: an eighth of a frame's bound

    def __init__(self, send: Callable[[messages.Message, Sequence[int]], None]) -> None:
        """Takes the function that sends a message with its descriptors."""
        self.send = send
        self.unconfirmed: dict[int, PassedConnection] = {}  # by number
        self.number = 0  # the last number that was assigned

    def add(self, connections: Iterable[PassedConnection]) -> None:
        """Assigns numbers; from here on each connection can be taken back."""
        for connection in connections:
            self.number += 1
            self.unconfirmed[self.number] = connection

    def send_all(self) -> None:
        """Sends all unconfirmed connections in batches.

        Raises:
            OSError: a batch could not be sent; all connections stay unconfirmed.
        """
        batch: list[int] = []
        size = 0
        for number, connection in self.unconfirmed.items():
            batch.append(number)
            size += len(connection[2])
            if len(batch) >= Channel.MAX_DESCRIPTORS or size > self.MAX_UNREAD_BYTES:
                self._send_batch(batch)
                batch = []
                size = 0
        self._send_batch(batch)

    def send_single(self, connection: PassedConnection) -> bool:
        """Sends one connection; False: it could not be sent, and stays with the caller."""
        self.add([connection])
        try:
            self._send_batch([self.number])
        except OSError:
            del self.unconfirmed[self.number]
            return False
        return True

    def _send_batch(self, numbers: list[int]) -> None:
        if not numbers:
            return
        batch = [self.unconfirmed[number] for number in numbers]
        rests = [rest for _, _, rest in batch]
        kinds = [kind for kind, _, _ in batch]
        descriptors = [sock.fileno() for _, sock, _ in batch]
        self.send(messages.ConnectionsPassed(numbers, rests, kinds), descriptors)

    def confirm(self, numbers: Iterable[int]) -> None:
        """Closes this process' side of connections that the new process owns; unknown numbers are ignored."""
        for number in numbers:
            if number in self.unconfirmed:
                self.unconfirmed.pop(number)[1].close()

    def take_back(self) -> list[PassedConnection]:
        """Returns all unconfirmed connections; they belong to this process again."""
        connections = list(self.unconfirmed.values())
        self.unconfirmed = {}
        return connections
