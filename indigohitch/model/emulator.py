"""A discrete-event emulator: requests of a trace, proxies, backends, and the real coordinators.

The proxies pick backends as `request.RouteTable` does.  There is one seeded heap of events, and no sockets or
clock.  Reports reach a coordinator late and summed up, and orders reach the proxies late, as in production.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
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
    """The settings of an emulation, other than the trace.  Times are in tenths of a ms."""

    slices: int
    kinds: tuple[Kind, ...] = (Kind(),)
    methods: tuple[face.Method, ...] = (SEARCH,)
    costs: dict[str, float] = field(default_factory=dict)  # time on one core, by RPC
    coordinators: int = 1
    report: int = 2 * SECOND  # interval between reports
    late: int = SECOND  # delay of reports
    transit: int = SECOND // 4  # delay of orders
    hop: int = 0  # network time added to each answer
    seed: int = 1
    boot: dict = field(default_factory=dict)  # replaces entries of the bootstrap

    def bootstrap(self, number: int) -> dict:
        """Returns the settings that coordinator `number` starts with."""
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
    """The results of one run: numbers of requests by outcome, moves of routes, and latencies."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    moves: int = 0
    took: list[int] = field(default_factory=list)
    by_second: dict[int, list[int]] = field(default_factory=dict)  # [asked, in time]

    def share(self, start: int = 0, end: int | None = None) -> float:
        """Returns the share of requests answered by the soft deadline, from second `start` up to `end`."""
        rows = [row for s, row in self.by_second.items() if s >= start and (end is None or s < end)]
        return sum(r[1] for r in rows) / max(1, sum(r[0] for r in rows))


class Emulator:
    """Runs traces against emulated proxies and backends, with real coordinators."""

    BEGIN = 1000 * SECOND  # the time at the start is arbitrary, but not 0

    def __init__(
        self,
        world: World,
        backends: int,
        profile: Iterable[face.SliceDemand] = (),
        make: Callable[..., Coordinator] = Coordinator,
    ) -> None:
        """`profile` is the demand known at the start; `make(seed, bootstrap)` returns a coordinator."""
        self.world, self.random = world, random.Random(world.seed)
        self.now, self.order, self.events = self.BEGIN, count(), []
        self.backends = {
            f"b{n}": Backend(f"b{n}", world.kinds[n % len(world.kinds)]) for n in range(backends)
        }
        self.tables = [RouteTable() for _ in range(world.slices)]
        self.methods = {m.name: m for m in world.methods}
        self.seen = Seen()
        self.attempts = [{} for _ in range(world.coordinators)]
        self.demand = [{} for _ in range(world.coordinators)]
        self.coordinators = [make(world.seed + n, world.bootstrap(n)) for n in range(world.coordinators)]
        ids, profile = list(self.backends), list(profile)
        for n, coordinator in enumerate(self.coordinators):
            events: list[face.Event] = [self.listing("full"), face.ProxyJoined(0, "", 1.0, True)]
            for slice in range(n, world.slices, world.coordinators):
                owner = ids[slice % len(ids)]
                self.tables[slice].set(self.backends[owner], 1.0)
                events += [face.SliceOwnership(slice, True), face.StoredRoute(slice, owner, 1.0)]
            events += [demand for demand in profile if demand.slice % world.coordinators == n]
            self.carry_out(n, coordinator.handle(self.now, events))
            self.at(self.now + world.report, self.report, n)

    def at(self, when: int, action: Callable[..., None], *arguments: object) -> None:
        """Schedules `action(*arguments)` at `when`; events of one time run in the order of these calls."""
        heappush(self.events, (when, next(self.order), action, arguments))

    def listing(self, scope: str, *which: Backend) -> face.BackendList:
        """Returns the list of `which` backends, by default of all."""
        return face.BackendList(
            scope,
            1,
            tuple(
                face.BackendEntry(b.id, b.state, min(b.kind.cores, 64.0), "", 0, str(b.kind.speed), b.started)
                for b in which or self.backends.values()
            ),
        )

    # ---- the coordinators -------------------------------------------------------------------------

    def handle_events(self, n: int, *events: face.Event) -> None:
        """Passes events to coordinator `n` and carries out its orders."""
        self.carry_out(n, self.coordinators[n].handle(self.now, list(events)))

    def carry_out(self, n: int, orders: list[face.Order]) -> None:
        """Sets the timers among the orders of coordinator `n`; sends the others to the proxies."""
        delayed = []
        for order in orders:
            if isinstance(order, face.SetTimer):
                self.at(max(order.due_at, self.now), self.handle_events, n, face.TimerFired(order.tag))
            elif isinstance(order, (face.SetRoute, face.EjectBackend, face.UpdateMarker)):
                delayed.append(order)
        if delayed:
            self.at(self.now + self.world.transit, self.apply, n, delayed)

    def apply(self, n: int, orders: list[face.Order]) -> None:
        """Applies orders that have reached the proxies."""
        for order in orders:
            if isinstance(order, face.SetRoute):
                self.tables[order.table].set(self.backends[order.backend], order.weight)
                self.seen.moves += order.weight > 0
            elif isinstance(order, face.EjectBackend):
                self.backends[order.backend].withdrawn = order.ejected
            else:
                self.handle_events(n, face.UpdateAcknowledged(0, order.marker, self.world.transit))

    def report(self, n: int) -> None:
        """Sends the proxies' sums since the last report to coordinator `n`."""
        interval, events = self.world.report, []
        demand, self.demand[n], attempts, self.attempts[n] = self.demand[n], {}, self.attempts[n], {}
        events += [face.SliceDemand(slice, rpc, sent, 0, interval) for (slice, rpc), sent in demand.items()]
        events += [
            face.BackendTraffic("", b.id, sent, failed, 0, interval, b.report() if sent > failed else {})
            for b, (sent, failed) in attempts.items()
        ]
        if events:
            self.at(self.now + self.world.late, self.handle_events, n, *events)
        self.at(self.now + interval, self.report, n)

    # ---- requests --------------------------------------------------------------------------------

    def arrive(self, slice: int, rpc: str) -> None:
        """Sends a request to the backend that the slice's table picks."""
        seen, n = self.seen, slice % self.world.coordinators
        seen.asked += 1
        seen.by_second.setdefault((self.now - self.BEGIN) // SECOND, [0, 0])[0] += 1
        self.demand[n][slice, rpc] = self.demand[n].get((slice, rpc), 0) + 1
        backend = self.tables[slice].pick(self.random.random)
        if backend is None:
            seen.refused += 1
            return
        attempts = self.attempts[n].setdefault(backend, [0, 0])
        attempts[0] += 1
        job = slice, rpc, self.now, attempts
        backend.held += 1
        busy = backend.busy
        if not backend.accept(job):
            backend.held -= 1
            attempts[1] += 1
            seen.refused += 1
        elif backend.busy > busy:
            self.begin(backend, job)

    def begin(self, backend: Backend, job: tuple) -> None:
        """Starts a job on a core of the backend."""
        slice, rpc, _, _ = job
        cost = self.world.costs.get(rpc, SECOND // 10)
        self.at(self.now + backend.work(slice, cost, self.now), self.finish, backend, job)

    def finish(self, backend: Backend, job: tuple) -> None:
        """Records the answer and starts the next queued job."""
        _, rpc, arrived_at, attempts = job
        duration, method = self.now - arrived_at + self.world.hop, self.methods[rpc]
        backend.held -= 1
        backend.busy -= 1
        self.seen.took.append(duration)
        if duration <= method.soft_deadline:
            self.seen.in_time += 1
            self.seen.by_second[(arrived_at - self.BEGIN) // SECOND][1] += 1
        else:
            self.seen.late += 1
            attempts[1] += duration > method.deadline
        if backend.waiting:
            backend.busy += 1
            self.begin(backend, backend.waiting.popleft())

    # ---- events of the fleet ---------------------------------------------------------------------

    def degrade(self, id: str, slow: float) -> None:
        """Multiplies the work of a backend by `slow`; 1 restores it."""
        self.backends[id].slow = slow

    def drain(self, id: str) -> None:
        """Marks a backend as draining and notifies the coordinators."""
        self.backends[id].state = "draining"
        for n in range(len(self.coordinators)):
            self.handle_events(n, self.listing("changes", self.backends[id]))

    def start(self, id: str) -> None:
        """Starts a new, cold backend and notifies the coordinators."""
        new = self.backends[id] = Backend(id, self.world.kinds[0], self.now)
        for n in range(len(self.coordinators)):
            self.handle_events(n, self.listing("changes", new))

    def run(self, requests: Iterable[tuple[int, int, str]], fleet_events: Iterable[tuple] = ()) -> Seen:
        """Runs `requests`, rows of (time since the start, slice, RPC) in order of time; returns the results.

        `fleet_events` are events of the fleet: (time since the start, name of a method above, arguments...).
        """
        for when, action, *arguments in fleet_events:
            self.at(self.BEGIN + when, getattr(self, action), *arguments)
        events = self.events
        for at, slice, rpc in requests:
            at += self.BEGIN
            while events and events[0][0] <= at:
                self.now, _, action, arguments = heappop(events)
                action(*arguments)
            self.now = at
            self.arrive(slice, rpc)
        end = self.now + 10 * SECOND  # for requests still in progress
        while events and events[0][0] <= end:
            self.now, _, action, arguments = heappop(events)
            action(*arguments)
        return self.seen
