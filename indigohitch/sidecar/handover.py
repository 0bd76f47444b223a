"""The sidecar as something that can be handed over: its state as rows and back, its connections."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Iterable

import msgspec

from .. import interface as face
from ..config.texts import Server as Told
from ..net.listener import Listener
from ..upgrade import event_codec
from ..upgrade import snapshot as shots
from ..upgrade.handover_participant import PassedConnection
from ..upgrade.module_state import freeze, thaw
from .clients import Client
from .host import Host
from .pool import Pool


def chance(uniform) -> tuple:
    version, internal, gauss = uniform.__self__.getstate()
    return version, list(internal), gauss


def told(servers: Iterable[Told]) -> list[tuple]:
    """What the file says of each, without the line."""
    return [(t.name, *t.address, t.weight, t.zone, t.kind) for t in servers]


def pool_row(pool: Pool) -> shots.PoolRow:
    servers = list(pool.servers.values())
    place = {server: at for at, server in enumerate(servers)}
    return shots.PoolRow(
        pool.name,
        pool.slices,
        freeze(pool.coordinator),
        [shots.ServerRow(s.name, *s.address, s.withdrawn, s.listed, s.load) for s in servers],
        [
            shots.TableRow(
                [(place[s], float(w)) for s, w in zip(t.servers, t.weights)], t.level, t.levels, t.retry_level
            )
            for t in pool.tables
        ],
        chance(pool.uniform),
        pool.version,
        pool._turn,
        pool.reported,
        told(pool.text.servers.values()),
        [b.id for b in pool.coordinator.backends.values() if b.probe_sent_at],
    )


def restore_pool(pool: Pool, row: shots.PoolRow) -> None:
    """The pool as it was.  Its file may name other servers by now: `begin` tells the module of those."""
    pool.coordinator = thaw(row.module, pool.boot)
    drawn = random.Random()
    drawn.setstate((row.chance[0], tuple(row.chance[1]), row.chance[2]))
    pool.uniform = drawn.random
    pool.servers.clear()
    for found in row.servers:
        server = pool.add(Told(found.name, (found.host, found.port), 1.0, "", "", 0))
        server.withdrawn, server.listed, server.load = found.withdrawn, found.listed, found.load
    servers = list(pool.servers.values())
    for table, found in zip(pool.tables, row.tables):
        for at, weight in found.lines:
            table.set(servers[at], weight)
        table.level, table.levels, table.retry_level = found.level, found.levels, found.tries
    pool.version, pool._turn, pool.reported = row.version, row.turn, row.reported
    pool.text.servers = {
        name: Told(name, (host, port), weight, zone, kind, 0)
        for name, host, port, weight, zone, kind in row.listed
    }


class SidecarHandover:
    """Of a host; see upgrade.side.Side."""

    def __init__(
        self,
        host: Host,
        controls: Callable[[], Listener | None],
        control_taken: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.host, self.controls, self.control_taken, self.reload = host, controls, control_taken, reload
        self.wanted = {name: dict(pool.servers) for name, pool in host.text.pools.items()}
        self.cold: list[str] = []  # pools that the state had nothing usable of
        self.given: dict[str, socket.socket] = {}
        self.rows: dict[str, shots.PoolRow] = {}
        self.kept: dict[str, list] = {}  # events given on, until the upgrade stands
        self.taken = 0

    # ---- in the old process ------------------------------------------------------------------------

    def listeners(self) -> dict[str, socket.socket]:
        control = self.controls()
        return {"clients": self.host.listener.sock} | ({"control": control.sock} if control else {})

    def settle(self, on: bool) -> None:
        """The module ends the turn that it is at, and begins no other."""
        for pool in self.host.pools.values():
            pool.event_batch.is_paused = on

    def has_urgent_work(self) -> bool:
        """Nothing: its requests go on, and its tables are its own."""
        return False

    def is_settled(self) -> bool:
        return not any(pool.deciding for pool in self.host.pools.values())

    def snapshot(self) -> shots.Snapshot:
        if not self.is_settled():
            self.host.worker.settle()  # a turn of the module, at most
        return self.rows_now()

    def rows_now(self) -> shots.Snapshot:
        return shots.Snapshot(
            "sidecar",
            self.host.loop.clock.now(),
            shots.SidecarState([pool_row(pool) for pool in self.host.pools.values()]),
        )

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Beside the loop: the module and the tables stand still, RPCs do not."""
        self.host.worker.submit(lambda: shots.encode(self.rows_now()), taken)

    def thaw(self) -> None:
        for pool in self.host.pools.values():
            if pool.report_due is None:
                pool.report_soon()
            pool.event_batch.is_paused = False
            pool.event_batch.restore(self.kept.pop(pool.name, []))
            pool.timer_again()

    def set_accepting(self, on: bool) -> None:
        host = self.host
        host.listener.accept(on)
        control = self.controls()
        if control:
            control.accept(on)
        host.holding = not on
        if on:
            host.passing = False
            for client in list(host.clients):
                client.next()

    def late_events(self) -> bytes:
        now = self.host.loop.clock.now()
        rows = {}
        for pool in self.host.pools.values():
            if pool.report_due is not None:
                pool.report_due.cancel()
                pool.report_due = None
            taken = [*pool.event_batch.take(), *pool.sums(now)]
            self.kept.setdefault(pool.name, []).extend(taken)
            # Probes that are out are sent again by the new process: their answers here would count twice.
            rows[pool.name] = (event_codec.pack_all(e for e in taken if type(e) is not face.ProbeResult), now)
        return msgspec.msgpack.encode(rows)

    def take_idle_connections(self) -> list[PassedConnection]:
        return [self.take_out(client) for client in list(self.host.clients) if client.idle]

    def take_out(self, client: Client) -> PassedConnection:
        self.host.forget(client)
        return ("client", *client.stream.detach())

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        self.host.take(sock, rest).next()

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        host = self.host

        def passed(client: Client) -> None:
            connection = self.take_out(client)
            if not pass_on(connection):
                connection[1].close()  # nobody could read on from it; its client will come again
                host.log.count("connections_not_passed")

        host.pass_on, host.passing = passed, True
        for client in list(host.clients):
            if client.idle:
                passed(client)

    def is_drained(self) -> bool:
        return not len(self.host.clients)

    def rehearse(self, at: int) -> bytes:
        return event_codec.rehearsal_digest((pool.coordinator for pool in self.host.pools.values()), at)

    # ---- in the new process ------------------------------------------------------------------------

    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        if state.sidecar is None:
            raise shots.UnusableSnapshotError(f"the state of a {state.kind}")
        self.given = listeners
        rows = {row.name: row for row in state.sidecar.pools}
        self.rows, self.taken = rows, state.taken
        for name, pool in self.host.pools.items():
            if name in rows and rows[name].slices == pool.slices:
                restore_pool(pool, rows[name])
            else:
                self.cold.append(name)

    def snapshot_again(self) -> shots.Snapshot:
        """What of the state is not used here, or of a pool cut otherwise, is given back as it came."""
        again = self.snapshot()
        kept = {row.name: row for row in again.sidecar.pools if row.name not in self.cold}
        again.sidecar.pools = [kept.get(name, row) for name, row in self.rows.items()]
        again.taken = self.taken
        return again

    def rehearse_copy(self, state: shots.Snapshot, at: int) -> bytes:
        boots = {name: pool.boot for name, pool in self.host.pools.items() if name not in self.cold}
        return event_codec.rehearsal_digest(
            (thaw(row.module, boots[row.name]) for row in state.sidecar.pools if row.name in boots), at
        )

    def take_late_events(self, rest: bytes) -> None:
        for name, (rows, until) in msgspec.msgpack.decode(rest).items():
            pool = self.host.pools.get(name)
            if pool is not None and name not in self.cold:
                pool.reported = max(pool.reported, until)
                pool.event_batch.add(*event_codec.unpack_all(rows))

    def start_empty(self, listeners: dict[str, socket.socket]) -> None:
        self.given, self.cold = listeners, list(self.host.pools)

    def start_serving(self, restored: bool) -> None:
        host = self.host
        host.start(self.given.get("clients"))
        if "control" in self.given:
            self.control_taken(self.given["control"])
        for name, pool in host.pools.items():
            if name in self.cold:
                if self.rows:
                    host.log.event("pool_begins_anew", pool=name)
                pool.start()
                continue
            pool.timer_again()
            pool.report_soon()
            for backend in self.rows[name].probing:
                pool.probes.send(backend)
            wanted = self.wanted[name]
            if sorted(told(wanted.values())) != sorted(told(pool.text.servers.values())):
                host.log.event("servers_changed", pool=name, **pool.relist(wanted))
        host.go()
