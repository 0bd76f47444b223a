"""The platform's front as something that can be handed over: its state as rows and back, its callers.

Callers go over with the line that they have not finished.  Calls to the relay do too: none is out while the
state is taken, so that each is sent by one process, and the times of those that went count in the next one.
News, the watch of discovery and probes are asked for anew; each begins with what stands, as after a break."""

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

# What the old one hears after its state was taken and the new one would not: it asks for the rest itself, and
# sends probes that are out again.
HANDED_ON = (face.SliceDemand, face.ProxyDemand, face.BackendTraffic, face.UpdateAcknowledged)


class CoordinatorHandover:
    """Of a front; see upgrade.side.Side.  In the new process `make(listening)` makes the front."""

    def __init__(
        self,
        front: Front | None,
        make: Callable[[socket.socket | None], Front],
        controls: Callable[[], Listener | None],
        control_taken: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.front, self.make, self.controls = front, make, controls
        self.control_taken, self.reload = control_taken, reload
        self.given: dict[str, socket.socket] = {}
        self.kept: list[face.Event] = []  # given on, until the upgrade stands
        self.state: shots.CoordinatorState | None = None
        self.taken = 0
        self.pass_on: Callable[[PassedConnection], bool] = lambda connection: False
        self.passing = False

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        control = self.controls()
        callers = {"callers": self.front.inbound.listener.sock}
        return callers | ({"control": control.sock} if control else {})

    def settle(self, on: bool) -> None:
        self.front.relay.set_paused(on)

    def is_settled(self) -> bool:
        return not self.front.relay.awaiting_response

    def has_urgent_work(self) -> bool:
        """Orders that a drain needs, or a list that tells of one and that the module has not heard."""
        return self.front.relay.outbox.any_urgent_waits() or any(
            isinstance(event, face.BackendList)
            and any(entry.state in DEPARTING_STATES for entry in event.entries)
            for event in self.front.event_batch.events
        )

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        try:
            state = shots.encode(self.snapshot())
        except Exception as broken:
            taken(None, broken)
        else:
            self.front.event_batch.is_paused = True
            taken(state, None)

    def snapshot(self) -> shots.Snapshot:
        """What stands in tables, lists and versions the module has been told: else whoever goes on from there
        would take it for told, and never tell it."""
        gathering = self.front.event_batch
        if self.front.restart_pending:
            self.front.replay_state()
        gathering.is_due |= bool(gathering.events)
        gathering.flush_if_due()
        return shots.Snapshot("coordinator", self.front.loop.clock.now(), None, front_state(self.front))

    def thaw(self) -> None:
        front, self.passing = self.front, False
        front.event_batch.is_paused = False
        kept, self.kept = self.kept, []
        front.event_batch.restore(kept)
        self.timer_again()

    def timer_again(self) -> None:
        if due := self.front.coordinator.timer_due_at:
            self.front.execute_orders([face.SetTimer(due, "beat")])

    def set_accepting(self, on: bool) -> None:
        self.front.inbound.listener.accept(on)
        control = self.controls()
        if control:
            control.accept(on)

    def late_events(self) -> bytes:
        taken = self.front.event_batch.take()
        self.kept += taken
        return msgspec.msgpack.encode(event_codec.pack_all(e for e in taken if isinstance(e, HANDED_ON)))

    def take_idle_connections(self) -> list[PassedConnection]:
        hub = self.front.inbound
        return [self.take_out(c) for c in [*hub.unidentified, *hub.collectors] if not len(c.outgoing)]

    def take_out(self, connection: Wire) -> PassedConnection:
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
        self.front.inbound.adopt(sock, rest, *orjson.loads(kind))

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        self.pass_on, self.passing = pass_on, True

    def is_drained(self) -> bool:
        """Callers that had something to be written when the rest went over follow as soon as it is."""
        for connection in self.take_idle_connections() if self.passing else ():
            if not self.pass_on(connection):
                connection[1].close()
        hub = self.front.inbound
        return not hub.unidentified and not hub.collectors

    def rehearse(self, at: int) -> bytes:
        return event_codec.rehearsal_digest([self.front.coordinator], at)

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        if state.coordinator is None:
            raise shots.UnusableSnapshotError(f"the state of a {state.kind}")
        self.start_empty(listeners)
        self.state, self.taken = state.coordinator, state.taken
        restore_front(self.front, self.state)

    def snapshot_again(self) -> shots.Snapshot:
        again = self.snapshot()
        again.taken = self.taken
        again.coordinator.watching = self.state.watching
        return again

    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes:
        return event_codec.rehearsal_digest([thaw(state.coordinator.module, self.front.settings)], at)

    def take_late_events(self, rest: bytes) -> None:
        self.front.add_events(*event_codec.unpack_all(msgspec.msgpack.decode(rest)))

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        self.given = listeners
        self.front = self.make(listeners.get("callers"))
        self.front.inbound.listener.accept(False)

    def start_serving(self, restored: bool) -> None:
        front = self.front
        if "control" in self.given:
            self.control_taken(self.given["control"])
        front.inbound.listener.accept(True)
        front.start()
        if not restored:
            return
        if not front.coordinator.next_beat_at:  # it broke as the state was taken, and has heard nothing since
            front.replay_state()
        self.timer_again()
        if self.state.watching:
            front.discovery.subscribe(True)
        for backend in self.state.probing:
            front.probes.send(backend, front.addresses.get(backend))
        if front.store_mirror.dropped_tables:
            front.store_mirror.schedule_dropped_report()
        front.relay.set_paused(False)
