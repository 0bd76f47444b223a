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
from ..net.connection import Connection as Wire
from ..net.listener import Listener
from ..upgrade import events
from ..upgrade import snapshot as shots
from ..upgrade.module_state import freeze, thaw
from ..upgrade.side import Connection
from . import tables
from .backlog import Sent
from .front import Front
from .starts import Start

# What the old one hears after its state was taken and the new one would not: it asks for the rest itself, and
# sends probes that are out again.
HANDED_ON = (face.SliceDemand, face.ProxyDemand, face.Traffic, face.Acked)


def front_state(front: Front) -> shots.CoordinatorState:
    relay, holdings = front.relay, front.holdings
    return shots.CoordinatorState(
        freeze(front.coordinator),
        [list(events.listed(entry)) for entry in front.listed.values()],
        front.addresses,
        list(front.heard_of),
        front.discovery.version,
        front.discovery.watching,
        [[list(events.pack(order)) for order in call] for call in relay.waiting],
        list(relay.written),
        relay.first.failures,
        [list(events.pack(joined)) for joined in holdings.proxies.values()],
        [
            shots.StoodRow(
                number,
                [(b, float(w)) for b, w in table.lines.items()],
                None if table.level is None else list(events.pack(table.level)),
            )
            for number, table in holdings.stood.items()
        ],
        holdings.begun,
        sorted(holdings.lost),
        [b.id for b in front.coordinator.backends.values() if b.probe_out],
        [list(events.pack(order)) for order in relay.first.maybe],
        [(backend, start.told, start.at) for backend, start in front.starts.known.items()],
        front.starts.heard,
    )


def restore_front(front: Front, state: shots.CoordinatorState) -> None:
    front.coordinator = thaw(state.module, front.boot)
    front.gathering.take()  # the list of the configuration is older than the state
    front.listed = {entry.backend: entry for entry in (face.Listed(*row) for row in state.listed)}
    front.addresses = dict(state.addresses)
    front.starts.known = {backend: Start(told, at) for backend, told, at in state.starts}
    front.starts.heard = state.list_heard
    front.heard_of.clear()
    front.heard_of.update(dict.fromkeys(state.heard_of))  # the reader of lines holds the same dict
    front.discovery.restore(state.version)
    relay, holdings = front.relay, front.holdings
    relay.held = True
    waiting = [[events.unpack(order) for order in call] for call in state.waiting]
    relay.restore(waiting, state.written, state.failures, [events.unpack(order) for order in state.maybe])
    _restore_backlog(front)
    holdings.proxies = {joined.proxy: joined for joined in map(events.unpack, state.proxies)}
    holdings.stood = {
        row.number: tables.Table(dict(row.lines), row.level and events.unpack(row.level))
        for row in state.stood
    }
    holdings.begun, holdings.lost = state.begun, set(state.lost)


def _restore_backlog(front: Front) -> None:
    """What the module has ordered and proxies have not answered lies in the channel, but for calls that have
    yet to go.  One in doubt may."""
    relay, channel = front.relay, front.coordinator.channel
    to_go = list(relay.waiting)[1 if relay.first.failures else 0 :]
    unsent = {order.mark for call in to_go for order in call if isinstance(order, face.Mark)}
    calls = [
        Sent(each, mark, set(proxies))
        for mark, (each, proxies) in channel.unacked.items()
        if mark not in unsent
    ]
    # All of it: the module counts lines out from when it ordered them, and a call may have gone much later.
    relay.backlog.calls, relay.backlog.at = calls, front.loop.clock.now()
    relay.backlog.lines = sum(call.lines for call in calls)
    if relay.first.failures and relay.waiting:
        relay.first.proof.begin(relay.waiting[0])
        relay.bounds.copies = [call for call in calls if call.mark == relay.first.proof.mark]


class Handover:
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
        self.pass_on: Callable[[Connection], bool] = lambda connection: False
        self.passing = False

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        control = self.controls()
        callers = {"callers": self.front.collectors.listener.sock}
        return callers | ({"control": control.sock} if control else {})

    def settle(self, on: bool) -> None:
        self.front.relay.hold(on)

    def settled(self) -> bool:
        return not self.front.relay.out

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        try:
            state = shots.encode(self.snapshot())
        except Exception as broken:
            taken(None, broken)
        else:
            self.front.gathering.held = True
            taken(state, None)

    def snapshot(self) -> shots.Snapshot:
        """What stands in tables, lists and versions the module has been told: else whoever goes on from there
        would take it for told, and never tell it."""
        gathering = self.front.gathering
        if self.front.anew:
            self.front._tell_all()
        gathering.ready |= bool(gathering.events)
        gathering.turn()
        return shots.Snapshot("coordinator", self.front.loop.clock.now(), None, front_state(self.front))

    def thaw(self) -> None:
        front, self.passing = self.front, False
        front.gathering.held = False
        kept, self.kept = self.kept, []
        front.gathering.give_back(kept)
        self.timer_again()

    def timer_again(self) -> None:
        if due := self.front.coordinator.timer:
            self.front._carry([face.SetTimer(due, "beat")])

    def accept(self, on: bool) -> None:
        self.front.collectors.listener.accept(on)
        control = self.controls()
        if control:
            control.accept(on)

    def rest(self) -> bytes:
        taken = self.front.gathering.take()
        self.kept += taken
        return msgspec.msgpack.encode(events.pack_all(e for e in taken if isinstance(e, HANDED_ON)))

    def idle(self) -> list[Connection]:
        hub = self.front.collectors
        return [self.take_out(c) for c in [*hub.strangers, *hub.members] if not len(c.outgoing)]

    def take_out(self, connection: Wire) -> Connection:
        caller = connection.reader
        self.front.collectors.gone(connection)
        kind = orjson.dumps(
            [caller.zone, caller.began, caller.heard_at, caller.unfinished_since, caller.spoilt]
        )
        return (kind.decode(), *connection.detach())

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        self.front.collectors.adopt(sock, rest, *orjson.loads(kind))

    def drain(self, pass_on: Callable[[Connection], bool]) -> None:
        self.pass_on, self.passing = pass_on, True

    def drained(self) -> bool:
        """Callers that had something to be written when the rest went over follow as soon as it is."""
        for connection in self.idle() if self.passing else ():
            if not self.pass_on(connection):
                connection[1].close()
        hub = self.front.collectors
        return not hub.strangers and not hub.members

    def rehearse(self, at: int) -> bytes:
        return events.rehearsed([self.front.coordinator], at)

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        if state.coordinator is None:
            raise shots.Unusable(f"the state of a {state.kind}")
        self.fresh(listeners)
        self.state, self.taken = state.coordinator, state.taken
        restore_front(self.front, self.state)

    def again(self) -> shots.Snapshot:
        again = self.snapshot()
        again.taken = self.taken
        again.coordinator.watching = self.state.watching
        return again

    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes:
        return events.rehearsed([thaw(state.coordinator.module, self.front.boot)], at)

    def take_rest(self, rest: bytes) -> None:
        self.front.hear(*events.unpack_all(msgspec.msgpack.decode(rest)))

    def fresh(self, listeners: dict[str, socket.socket]) -> None:
        self.given = listeners
        self.front = self.make(listeners.get("callers"))
        self.front.collectors.listener.accept(False)

    def begin(self, restored: bool) -> None:
        front = self.front
        if "control" in self.given:
            self.control_taken(self.given["control"])
        front.collectors.listener.accept(True)
        front.start()
        if not restored:
            return
        if not front.coordinator.next_beat:  # it broke as the state was taken, and has heard nothing since
            front._tell_all()
        self.timer_again()
        if self.state.watching:
            front.discovery.subscribe(True)
        for backend in self.state.probing:
            front.probes.send(backend, front.addresses.get(backend))
        if front.holdings.lost:
            front.holdings.tell_lost_soon()
        front.relay.hold(False)
