"""The parts of a handover that the new process has received and not used yet."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field

from . import messages
from .handover_participant import PassedConnection
from .snapshot import Snapshot


@dataclass(slots=True)
class ReceivedHandover:
    """Listeners, restored state, connections and late events that were received so far."""

    listeners: dict[str, socket.socket] = field(default_factory=dict)
    rehearse_at: int = 0  # ticks
    snapshot: Snapshot | None = None
    connections: list[tuple[int, PassedConnection]] = field(default_factory=list)  # with their numbers
    late_events: bytes = b""  # received with the commit

    def add_listeners(self, message: messages.Listeners, descriptors: list[int]) -> bool:
        """Opens the listening sockets; returns False if the number of descriptors is wrong."""
        if len(descriptors) != len(message.names):
            return False
        self.listeners = {name: socket.socket(fileno=fd) for name, fd in zip(message.names, descriptors)}
        self.rehearse_at = message.rehearse_at
        return True

    def check_listening(self) -> None:
        """Raises ValueError if one of the sockets is not in the listening state."""
        for name, sock in self.listeners.items():
            if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError(f"listener {name} is not a listening socket")

    def remove_connections(self) -> list[tuple[int, PassedConnection]]:
        """Removes and returns all connections."""
        connections = self.connections
        self.connections = []
        return connections


def open_connections(
    message: messages.ConnectionsPassed, descriptors: list[int]
) -> list[tuple[int, PassedConnection]] | None:
    """Returns the connections with their numbers, or None if the number of descriptors is wrong."""
    if not len(message.numbers) == len(message.unread) == len(message.kinds) == len(descriptors):
        return None
    return [
        (number, (kind, socket.socket(fileno=fd), unread_bytes))
        for number, kind, fd, unread_bytes in zip(message.numbers, message.kinds, descriptors, message.unread)
    ]
