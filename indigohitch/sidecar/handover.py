"""Handover of a sidecar to the next process: its state as snapshot rows, and its connections."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Iterable

import msgspec

from .. import interface as face
from ..config.texts import Server as ServerText
from ..net.graceful_close import close_in_order
from ..net.listener import Listener
from ..upgrade import event_codec
from ..upgrade import snapshot as shots
from ..upgrade.handover_participant import PassedConnection
from ..upgrade.module_state import freeze, thaw
from .clients import Client
from .host import Host
from .pool import Pool


def random_state(uniform: Callable[[], float]) -> tuple:
    """Returns the state of the generator whose `random` method this is."""
    version, internal, gauss = uniform.__self__.getstate()
    return version, list(internal), gauss


def server_specs(servers: Iterable[ServerText]) -> list[tuple]:
    """Returns the configuration of each server, without its line number."""
    return [(t.name, *t.address, t.weight, t.zone, t.kind) for t in servers]


def pool_row(pool: Pool) -> shots.PoolRow:
    """Returns the state of a pool as a snapshot row."""
    servers = list(pool.servers.values())
    index = {server: i for i, server in enumerate(servers)}
    return shots.PoolRow(
        pool.name,
        pool.slices,
        freeze(pool.coordinator),
        [shots.ServerRow(s.name, *s.address, s.withdrawn, s.listed, s.load) for s in servers],
        [
            shots.TableRow(
                [(index[s], float(w)) for s, w in zip(t.servers, t.weights)], t.level, t.levels, t.retry_level
            )
            for t in pool.tables
        ],
        random_state(pool.uniform),
        pool.version,
        pool._turn,
        pool.reported,
        server_specs(pool.text.servers.values()),
        [b.id for b in pool.coordinator.backends.values() if b.probe_sent_at],
    )


def restore_pool(pool: Pool, row: shots.PoolRow) -> None:
    """Restores a pool; `start_serving` applies changes of the configured servers afterwards."""
    pool.coordinator = thaw(row.module, pool.boot)
    generator = random.Random()
    generator.setstate((row.chance[0], tuple(row.chance[1]), row.chance[2]))
    pool.uniform = generator.random
    pool.servers.clear()
    for found in row.servers:
        server = pool.add_server(ServerText(found.name, (found.host, found.port), 1.0, "", "", 0))
        server.withdrawn, server.listed, server.load = found.withdrawn, found.listed, found.load
    servers = list(pool.servers.values())
    for table, found in zip(pool.tables, row.tables):
        for index, weight in found.lines:
            table.set(servers[index], weight)
        table.level, table.levels, table.retry_level = found.level, found.levels, found.tries
    pool.version, pool._turn, pool.reported = row.version, row.turn, row.reported
    pool.text.servers = {
        name: ServerText(name, (host, port), weight, zone, kind, 0)
        for name, host, port, weight, zone, kind in row.listed
    }


class SidecarHandover:
    """Hands over a host; implements upgrade.handover_participant."""

    def __init__(
        self,
        host: Host,
        control_listener: Callable[[], Listener | None],
        take_over_control: Callable[[socket.socket], None],
        reload: Callable[[], None],
    ) -> None:
        self.host, self.reload = host, reload
        self.control_listener, self.take_over_control = control_listener, take_over_control
        self.configured_servers = {name: dict(pool.servers) for name, pool in host.text.pools.items()}
        self.cold: list[str] = []  # pools without usable state in the snapshot
        self.inherited_listeners: dict[str, socket.socket] = {}
        self.rows: dict[str, shots.PoolRow] = {}
        self.events_since_snapshot: dict[str, list] = {}  # by pool, until the upgrade is complete, for `thaw`
        self.snapshot_taken_at = 0

    # ---- in the old process ------------------------------------------------------------------------
    def listeners(self) -> dict[str, socket.socket]:
        control = self.control_listener()
        return {"clients": self.host.listener.sock} | ({"control": control.sock} if control else {})

    def settle(self, on: bool) -> None:
        for pool in self.host.pools.values():
            pool.event_batch.is_paused = on

    def has_urgent_work(self) -> bool:
        """Returns False: RPCs continue, and their tables are in this process."""
        return False

    def is_settled(self) -> bool:
        return not any(pool.is_deciding for pool in self.host.pools.values())

    def snapshot(self) -> shots.Snapshot:
        if not self.is_settled():
            self.host.worker.settle()  # waits for one round of each module, at most
        return self.rows_now()

    def rows_now(self) -> shots.Snapshot:
        return shots.Snapshot(
            "sidecar",
            self.host.loop.clock.now(),
            shots.SidecarState([pool_row(pool) for pool in self.host.pools.values()]),
        )

    def freeze(self, taken: Callable[[bytes | None, BaseException | None], None]) -> None:
        """Encodes the snapshot in the worker thread; modules and tables are paused, RPCs continue."""
        self.host.worker.submit(lambda: shots.encode(self.rows_now()), taken)

    def thaw(self) -> None:
        for pool in self.host.pools.values():
            if pool.report_due is None:
                pool.report_soon()
            pool.event_batch.is_paused = False
            pool.event_batch.restore(self.events_since_snapshot.pop(pool.name, []))
            pool.restart_timer()

    def set_accepting(self, on: bool) -> None:
        host = self.host
        host.listener.accept(on)
        control = self.control_listener()
        if control:
            control.accept(on)
        host.is_holding_requests = not on
        if on:
            host.is_passing_connections = False
            for client in list(host.clients):
                client.process_requests()

    def late_events(self) -> bytes:
        now = self.host.loop.clock.now()
        rows = {}
        for pool in self.host.pools.values():
            if pool.report_due is not None:
                pool.report_due.cancel()
                pool.report_due = None
            taken = [*pool.event_batch.take(), *pool.take_traffic_events(now)]
            self.events_since_snapshot.setdefault(pool.name, []).extend(taken)
            # The new process repeats the probes in flight; their results here would count twice.
            rows[pool.name] = (event_codec.pack_all(e for e in taken if type(e) is not face.ProbeResult), now)
        return msgspec.msgpack.encode(rows)

    def take_idle_connections(self) -> list[PassedConnection]:
        return [self.detach_connection(client) for client in list(self.host.clients) if client.is_idle]

    def detach_connection(self, client: Client) -> PassedConnection:
        self.host.forget(client)
        return ("client", *client.stream.detach())

    def adopt(self, kind: str, sock: socket.socket, rest: bytes) -> None:
        self.host.add_client(sock, rest).process_requests()

    def drain(self, pass_on: Callable[[PassedConnection], bool]) -> None:
        host = self.host

        def pass_client(client: Client) -> None:
            connection = self.detach_connection(client)
            if not pass_on(connection):
                close_in_order(connection[1])  # no process reads it on; the client has to reconnect
                host.log.count("connections_not_passed")

        host.pass_on, host.is_passing_connections = pass_client, True
        for client in list(host.clients):
            if client.is_idle:
                pass_client(client)

    def is_drained(self) -> bool:
        return not len(self.host.clients)

    def rehearse(self, at: int) -> bytes:
        return event_codec.rehearsal_digest((pool.coordinator for pool in self.host.pools.values()), at)

    # ---- in the new process ------------------------------------------------------------------------
    def restore(self, state: shots.Snapshot, listeners: dict[str, socket.socket]) -> None:
        if state.sidecar is None:
            raise shots.UnusableSnapshotError(f"snapshot holds the state of a {state.kind}, not of a sidecar")
        self.inherited_listeners = listeners
        rows = {row.name: row for row in state.sidecar.pools}
        self.rows, self.snapshot_taken_at = rows, state.taken
        for name, pool in self.host.pools.items():
            if name in rows and rows[name].slices == pool.slices:
                restore_pool(pool, rows[name])
            else:
                self.cold.append(name)

    def snapshot_again(self) -> shots.Snapshot:
        """Returns the state with the rows of gone or resized pools as they were received."""
        again = self.snapshot()
        kept = {row.name: row for row in again.sidecar.pools if row.name not in self.cold}
        again.sidecar.pools = [kept.get(name, row) for name, row in self.rows.items()]
        again.taken = self.snapshot_taken_at
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
        self.inherited_listeners, self.cold = listeners, list(self.host.pools)

    def start_serving(self, restored: bool) -> None:
        host = self.host
        host.start(self.inherited_listeners.get("clients"))
        if "control" in self.inherited_listeners:
            self.take_over_control(self.inherited_listeners["control"])
        for name, pool in host.pools.items():
            if name in self.cold:
                if self.rows:
                    host.log.event("pool_begins_anew", pool=name)
                pool.start()
                continue
            pool.restart_timer()
            pool.report_soon()
            for backend in self.rows[name].probing:
                pool.probes.send(backend)
            wanted = self.configured_servers[name]
            if sorted(server_specs(wanted.values())) != sorted(server_specs(pool.text.servers.values())):
                host.log.event("servers_changed", pool=name, **pool.update_servers(wanted))
        host.start_sweeps()
