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
    def settled(self) -> bool: ...
    def urgent_waits(self) -> bool: ...  # something with a time limit waits while this process stands still
    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """The module stands still from here on; its state, or why there is none, at once or later."""

    def thaw(self) -> None: ...  # it goes on
    def accept(self, on: bool) -> None: ...
    def rest(self) -> bytes: ...  # what came since the state or the last rest
    def idle(self) -> list[PassedConnection]: ...  # take out what can be passed on
    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None: ...
    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None: ...
    def drained(self) -> bool: ...
    def rehearse(self, at: int) -> bytes: ...  # digest of the next orders; moves the module
    def reload(self) -> None: ...

    # in the new process
    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None: ...
    def again(self) -> shots.Snapshot: ...  # the restored state, as it would be handed over
    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes: ...
    def take_rest(self, rest: bytes) -> None: ...
    def fresh(self, listeners: dict[str, socket.socket]) -> None: ...  # without a state
    def begin(self, restored: bool) -> None: ...  # accept; OSError where nothing is to accept at
