"""The interface that a program implements to be handed over from one process to another."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from . import snapshot

# The kind of the connection, its socket, and the received bytes that were not processed yet.
PassedConnection = tuple[str, socket.socket, bytes]


class HandoverParticipant(Protocol):
    """The operations of a handover, first those in the old process, then those in the new one."""

    # ---- old process

    def listeners(self) -> dict[str, socket.socket]:
        """Returns the listening sockets by name, in order."""

    def settle(self, on: bool) -> None:
        """Stops starting work that a snapshot can't represent, or resumes it if `on` is False."""

    def is_settled(self) -> bool:
        """Whether no such work is in flight."""

    def has_urgent_work(self) -> bool:
        """Whether work with a time limit is delayed because this process is settled."""

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Stops the decision module and calls `taken` with the encoded state or the error, now or later."""

    def thaw(self) -> None:
        """Resumes the decision module."""

    def set_accepting(self, on: bool) -> None:
        """Starts or stops accepting connections."""

    def late_events(self) -> bytes:
        """Returns the encoded events since the state was taken or since the last call."""

    def take_idle_connections(self) -> list[PassedConnection]:
        """Removes and returns the idle connections, which can be passed to the new process."""

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        """Serves a connection that was passed; `rest` holds its unread bytes."""

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        """Finishes the work in flight and calls `pass_on` for each connection that becomes idle."""

    def is_drained(self) -> bool:
        """Whether no work is in flight."""

    def rehearse(self, at: int) -> bytes:
        """Returns the digest of the orders that the decision module issues at `at`; advances the module."""

    def reload(self) -> None:
        """Reloads the configuration."""

    # ---- new process

    def restore(self, state: snapshot.Snapshot, listeners: dict[str, socket.socket]) -> None:
        """Builds the program from the snapshot and the listening sockets."""

    def snapshot_again(self) -> snapshot.Snapshot:
        """Returns a new snapshot of the restored state."""

    def rehearse_copy(self, state: snapshot.Snapshot, at: int) -> bytes:
        """Returns the digest of `rehearse` for a copy of the decision module."""

    def take_late_events(self, rest: bytes) -> None:
        """Applies the events that `late_events` returned in the old process."""

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        """Builds the program without a snapshot."""

    def start_serving(self, restored: bool) -> None:
        """Starts accepting connections; raises OSError if the address can't be bound."""
