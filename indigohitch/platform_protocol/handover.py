"""Handover of the platform's front to the next process: its state and its connections.

Inbound connections are passed on with their incomplete line.  Pending relay calls are passed on too: none is
in flight while the snapshot is taken, so each is sent by one process only, and the next process applies the
rate limits with the send times of earlier calls.  The watches on the store and on discovery and the probes
start again, as after a reconnect.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
import orjson

from .. import interface as face
from ..logic.state import DEPARTING_STATES
from ..net.connection import Connection
from ..net.listener import Listener
from ..upgrade import event_codec
from ..upgrade import snapshot as shots
from ..upgrade.handover_participant import PassedConnection
from ..upgrade.module_state import thaw
from .front import Front
from .front_state import front_state, restore_front

# Events that the old process forwards if they arrive after the snapshot.  The new process requests everything
# else itself and repeats unanswered probes.
FORWARDED_EVENTS = (face.SliceDemand, face.ProxyDemand, face.BackendTraffic, face.UpdateAcknowledged)


class CoordinatorHandover:
    """Hands over a front; implements upgrade.handover_participant.

    In the new process `create_front(listening_socket)` creates the front.
    """

    def __init__(
        self,
        front: Front | None,
        create_front: Callable[[socket.socket | None], Front],
        control_listener: Callable[[], Listener | None],
        take_over_control: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.front = front
        self.create_front = create_front
        self.control_listener = control_listener
        self.take_over_control = take_over_control
        self.reload = reload
        self.inherited_listeners: dict[str, socket.socket] = {}
        self.events_since_snapshot: list[face.Event] = []  # until the upgrade is complete, for `thaw`
        self.state: shots.CoordinatorState | None = None
        self.snapshot_taken_at = 0
        self.pass_on: Callable[[PassedConnection], bool] = lambda connection: False
        self.is_passing_connections = False

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        """Return the listening sockets to pass on, by name."""
        control = self.control_listener()
        sockets = {"callers": self.front.inbound.listener.sock}
        return sockets | ({"control": control.sock} if control else {})

    def settle(self, enabled: bool) -> None:
        """Pause or resume calls to the relay."""
        self.front.relay.set_paused(enabled)

    def is_settled(self) -> bool:
        """Return whether no call to the relay is in flight."""
        return not self.front.relay.awaiting_response

    def has_urgent_work(self) -> bool:
        """Return whether orders for a drain, or an unprocessed list that reports one, are waiting."""
        return self.front.relay.outbox.has_urgent_orders() or any(
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
        """Resume after a failed upgrade, with the events since the snapshot."""
        front = self.front
        self.is_passing_connections = False
        front.event_batch.is_paused = False
        events = self.events_since_snapshot
        self.events_since_snapshot = []
        front.event_batch.restore(events)
        self.restart_timer()

    def restart_timer(self) -> None:
        """Set the timer of the next decision round again, if one is due."""
        if due := self.front.coordinator.timer_due_at:
            self.front.execute_orders([face.SetTimer(due, "beat")])

    def set_accepting(self, enabled: bool) -> None:
        """Start or stop accepting connections."""
        self.front.inbound.listener.accept(enabled)
        control = self.control_listener()
        if control:
            control.accept(enabled)

    def late_events(self) -> bytes:
        """Return the encoded events that arrived after the snapshot."""
        events = self.front.event_batch.take()
        self.events_since_snapshot += events
        return msgspec.msgpack.encode(
            event_codec.pack_all(event for event in events if isinstance(event, FORWARDED_EVENTS))
        )

    def take_idle_connections(self) -> list[PassedConnection]:
        """Detach and return the inbound connections that have nothing left to write."""
        inbound = self.front.inbound
        return [
            self.detach_connection(c)
            for c in [*inbound.unidentified, *inbound.collectors]
            if not len(c.outgoing)
        ]

    def detach_connection(self, connection: Connection) -> PassedConnection:
        """Detach an inbound connection and return its parser state, socket and unparsed bytes."""
        reader = connection.reader
        self.front.inbound.remove(connection)
        parser_state = orjson.dumps(
            [
                reader.zone,
                reader.connected_at,
                reader.last_line_at,
                reader.line_started_at,
                reader.invalid_line_count,
            ]
        )
        return (parser_state.decode(), *connection.detach())

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        """Take over a connection: its parser state as JSON, its socket and its unparsed bytes."""
        self.front.inbound.adopt(sock, rest, *orjson.loads(kind))

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        """Pass the remaining connections to `pass_on` as soon as their output is written."""
        self.pass_on = pass_on
        self.is_passing_connections = True

    def is_drained(self) -> bool:
        """Pass on connections whose output is written now; return whether none is left."""
        for connection in self.take_idle_connections() if self.is_passing_connections else ():
            if not self.pass_on(connection):
                connection[1].close()
        inbound = self.front.inbound
        return not inbound.unidentified and not inbound.collectors

    def rehearse(self, now: int) -> bytes:
        """Return the digest of the orders the decision module would give at `now`, in ticks."""
        return event_codec.rehearsal_digest([self.front.coordinator], now)

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        """Create the front from a snapshot; raises UnusableSnapshotError if it is of another kind."""
        if state.coordinator is None:
            raise shots.UnusableSnapshotError(
                f"snapshot holds the state of a {state.kind}, not of a coordinator"
            )
        self.start_empty(listeners)
        self.state = state.coordinator
        self.snapshot_taken_at = state.taken
        restore_front(self.front, self.state)

    def snapshot_again(self) -> shots.Snapshot:
        """Return a snapshot of the restored front, to compare with the received one."""
        snapshot = self.snapshot()
        snapshot.taken = self.snapshot_taken_at
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
        self.inherited_listeners = listeners
        self.front = self.create_front(listeners.get("callers"))
        self.front.inbound.listener.accept(False)

    def _suspend_orders(self) -> None:
        """Withhold orders that need news of the store first: the time since the state was taken is unknown.

        A state without inherited listeners comes from a file, so it may be of any age.
        """
        store_mirror = self.front.store_mirror
        is_from_file = not self.inherited_listeners
        if is_from_file:
            store_mirror.has_started = False
            # The restored list of backends is as old as the file.
            self.front.add_events(face.BackendList("failed", self.front.discovery.version, ()))
        store_mirror.suspend_all(always=is_from_file)

    def start_serving(self, restored: bool) -> None:
        """Accept connections and continue the restored work, if `restored`."""
        front = self.front
        if "control" in self.inherited_listeners:
            self.take_over_control(self.inherited_listeners["control"])
        front.inbound.listener.accept(True)
        if restored:
            self._suspend_orders()
        front.start()
        if not restored:
            return
        if not front.coordinator.next_beat_at:  # it failed during the snapshot and got no events since
            front.replay_state()
        self.restart_timer()
        if self.state.watching:
            front.discovery.subscribe(True)
        for backend in self.state.probing:
            front.probes.send(backend, front.addresses.get(backend))
        if front.store_mirror.dropped_tables:
            front.store_mirror.schedule_dropped_report()
        front.relay.set_paused(False)
