"""A pool of servers under a coordinator of its own: what truly passed becomes the module's events, its orders
change the tables in this process.  It decides nothing."""

from __future__ import annotations

import random

from .. import interface as face
from ..config.texts import PoolText
from ..event_batch import EventBatch
from ..logic import Coordinator
from ..request import RouteTable
from ..settings import parse_load_report
from .server_probes import ServerProbes
from .servers import Server

PROXY = 0  # the sidecar itself, the one proxy that is joined


class Pool:
    ANEW = 5000  # until a new module is told all: what broke the last may still be there

    def __init__(self, host, text: PoolText, seed: int) -> None:
        self.host, self.text, self.boot, self.slices = host, text, text.boot, text.slices
        self.name, self.load_header = text.name, text.load_header.lower().encode()
        self.uniform = random.Random(seed).random  # for the draw by weight; the module has its own
        self.coordinator = Coordinator(seed, self.boot)
        self.event_batch = EventBatch(host.loop, 0, self.handle)
        self.tables = [RouteTable() for _ in range(self.slices)]
        self.servers: dict[str, Server] = {}
        self.demand: dict[tuple[int, str], list[int]] = {}
        self.version, self._turn, self.reported = 1, 0, host.loop.clock.now()
        self.probes = ServerProbes(host.loop, self.event_batch, self.servers, text)
        self.report_due = None
        self.deciding = False  # the module is at work, in the worker
        for server in text.servers.values():
            self.add(server)

    def add(self, told) -> Server:
        server = self.servers.get(told.name)
        if server is None or server.address != told.address:
            was, server = server, Server(told.name, told.address, self.host.text.limits["idle-upstream"])
            self.servers[told.name] = server
            if was is not None:
                self.replace(was, server)
        server.listed = True
        return server

    def replace(self, was: Server, server: Server) -> None:
        """The same name at another address: its lines go there.  To the module they stand as before, so no
        order of its would ever take them from the old address."""
        server.withdrawn, was.listed = was.withdrawn, False  # what is out at the old one is not kept
        was.drop_idle()
        for table in self.tables:
            table.servers = [server if s is was else s for s in table.servers]

    def start(self) -> None:
        """As one that has just joined: all slices are its own, and no line stands.  Nobody is answered
        yet, so this may take its time."""
        for order in self.coordinator.handle(self.host.loop.clock.now(), self.as_joined()):
            self.carry_out(order)
        self.report_soon()

    def as_joined(self) -> list[face.Event]:
        entries = tuple(self.entry(s, "ready") for s in self.text.servers.values())
        return [
            face.BackendList("full", self.version, entries),
            face.ProxyJoined(PROXY, self.host.text.single["zone"], 0.0, True),
            *(face.SliceOwnership(number, True) for number in range(self.slices)),
        ]

    @staticmethod
    def entry(told, state: str, started: int = 0) -> face.BackendEntry:
        return face.BackendEntry(told.name, state, told.weight, told.zone, 0, told.kind, started)

    # ---- what passes -------------------------------------------------------------------------------

    def turn(self) -> int:
        self._turn = (self._turn + 1) % self.slices
        return self._turn

    def came(self, number: int, method: str) -> None:
        sums = self.demand.get((number, method))
        if sums is None:
            self.demand[number, method] = [1, 0]
        else:
            sums[0] += 1

    def done(self, rpc, status: int) -> None:
        if rpc.deadline is not None:
            rpc.deadline.cancel()
        self.host.note(
            rpc.client,
            rpc.head,
            rpc.due - rpc.route.rpc.deadline,
            rpc.route.rpc.name,
            status,
            rpc.answer.body.total if rpc.answer is not None else 0,
        )
        if status:
            now = self.host.loop.clock.now()
            self.host.felt(now, rpc.route.rpc.name, now - rpc.due + rpc.route.rpc.deadline)
        self.host.log.counts["rpc_ok" if 0 < status < 500 else "rpc_not_ok"] += 1
        if status >= 500 and (sums := self.demand.get((rpc.slice, rpc.route.rpc.name))):
            sums[1] += 1

    def load_came(self, server: Server, report: bytes) -> None:
        """`queue:3,latency_ms:12.5`, names as in a load report of the platform; spoilt ones are left out."""
        try:
            pairs = [pair.split(":") for pair in report.decode("ascii").split(",")]
            server.load = parse_load_report((name.strip(), float(value)) for name, value in pairs)
        except (ValueError, UnicodeDecodeError):
            self.host.log.warning("load_report_unreadable", server=server.name, report=report[:80])

    def report_soon(self) -> None:
        self.report_due = self.host.loop.call_at(self.reported + self.boot["report_every"], self.report)

    def sums(self, now: int) -> list[face.Event]:
        """What passed since the last time, as events; it is forgotten here."""
        elapsed, self.reported = max(1, now - self.reported), now
        events: list[face.Event] = []
        for server in self.servers.values():
            if server.tries:
                events.append(
                    face.BackendTraffic(
                        self.host.text.single["zone"],
                        server.name,
                        server.tries,
                        server.failures,
                        server.time // server.oks if server.oks else 0,
                        elapsed,
                        server.load,
                    )
                )
                server.forget_sums()
        events += [
            face.SliceDemand(number, method, total, unanswered, elapsed)
            for (number, method), (total, unanswered) in self.demand.items()
        ]
        self.demand = {}
        return events

    def report(self) -> None:
        self.event_batch.add(*self.sums(self.host.loop.clock.now()))
        self.report_soon()

    # ---- the list ----------------------------------------------------------------------------------

    def relist(self, servers: dict) -> dict[str, list[str]]:
        """Another list of servers: one that is not named any more is gone, one that comes starts cold."""
        old, now = self.text.servers, self.host.loop.clock.now()
        came = [s for s in servers.values() if s.name not in old or old[s.name].address != s.address]
        left = [s for s in old.values() if s.name not in servers]
        for server in came:
            self.add(server)
        for server in left:
            self.servers[server.name].listed = False
            self.servers[server.name].drop_idle()
        self.text.servers = servers
        self.version += 1
        entries = [self.entry(s, "ready", now if s in came else 0) for s in servers.values()]
        entries += [self.entry(s, "gone") for s in left]
        self.event_batch.add(face.BackendList("changes", self.version, tuple(entries)))
        return {"came": [s.name for s in came], "left": [s.name for s in left]}

    # ---- the module --------------------------------------------------------------------------------

    def handle(self, now: int, events: list[face.Event]) -> None:
        """Beside the loop, one turn at a time: with thousands of slices it takes tens of ms, and RPCs go on
        by the tables that stand."""
        self.deciding = self.event_batch.is_busy = True
        coordinator = self.coordinator
        self.host.worker.submit(lambda: coordinator.handle(now, events), self.decided)

    def decided(self, orders, broken: BaseException | None) -> None:
        self.deciding = self.event_batch.is_busy = False
        if broken is not None:
            self.begin_anew(broken)
            return
        for order in orders:
            self.carry_out(order)

    def begin_anew(self, broken: BaseException) -> None:
        """A defect of the module must not end the service: a new one is told what stands."""
        self.host.loop.failed(broken)
        self.host.log.count("decision_module_restarted")
        self.coordinator = Coordinator(self.host.text.single["seed"], self.boot)
        lines = [
            face.StoredRoute(number, server.name, weight)
            for number, table in enumerate(self.tables)
            for server, weight in zip(table.servers, table.weights)
        ]
        self.host.loop.call_after(self.ANEW, lambda: self.event_batch.add(*self.as_joined(), *lines))

    def carry_out(self, order: face.Order) -> None:
        match order:
            case face.SetRoute(table, backend, weight):
                self.tables[table].set(self.servers[backend], weight)
            case face.ClearTable(table):
                self.tables[table].clear()
            case face.SetAdmission(number, places, level, tries):
                some = self.tables if number == face.ALL_TABLES else [self.tables[number]]
                for table in some:
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

    def timer_again(self) -> None:
        """The module's timer, after its state came from elsewhere."""
        if due := self.coordinator.timer_due_at:
            self.carry_out(face.SetTimer(due, "beat"))

    def sweep(self, now: int) -> None:
        for server in self.servers.values():
            server.drop_idle(now - self.host.text.waits["upstream"])

    def close(self) -> None:
        if self.report_due is not None:
            self.report_due.cancel()
        self.probes.close()
        for server in self.servers.values():
            server.drop_idle()
