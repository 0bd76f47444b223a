"""What a program offers so that one process of it can hand over to another."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from . import snapshot as shots

PassedConnection = tuple[
    str, socket.socket, bytes
]  # its kind, the socket, and what it brought that nobody read


class HandoverParticipant(Protocol):
    """What a program offers so that it can be handed over."""

    # in the old process
    def listeners(self) -> dict[str, socket.socket]: ...
    def settle(self, on: bool) -> None: ...  # begin nothing that a state can't hold
    def is_settled(self) -> bool: ...
    def has_urgent_work(
        self,
    ) -> bool: ...  # something with a time limit waits while this process stands still
    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """The module stands still from here on; its state, or why there is none, at once or later."""

    def thaw(self) -> None: ...  # it goes on
    def set_accepting(self, on: bool) -> None: ...
    def late_events(self) -> bytes: ...  # what came since the state or the last rest
    def take_idle_connections(self) -> list[PassedConnection]: ...  # take out what can be passed on
    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None: ...
    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None: ...
    def is_drained(self) -> bool: ...
    def rehearse(self, at: int) -> bytes: ...  # digest of the next orders; moves the module
    def reload(self) -> None: ...

    # in the new process
    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None: ...
    def snapshot_again(self) -> shots.Snapshot: ...  # the restored state, as it would be handed over
    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes: ...
    def take_late_events(self, rest: bytes) -> None: ...
    def start_empty(self, listeners: dict[str, socket.socket]) -> None: ...  # without a state
    def start_serving(self, restored: bool) -> None: ...  # accept; OSError where nothing is to accept at
