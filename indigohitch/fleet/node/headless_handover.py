"""The participant of handovers of a process without a front."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ...net.clock import Clock
from ...net.listener import Listener
from ...upgrade import snapshot
from ...upgrade.handover_participant import PassedConnection


class HeadlessHandover:
    """Hands over only the control socket: the Raft log is on disk (HandoverParticipant)."""

    def __init__(
        self,
        clock: Clock,
        control_listener: Callable[[], Listener | None],
        take_over_control: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        """Creates a participant that calls these functions of its process."""
        self.clock = clock
        self.control_listener = control_listener
        self.take_over_control = take_over_control
        self.reload = reload
        self.inherited: dict[str, socket.socket] = {}
        self.state: snapshot.Snapshot | None = None

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        """Returns the control socket by its name, if it is open."""
        control = self.control_listener()
        return {"control": control.sock} if control else {}

    def settle(self, on: bool) -> None:
        """Does nothing: there is no front whose work could be settled."""

    def has_urgent_work(self) -> bool:
        """Returns False: there is no front with work."""
        return False

    def is_settled(self) -> bool:
        """Returns True: there is no front with work."""
        return True

    def snapshot(self) -> snapshot.Snapshot:
        """Returns an empty state."""
        return snapshot.Snapshot("member", self.clock.now())

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Passes the empty state to `taken` at once."""
        taken(snapshot.encode(self.snapshot()), None)

    def thaw(self) -> None:
        """Does nothing: nothing was frozen."""

    def set_accepting(self, on: bool) -> None:
        """Starts or stops accepting at the control socket."""
        if control := self.control_listener():
            control.accept(on)

    def late_events(self) -> bytes:
        """Returns nothing: no event can change an empty state."""
        return b""

    def take_idle_connections(self) -> list[PassedConnection]:
        """Returns none: there is no front with connections."""
        return []

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        """Closes a passed connection, as there is no front for it."""
        sock.close()

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        """Does nothing: there is no front with connections."""

    def is_drained(self) -> bool:
        """Returns True: there is no front with connections."""
        return True

    def rehearse(self, at: int) -> bytes:
        """Returns an empty digest: there are no orders."""
        return b""

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: snapshot.Snapshot, listeners: dict[str, socket.socket]) -> None:
        """Keeps the state and the sockets; raises ValueError for the state of another kind of process."""
        if state.kind != "member":
            raise ValueError(f"snapshot holds the state of a {state.kind}, not of a member")
        self.state = state
        self.inherited = listeners

    def snapshot_again(self) -> snapshot.Snapshot | None:
        """Returns the restored state."""
        return self.state

    def rehearse_copy(self, state: snapshot.Snapshot, at: int) -> bytes:
        """Returns an empty digest: there are no orders."""
        return b""

    def take_late_events(self, rest: bytes) -> None:
        """Does nothing: no event can change an empty state."""

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        """Keeps the sockets."""
        self.inherited = listeners

    def start_serving(self, restored: bool) -> None:
        """Takes over the control socket, if one was handed over."""
        if "control" in self.inherited:
            self.take_over_control(self.inherited["control"])
