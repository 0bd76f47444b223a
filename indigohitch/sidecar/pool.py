"""A server pool and its decision module: reports the traffic to it and applies its orders to the tables."""

from __future__ import annotations

import random
from collections.abc import Sequence

from .. import interface as face
from ..config.texts import PoolText
from ..config.texts import Server as ServerText
from ..event_batch import EventBatch
from ..logic import Coordinator
from ..request import RouteTable
from ..settings import parse_load_report
from .server_probes import ServerProbes
from .servers import Server

PROXY = 0  # number of the sidecar, the only proxy


class Pool:
    """The servers, route tables and decision module of a pool, and the traffic since the last report."""

    RESTART_DELAY = 5000  # ticks; the cause of the defect may still be present right after it

    def __init__(self, host, text: PoolText, seed: int) -> None:
        self.host, self.text, self.boot, self.slices = host, text, text.boot, text.slices
        self.name, self.load_header = text.name, text.load_header.lower().encode()
        self.uniform = random.Random(seed).random  # for the choice of a server; the module has its own
        self.coordinator = Coordinator(seed, self.boot)
        self.event_batch = EventBatch(host.loop, 0, self.handle)
        self.tables = [RouteTable() for _ in range(self.slices)]
        self.servers: dict[str, Server] = {}
        self.demand: dict[tuple[int, str], list[int]] = {}
        self.version, self._turn, self.reported = 1, 0, host.loop.clock.now()
        self.probes = ServerProbes(host.loop, self.event_batch, self.servers, text)
        self.report_due = None
        self.is_deciding = False  # a round of the module runs in the worker thread
        for server in text.servers.values():
            self.add_server(server)

    def add_server(self, spec: ServerText) -> Server:
        """Returns the server of this name, created if it is new or has another address."""
        server = self.servers.get(spec.name)
        if server is None or server.address != spec.address:
            previous, server = server, Server(spec.name, spec.address, self.host.text.limits["idle-upstream"])
            self.servers[spec.name] = server
            if previous is not None:
                self.replace_server(previous, server)
        server.listed = True
        return server

    def replace_server(self, previous: Server, server: Server) -> None:
        """Moves the routes to the new address; no order would: to the module they are unchanged."""
        server.withdrawn = previous.withdrawn
        previous.listed = False  # connections to the old address are closed after their RPCs
        previous.drop_idle()
        for table in self.tables:
            table.servers = [server if s is previous else s for s in table.servers]

    def start(self) -> None:
        """Runs the module in the loop, as for a newly joined proxy; no request is served yet."""
        for order in self.coordinator.handle(self.host.loop.clock.now(), self.initial_events()):
            self.carry_out(order)
        self.report_soon()

    def initial_events(self) -> list[face.Event]:
        """Returns the events that introduce this proxy, its servers and its slices to a new module."""
        entries = tuple(self.backend_entry(s, "ready") for s in self.text.servers.values())
        return [
            face.BackendList("full", self.version, entries),
            face.ProxyJoined(PROXY, self.host.text.single["zone"], 0.0, True),
            *(face.SliceOwnership(number, True) for number in range(self.slices)),
        ]

    @staticmethod
    def backend_entry(spec: ServerText, state: str, started: int = 0) -> face.BackendEntry:
        """Returns the backend list entry of a configured server; `started` is 0 if it was there before."""
        return face.BackendEntry(spec.name, state, spec.weight, spec.zone, 0, spec.kind, started)

    # ---- traffic -----------------------------------------------------------------------------------

    def next_slice(self) -> int:
        """Returns the next slice in round robin order, for a request without a key."""
        self._turn = (self._turn + 1) % self.slices
        return self._turn

    def count_request(self, number: int, method: str) -> None:
        """Counts a request as demand of its slice and method."""
        counts = self.demand.get((number, method))
        if counts is None:
            self.demand[number, method] = [1, 0]
        else:
            counts[0] += 1

    def finish_rpc(self, rpc, status: int) -> None:
        """Logs and counts an RPC that ended; `status` is 0 if its client disconnected."""
        if rpc.deadline is not None:
            rpc.deadline.cancel()
        self.host.log_access(
            rpc.client,
            rpc.head,
            rpc.due_at - rpc.route.rpc.deadline,
            rpc.route.rpc.name,
            status,
            rpc.answer.head.body.total if rpc.answer is not None else 0,
        )
        if status:
            now = self.host.loop.clock.now()
            self.host.on_rpc_completed(now, rpc.route.rpc.name, now - rpc.due_at + rpc.route.rpc.deadline)
        self.host.log.counts["rpc_ok" if 0 < status < 500 else "rpc_not_ok"] += 1
        if status >= 500 and (counts := self.demand.get((rpc.slice, rpc.route.rpc.name))):
            counts[1] += 1

    def on_load_report(self, server: Server, report: bytes) -> None:
        """Stores a report such as `queue:3,latency_ms:12.5`; logs and ignores an unreadable one."""
        try:
            pairs = [pair.split(":") for pair in report.decode("ascii").split(",")]
            server.load = parse_load_report((name.strip(), float(value)) for name, value in pairs)
        except (ValueError, UnicodeDecodeError):
            self.host.log.warning("load_report_unreadable", server=server.name, report=report[:80])

    def report_soon(self) -> None:
        """Schedules the next traffic report."""
        self.report_due = self.host.loop.call_at(self.reported + self.boot["report_every"], self.report)

    def take_traffic_events(self, now: int) -> list[face.Event]:
        """Returns the traffic since the last call as events and resets the counts."""
        elapsed, self.reported = max(1, now - self.reported), now
        events: list[face.Event] = []
        for server in self.servers.values():
            if server.attempts:
                events.append(
                    face.BackendTraffic(
                        self.host.text.single["zone"],
                        server.name,
                        server.attempts,
                        server.failures,
                        server.success_time // server.successes if server.successes else 0,
                        elapsed,
                        server.load,
                    )
                )
                server.reset_counts()
        events += [
            face.SliceDemand(number, method, total, unanswered, elapsed)
            for (number, method), (total, unanswered) in self.demand.items()
        ]
        self.demand = {}
        return events

    def report(self) -> None:
        """Passes the traffic events to the decision module and schedules the next report."""
        self.event_batch.add(*self.take_traffic_events(self.host.loop.clock.now()))
        self.report_soon()

    # ---- servers -----------------------------------------------------------------------------------

    def update_servers(self, servers: dict) -> dict[str, list[str]]:
        """Returns the names of added and removed servers; added ones and new addresses start cold."""
        old, now = self.text.servers, self.host.loop.clock.now()
        came = [s for s in servers.values() if s.name not in old or old[s.name].address != s.address]
        left = [s for s in old.values() if s.name not in servers]
        for server in came:
            self.add_server(server)
        for server in left:
            self.servers[server.name].listed = False
            self.servers[server.name].drop_idle()
        self.text.servers = servers
        self.version += 1
        entries = [self.backend_entry(s, "ready", now if s in came else 0) for s in servers.values()]
        entries += [self.backend_entry(s, "gone") for s in left]
        self.event_batch.add(face.BackendList("changes", self.version, tuple(entries)))
        return {"came": [s.name for s in came], "left": [s.name for s in left]}

    # ---- decision module ---------------------------------------------------------------------------

    def handle(self, now: int, events: list[face.Event]) -> None:
        """Runs a round in the worker: with thousands of slices it takes tens of ms, while RPCs continue."""
        self.is_deciding = self.event_batch.is_busy = True
        coordinator = self.coordinator
        self.host.worker.submit(lambda: coordinator.handle(now, events), self.on_orders)

    def on_orders(self, orders: Sequence[face.Order], error: BaseException | None) -> None:
        """Executes the orders of a round, or restarts the module if the round raised an error."""
        self.is_deciding = self.event_batch.is_busy = False
        if error is not None:
            self.restart_module(error)
            return
        for order in orders:
            self.carry_out(order)

    def restart_module(self, error: BaseException) -> None:
        """Replaces the module after a defect, which must not end the service, and tells it the state."""
        self.host.loop.failed(error)
        self.host.log.count("decision_module_restarted")
        self.coordinator = Coordinator(self.host.text.single["seed"], self.boot)
        lines = [
            face.StoredRoute(number, server.name, weight)
            for number, table in enumerate(self.tables)
            for server, weight in zip(table.servers, table.weights)
        ]
        self.host.loop.call_after(
            self.RESTART_DELAY, lambda: self.event_batch.add(*self.initial_events(), *lines)
        )

    def carry_out(self, order: face.Order) -> None:
        """Executes an order of the decision module."""
        match order:
            case face.SetRoute(table, backend, weight):
                self.tables[table].set(self.servers[backend], weight)
            case face.ClearTable(table):
                self.tables[table].clear()
            case face.SetAdmission(number, places, level, tries):
                tables = self.tables if number == face.ALL_TABLES else [self.tables[number]]
                for table in tables:
                    table.retry_level = tries
                    if not places:
                        table.level, table.levels = level, {}
                    for place in places:
                        table.levels[self.boot["methods"][place].name] = level
            case face.EjectBackend(backend, out):
                self.servers[backend].withdrawn = out
            case face.UpdateMarker(mark, _):
                self.event_batch.add(face.UpdateAcknowledged(PROXY, mark, 0))
            case face.SetTimer(due, tag):
                self.host.loop.call_at(due, lambda: self.event_batch.add_timer(face.TimerFired(tag)))
            case face.ProbeBackend(backend):
                self.probes.send(backend)
            case face.LogMessage(text):
                self.host.log.event("decision", pool=self.name, text=text)

    def restart_timer(self) -> None:
        """Sets the decision module's timer again after its state was restored or an upgrade failed."""
        if due := self.coordinator.timer_due_at:
            self.carry_out(face.SetTimer(due, "beat"))

    def sweep(self, now: int) -> None:
        """Closes the server connections that were idle for too long."""
        for server in self.servers.values():
            server.drop_idle(now - self.host.text.waits["upstream"])

    def close(self) -> None:
        """Stops the reports and probes and closes the idle server connections."""
        if self.report_due is not None:
            self.report_due.cancel()
        self.probes.close()
        for server in self.servers.values():
            server.drop_idle()
