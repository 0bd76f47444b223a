"""The interface of a program that one process of it can hand over to another."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from . import snapshot as shots

# Its kind, the socket, and the bytes that it brought and nobody has read.
PassedConnection = tuple[str, socket.socket, bytes]


class HandoverParticipant(Protocol):
    """What a program offers so that it can be handed over: first in the old process, then in the new one."""

    # ---- in the old process

    def listeners(self) -> dict[str, socket.socket]:
        """Returns the listening sockets by name, in order."""

    def settle(self, on: bool) -> None:
        """Starts no work that a state can not hold, or starts it again."""

    def is_settled(self) -> bool:
        """Whether no such work is in flight."""

    def has_urgent_work(self) -> bool:
        """Whether work with a time limit waits while this process is settled."""

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Stops the module and passes its state to `taken`, or the error, at once or later."""

    def thaw(self) -> None:
        """Lets the module continue."""

    def set_accepting(self, on: bool) -> None:
        """Starts or stops to accept connections."""

    def late_events(self) -> bytes:
        """Returns the events since the state was taken or since the last call."""

    def take_idle_connections(self) -> list[PassedConnection]:
        """Removes and returns the connections that can be passed on."""

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        """Takes over a connection that was passed."""

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        """Finishes the work in flight; connections that become idle go to `pass_on`."""

    def is_drained(self) -> bool:
        """Whether no work is in flight."""

    def rehearse(self, at: int) -> bytes:
        """Returns a digest of the module's next orders; it advances the module."""

    def reload(self) -> None:
        """Reads the configuration again."""

    # ---- in the new process

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        """Builds the program from the state."""

    def snapshot_again(self) -> shots.Snapshot:
        """Returns the restored state, as it would be handed over."""

    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes:
        """Returns the digest of `rehearse` for a copy of the module."""

    def take_late_events(self, rest: bytes) -> None:
        """Handles the old process' `late_events`."""

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        """Builds the program without a state."""

    def start_serving(self, restored: bool) -> None:
        """Accepts connections; raises OSError where there is no address to accept at."""
