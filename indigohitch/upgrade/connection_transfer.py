"""Passes connections to the new process and keeps each until the new process has confirmed it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from . import messages
from .channel import Channel
from .handover_participant import PassedConnection


class ConnectionTransfer:
    """Sends connections by number; each can be taken back until the new process confirms its number."""

    MAX_UNREAD_BYTES = 1 << 20  # unread bytes per frame: an eighth of the maximum frame size

    def __init__(self, send: Callable[[messages.Message, Sequence[int]], None]) -> None:
        """Stores `send`, which sends a message with its descriptors."""
        self.send = send
        self.unconfirmed: dict[int, PassedConnection] = {}  # by number
        self.last_number = 0

    def add(self, connections: Iterable[PassedConnection]) -> None:
        """Assigns numbers to the connections, which can be taken back from then on."""
        for connection in connections:
            self.last_number += 1
            self.unconfirmed[self.last_number] = connection

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
        """Sends one connection; returns False if that failed and the caller keeps the connection."""
        self.add([connection])
        try:
            self._send_batch([self.last_number])
        except OSError:
            del self.unconfirmed[self.last_number]
            return False
        return True

    def _send_batch(self, numbers: list[int]) -> None:
        if not numbers:
            return
        batch = [self.unconfirmed[number] for number in numbers]
        unread = [unread_bytes for _, _, unread_bytes in batch]
        kinds = [kind for kind, _, _ in batch]
        descriptors = [sock.fileno() for _, sock, _ in batch]
        self.send(messages.ConnectionsPassed(numbers, unread, kinds), descriptors)

    def confirm(self, numbers: Iterable[int]) -> None:
        """Closes this process' copies of connections that the new process owns; ignores unknown numbers."""
        for number in numbers:
            if number in self.unconfirmed:
                self.unconfirmed.pop(number)[1].close()

    def take_back(self) -> list[PassedConnection]:
        """Returns and removes all unconfirmed connections, which this process owns again."""
        connections = list(self.unconfirmed.values())
        self.unconfirmed = {}
        return connections
