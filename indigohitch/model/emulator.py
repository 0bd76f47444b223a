"""Event by event: requests of a trace, proxies that draw as request.Table does, backends, the real module.

One heap of events, seeded; no sockets and no clock.  What goes to the module is late and in sums, what comes
from it takes its time to the proxies, as in service."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from .. import interface as face
from ..logic import Coordinator
from ..net.clock import SECOND
from ..request import RouteTable
from .backends import Backend, Kind

SEARCH = face.Method("search", 2 * SECOND, 6 * SECOND, 2.0, "idempotent", "all", 0)


@dataclass(frozen=True)
class World:
    """What there is beside the trace."""

    slices: int
    kinds: tuple[Kind, ...] = (Kind(),)
    methods: tuple[face.Method, ...] = (SEARCH,)
    costs: dict[str, float] = field(default_factory=dict)  # tenths of a ms of one core, by RPC
    coordinators: int = 1
    report: int = 2 * SECOND
    late: int = SECOND  # of sums
    transit: int = SECOND // 4  # of orders
    hop: int = 0  # that an answer takes beyond its service
    seed: int = 1
    boot: dict = field(default_factory=dict)

    def bootstrap(self, number: int) -> dict:
        kind = self.kinds[0]
        return {
            "methods": self.methods,
            "coordinators": self.coordinators,
            "own_number": number,
            "report_every": self.report,
            "admission": "share",
            "cold_from": kind.cold_from,
            "warm_within": kind.warm_within,
            "drain_grace": 3 * SECOND,
            "fall_multiple": 4.0,
            "transit_most": 2 * self.transit,
        } | self.boot


@dataclass
class Seen:
    """Of one run."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    moves: int = 0
    took: list[int] = field(default_factory=list)
    by_second: dict[int, list[int]] = field(default_factory=dict)  # asked, in time

    def share(self, start: int = 0, end: int | None = None) -> float:
        """Answered within the soft deadline of what was asked, in those seconds."""
        rows = [row for s, row in self.by_second.items() if s >= start and (end is None or s < end)]
        return sum(r[1] for r in rows) / max(1, sum(r[0] for r in rows))


class Emulator:
    BEGIN = 1000 * SECOND  # the module counts from somewhere

    def __init__(
        self, world: World, backends: int, profile: Iterable[face.SliceDemand] = (), make=Coordinator
    ) -> None:
        """`profile`: demand that is known at the start; `make(seed, bootstrap)`: the module."""
        self.world, self.random = world, random.Random(world.seed)
        self.now, self.order, self.events = self.BEGIN, count(), []
        self.backends = {
            f"b{n}": Backend(f"b{n}", world.kinds[n % len(world.kinds)]) for n in range(backends)
        }
        self.tables = [RouteTable() for _ in range(world.slices)]
        self.methods = {m.name: m for m in world.methods}
        self.seen = Seen()
        self.tries = [{} for _ in range(world.coordinators)]
        self.came = [{} for _ in range(world.coordinators)]
        self.modules = [make(world.seed + n, world.bootstrap(n)) for n in range(world.coordinators)]
        ids, profile = list(self.backends), list(profile)
        for n, module in enumerate(self.modules):
            told: list[face.Event] = [self.listing("full"), face.ProxyJoined(0, "", 1.0, True)]
            for s in range(n, world.slices, world.coordinators):
                owner = ids[s % len(ids)]
                self.tables[s].set(self.backends[owner], 1.0)
                told += [face.SliceOwnership(s, True), face.StoredRoute(s, owner, 1.0)]
            told += [demand for demand in profile if demand.slice % world.coordinators == n]
            self.orders(n, module.handle(self.now, told))
            self.at(self.now + world.report, self.report, n)

    def at(self, when: int, action, *words) -> None:
        heappush(self.events, (when, next(self.order), action, words))

    def listing(self, scope: str, *which: Backend) -> face.BackendList:
        return face.BackendList(
            scope,
            1,
            tuple(
                face.BackendEntry(b.id, b.state, min(b.kind.cores, 64.0), "", 0, str(b.kind.speed), b.started)
                for b in which or self.backends.values()
            ),
        )

    # ---- the module's side -----------------------------------------------------------------------

    def hear(self, n: int, *events: face.Event) -> None:
        self.orders(n, self.modules[n].handle(self.now, list(events)))

    def orders(self, n: int, orders: list[face.Order]) -> None:
        out = []
        for order in orders:
            if isinstance(order, face.SetTimer):
                self.at(max(order.due_at, self.now), self.hear, n, face.TimerFired(order.tag))
            elif isinstance(order, (face.SetRoute, face.EjectBackend, face.UpdateMarker)):
                out.append(order)
        if out:
            self.at(self.now + self.world.transit, self.apply, n, out)

    def apply(self, n: int, orders: list[face.Order]) -> None:
        for order in orders:
            if isinstance(order, face.SetRoute):
                self.tables[order.table].set(self.backends[order.backend], order.weight)
                self.seen.moves += order.weight > 0
            elif isinstance(order, face.EjectBackend):
                self.backends[order.backend].withdrawn = order.ejected
            else:
                self.hear(n, face.UpdateAcknowledged(0, order.marker, self.world.transit))

    def report(self, n: int) -> None:
        every, events = self.world.report, []
        came, self.came[n], tries, self.tries[n] = self.came[n], {}, self.tries[n], {}
        events += [face.SliceDemand(s, rpc, many, 0, every) for (s, rpc), many in came.items()]
        events += [
            face.BackendTraffic("", b.id, many, failed, 0, every, b.report() if many > failed else {})
            for b, (many, failed) in tries.items()
        ]
        if events:
            self.at(self.now + self.world.late, self.hear, n, *events)
        self.at(self.now + every, self.report, n)

    # ---- the requests' way -----------------------------------------------------------------------

    def arrive(self, slice: int, rpc: str) -> None:
        seen, n = self.seen, slice % self.world.coordinators
        seen.asked += 1
        seen.by_second.setdefault((self.now - self.BEGIN) // SECOND, [0, 0])[0] += 1
        self.came[n][slice, rpc] = self.came[n].get((slice, rpc), 0) + 1
        backend = self.tables[slice].pick(self.random.random)
        if backend is None:
            seen.refused += 1
            return
        tries = self.tries[n].setdefault(backend, [0, 0])
        tries[0] += 1
        job = slice, rpc, self.now, tries
        backend.held += 1
        busy = backend.busy
        if not backend.takes(job):
            backend.held -= 1
            tries[1] += 1
            seen.refused += 1
        elif backend.busy > busy:
            self.begin(backend, job)

    def begin(self, backend: Backend, job) -> None:
        slice, rpc, _, _ = job
        cost = self.world.costs.get(rpc, SECOND // 10)
        self.at(self.now + backend.work(slice, cost, self.now), self.finish, backend, job)

    def finish(self, backend: Backend, job) -> None:
        _, rpc, came, tries = job
        took, method = self.now - came + self.world.hop, self.methods[rpc]
        backend.held -= 1
        backend.busy -= 1
        self.seen.took.append(took)
        if took <= method.soft_deadline:
            self.seen.in_time += 1
            self.seen.by_second[(came - self.BEGIN) // SECOND][1] += 1
        else:
            self.seen.late += 1
            tries[1] += took > method.deadline
        if backend.waiting:
            backend.busy += 1
            self.begin(backend, backend.waiting.popleft())

    # ---- what befalls the fleet ------------------------------------------------------------------

    def ill(self, id: str, slow: float) -> None:
        self.backends[id].slow = slow

    def drain(self, id: str) -> None:
        self.backends[id].state = "draining"
        for n in range(len(self.modules)):
            self.hear(n, self.listing("changes", self.backends[id]))

    def start(self, id: str) -> None:
        new = self.backends[id] = Backend(id, self.world.kinds[0], self.now)
        for n in range(len(self.modules)):
            self.hear(n, self.listing("changes", new))

    # ---- the whole -------------------------------------------------------------------------------

    def run(self, requests: Iterable[tuple[int, int, str]], befalls: Iterable[tuple] = ()) -> Seen:
        """(time since the begin, slice, RPC) in order; `befalls`: (time, action's name, words...)."""
        for when, action, *words in befalls:
            self.at(self.BEGIN + when, getattr(self, action), *words)
        events = self.events
        for at, slice, rpc in requests:
            at += self.BEGIN
            while events and events[0][0] <= at:
                self.now, _, action, words = heappop(events)
                action(*words)
            self.now = at
            self.arrive(slice, rpc)
        end = self.now + 10 * SECOND  # for what is still at work
        while events and events[0][0] <= end:
            self.now, _, action, words = heappop(events)
            action(*words)
        return self.seen
