"""Handover of the platform's front to the next process: its state and its connections.

Inbound connections are passed on with their unfinished line.  Pending relay calls are passed on too: none is
in flight while the snapshot is taken, so each is sent by one process, and the send times of earlier calls
count in the next process.  The watches on the store and on discovery and the probes start again, as after a
reconnect.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
import orjson

from .. import interface as face
from ..logic.state import DEPARTING_STATES
from ..net.connection import Connection as Wire
from ..net.listener import Listener
from ..upgrade import event_codec
from ..upgrade import snapshot as shots
from ..upgrade.handover_participant import PassedConnection
from ..upgrade.module_state import thaw
from .front import Front
from .front_state import front_state, restore_front

# Events that the old process receives after the snapshot and passes on; the new process requests everything
# else itself and repeats unanswered probes.
HANDED_ON = (face.SliceDemand, face.ProxyDemand, face.BackendTraffic, face.UpdateAcknowledged)


class CoordinatorHandover:
    """Hands over a front; implements upgrade.handover_participant.

    In the new process `make(listening_socket)` creates the front.
    """

    def __init__(
        self,
        front: Front | None,
        make: Callable[[socket.socket | None], Front],
        controls: Callable[[], Listener | None],
        control_taken: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.front = front
        self.make = make
        self.controls = controls
        self.control_taken = control_taken
        self.reload = reload
        self.given: dict[str, socket.socket] = {}
        self.kept: list[face.Event] = []  # passed on, kept until the upgrade is complete
        self.state: shots.CoordinatorState | None = None
        self.taken = 0
        self.pass_on: Callable[[PassedConnection], bool] = lambda connection: False
        self.passing = False

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        """Return the listening sockets to pass on, by name."""
        control = self.controls()
        callers = {"callers": self.front.inbound.listener.sock}
        return callers | ({"control": control.sock} if control else {})

    def settle(self, enabled: bool) -> None:
        """Pause or resume calls to the relay."""
        self.front.relay.set_paused(enabled)

    def is_settled(self) -> bool:
        """Return whether no call to the relay is in flight."""
        return not self.front.relay.awaiting_response

    def has_urgent_work(self) -> bool:
        """Return whether orders for a drain, or an unprocessed list that reports one, are waiting."""
        return self.front.relay.outbox.any_urgent_waits() or any(
            isinstance(event, face.BackendList)
            and any(entry.state in DEPARTING_STATES for entry in event.entries)
            for event in self.front.event_batch.events
        )

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Pause the decision module and pass its encoded snapshot, or the error, to `taken`."""
        try:
            state = shots.encode(self.snapshot())
        except Exception as error:
            taken(None, error)
        else:
            self.front.event_batch.is_paused = True
            taken(state, None)

    def snapshot(self) -> shots.Snapshot:
        """Return the state after the decision module has processed all waiting events.

        The next process would take unprocessed changes as known and never report them.
        """
        event_batch = self.front.event_batch
        if self.front.restart_pending:
            self.front.replay_state()
        event_batch.is_due |= bool(event_batch.events)
        event_batch.flush_if_due()
        return shots.Snapshot("coordinator", self.front.loop.clock.now(), None, front_state(self.front))

    def thaw(self) -> None:
        """Resume after a failed upgrade, with the events that were passed on."""
        front = self.front
        self.passing = False
        front.event_batch.is_paused = False
        kept = self.kept
        self.kept = []
        front.event_batch.restore(kept)
        self.restart_timer()

    def restart_timer(self) -> None:
        """Set the timer of the next decision round again, if one is due."""
        if due := self.front.coordinator.timer_due_at:
            self.front.execute_orders([face.SetTimer(due, "beat")])

    def set_accepting(self, enabled: bool) -> None:
        """Start or stop accepting connections."""
        self.front.inbound.listener.accept(enabled)
        control = self.controls()
        if control:
            control.accept(enabled)

    def late_events(self) -> bytes:
        """Return the encoded events that arrived after the snapshot."""
        taken = self.front.event_batch.take()
        self.kept += taken
        return msgspec.msgpack.encode(
            event_codec.pack_all(event for event in taken if isinstance(event, HANDED_ON))
        )

    def take_idle_connections(self) -> list[PassedConnection]:
        """Detach and return the inbound connections that have nothing left to write."""
        hub = self.front.inbound
        return [self.take_out(c) for c in [*hub.unidentified, *hub.collectors] if not len(c.outgoing)]

    def take_out(self, connection: Wire) -> PassedConnection:
        """Detach one inbound connection with its parser state."""
        caller = connection.reader
        self.front.inbound.remove(connection)
        kind = orjson.dumps(
            [
                caller.zone,
                caller.connected_at,
                caller.last_line_at,
                caller.line_started_at,
                caller.invalid_line_count,
            ]
        )
        return (kind.decode(), *connection.detach())

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        """Take over a connection: its parser state as JSON, its socket and its unparsed bytes."""
        self.front.inbound.adopt(sock, rest, *orjson.loads(kind))

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        """Pass on the remaining connections as soon as their output is written."""
        self.pass_on = pass_on
        self.passing = True

    def is_drained(self) -> bool:
        """Pass on connections whose output is written now; return whether none is left."""
        for connection in self.take_idle_connections() if self.passing else ():
            if not self.pass_on(connection):
                connection[1].close()
        hub = self.front.inbound
        return not hub.unidentified and not hub.collectors

    def rehearse(self, now: int) -> bytes:
        """Return the digest of the orders the decision module would give at `now`, in ticks."""
        return event_codec.rehearsal_digest([self.front.coordinator], now)

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        """Create the front from a snapshot; raises UnusableSnapshotError if it is of another kind."""
        if state.coordinator is None:
            raise shots.UnusableSnapshotError(f"the state of a {state.kind}")
        self.start_empty(listeners)
        self.state = state.coordinator
        self.taken = state.taken
        restore_front(self.front, self.state)

    def snapshot_again(self) -> shots.Snapshot:
        """Return a snapshot of the restored front, to compare with the received one."""
        snapshot = self.snapshot()
        snapshot.taken = self.taken
        snapshot.coordinator.watching = self.state.watching
        return snapshot

    def rehearse_copy(self, state: shots.Snapshot, now: int) -> bytes:
        """Return the digest of the orders a copy restored from `state` would give at `now`."""
        return event_codec.rehearsal_digest([thaw(state.coordinator.module, self.front.settings)], now)

    def take_late_events(self, rest: bytes) -> None:
        """Add the events that the old process received after its snapshot."""
        self.front.add_events(*event_codec.unpack_all(msgspec.msgpack.decode(rest)))

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        """Create a front without state that accepts no connections yet."""
        self.given = listeners
        self.front = self.make(listeners.get("callers"))
        self.front.inbound.listener.accept(False)

    def start_serving(self, restored: bool) -> None:
        """Accept connections and continue the restored work, if `restored`."""
        front = self.front
        if "control" in self.given:
            self.control_taken(self.given["control"])
        front.inbound.listener.accept(True)
        front.start()
        if not restored:
            return
        if not front.coordinator.next_beat_at:  # it failed during the snapshot and has no events since
            front.replay_state()
        self.restart_timer()
        if self.state.watching:
            front.discovery.subscribe(True)
        for backend in self.state.probing:
            front.probes.send(backend, front.addresses.get(backend))
        if front.store_mirror.dropped_tables:
            front.store_mirror.schedule_dropped_report()
        front.relay.set_paused(False)
