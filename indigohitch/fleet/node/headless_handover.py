"""The side of an upgrade of a process without a front."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...net.listener import Listener
from ...upgrade import snapshot as shots


class HeadlessHandover:
    """All that is handed over is the control socket: the record is on the disk (upgrade.side.Side)."""

    def __init__(
        self,
        clock,
        controls: Callable[[], Listener | None],
        control_taken: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.clock, self.controls, self.control_taken, self.reload = clock, controls, control_taken, reload
        self.given: dict[str, socket.socket] = {}
        self.state: shots.Snapshot | None = None

    def listeners(self) -> dict[str, socket.socket]:
        control = self.controls()
        return {"control": control.sock} if control else {}

    def settle(self, on: bool) -> None: ...

    def has_urgent_work(self) -> bool:
        return False

    def is_settled(self) -> bool:
        return True

    def snapshot(self) -> shots.Snapshot:
        return shots.Snapshot("member", self.clock.now())

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        taken(shots.encode(self.snapshot()), None)

    def thaw(self) -> None: ...

    def set_accepting(self, on: bool) -> None:
        if control := self.controls():
            control.accept(on)

    def late_events(self) -> bytes:
        return b""

    def take_idle_connections(self) -> list:
        return []

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        sock.close()

    def drain(self, pass_on: Callable) -> None: ...

    def is_drained(self) -> bool:
        return True

    def rehearse(self, at: int) -> bytes:
        return b""

    # ---- in the new process

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        if state.kind != "member":
            raise ValueError(f"the state of a {state.kind}")
        self.state, self.given = state, listeners

    def snapshot_again(self) -> shots.Snapshot:
        return self.state

    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes:
        return b""

    def take_late_events(self, rest: bytes) -> None: ...

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        self.given = listeners

    def start_serving(self, restored: bool) -> None:
        if "control" in self.given:
            self.control_taken(self.given["control"])
