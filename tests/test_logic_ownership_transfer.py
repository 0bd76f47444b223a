"""Ownership transfer of exclusive slices, with proxies that apply messages at different times.

At no time may two backends hold writes of the same slice.
"""

import random

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND, Coordinator
from world import BOOT, entry

# Ticks for which a write is in flight, and for which a proxy without a stream continues to send writes.
SETTLE, KEEPS_WRITING = 12000, 40000
READS, WRITES = 0, 1


class Proxy:
    """A proxy that applies messages late but in order, and sends a write every 20 ms on each open route."""

    def __init__(self, routes, joined_at=0, applies_ratios=True):
        self.joined_at, self.applies_ratios = joined_at, applies_ratios
        self.routes, self.closed, self.inbox, self.next_arrival, self.joined = dict(routes), {}, [], 0, True
        self.writes_until = None  # without a stream: the end of its writes

    def apply(self, order):
        if isinstance(order, face.SetRoute):
            routes = self.routes
            if order.weight:
                routes[order.table] = order.backend
            elif routes.get(order.table) == order.backend:
                del routes[order.table]
        elif isinstance(order, face.SetAdmission) and self.applies_ratios:
            for method in order.methods or (READS, WRITES):
                self.closed[order.table, method] = order.admission_ratio == 0

    def write_target(self, number):
        """Returns the backend that gets the writes of a slice, or None while the slice is closed."""
        return None if self.closed.get((number, WRITES)) else self.routes.get(number)


class Simulation:
    """A coordinator, its store, and the proxies that send writes to the backends."""

    def __init__(self, seed, backends=5, slices=8, proxies=6, admission="share"):
        self.rng, self.now = random.Random(seed), 1000 * SECOND
        self.boot = BOOT | {
            "exclusive": True,
            "method_writes": [False, True],
            "settle": SETTLE,
            "keeps_writing": KEEPS_WRITING,
            "messages_most": 0,
            "admission": admission,
        }
        self.coordinator, self.timers = Coordinator(seed, self.boot), []
        self.store = {number: f"b{number % backends}" for number in range(slices)}
        self.proxies = {p: Proxy(self.store, applies_ratios=admission == "share") for p in range(proxies)}
        self.no_route_since = {}  # time by proxy and slice
        self.delay = lambda: self.rng.randint(500, 6000)
        self.in_flight = {
            number: {} for number in self.store
        }  # end of the latest write, by slice and backend
        self.draining, self.moves, self.acknowledgements = {}, 0, []
        self.start([entry(f"b{n}") for n in range(backends)])

    def start(self, entries):
        """Passes the list of backends, the slices, their stored routes and the proxies to the coordinator."""
        events = [face.BackendList("full", 1, tuple(entries))]
        for number, owner in self.store.items():
            events += [
                face.SliceOwnership(number, True),
                *([face.StoredRoute(number, owner, 1.0)] if owner else []),
            ]
        self.handle(*events, *(face.ProxyJoined(p, "east", 5.0, False) for p in self.proxies))

    def replace_coordinator(self, seed, entries):
        """Replaces the coordinator by a new one that owns its slices."""
        self.coordinator, self.timers = Coordinator(seed, self.boot), []
        self.start(entries)

    def handle(self, *events):
        """Passes the events to the coordinator, and sends its orders to the store and the proxies."""
        orders = self.coordinator.handle(self.now, list(events))
        self.timers += [o.due_at for o in orders if isinstance(o, face.SetTimer)]
        sent = [o for o in orders if isinstance(o, (face.SetRoute, face.SetAdmission, face.UpdateMarker))]
        for order in sent:
            if isinstance(order, face.SetRoute) and order.weight:
                self.moves += 1
                self.store[order.table] = order.backend
            elif isinstance(order, face.SetRoute) and self.store.get(order.table) == order.backend:
                self.store[order.table] = None
        for proxy in self.proxies.values():
            if sent and proxy.joined:
                proxy.next_arrival = max(proxy.next_arrival, self.now + self.delay())
                proxy.inbox.append((proxy.next_arrival, sent))

    def leave(self, number):
        proxy = self.proxies[number]
        proxy.joined, proxy.inbox, proxy.writes_until = False, [], self.now + KEEPS_WRITING
        self.handle(face.ProxyLeft(number))

    def join(self, number):
        self.proxies[number] = Proxy(  # it reads the store, which has routes and no admission ratios
            {slice_number: owner for slice_number, owner in self.store.items() if owner},
            self.now,
            self.boot["admission"] == "share",
        )
        self.handle(face.ProxyJoined(number, "east", 5.0, False))

    def tick(self):
        self.now += 200
        for number, proxy in self.proxies.items():
            while proxy.inbox and proxy.inbox[0][0] <= self.now:
                for order in proxy.inbox.pop(0)[1]:
                    if isinstance(order, face.UpdateMarker):
                        self.acknowledgements.append(
                            (self.now + self.delay(), face.UpdateAcknowledged(number, order.marker, 10))
                        )
                    proxy.apply(order)
            if proxy.joined or self.now < proxy.writes_until:
                for table in self.store:
                    since = (
                        self.now
                        if table in proxy.routes
                        else self.no_route_since.get((number, table), self.now)
                    )
                    self.no_route_since[number, table] = since
                    assert not proxy.joined or self.now - since <= self.boot["bare_limit"]
                    self.write(table, proxy.write_target(table), proxy)
        arrived = [ack for due, ack in self.acknowledgements if due <= self.now]
        self.acknowledgements = [(due, ack) for due, ack in self.acknowledgements if due > self.now]
        due = [t for t in self.timers if t <= self.now]
        self.timers = [t for t in self.timers if t > self.now]
        if arrived or due:
            self.handle(*arrived, *[face.TimerFired("beat")] * bool(due))

    def write(self, number, backend, proxy):
        """Sends a write of a slice to a backend, and checks that no other backend holds one."""
        if backend is None:
            return
        in_flight = self.in_flight[number]
        for other in [b for b, until in in_flight.items() if until <= self.now]:
            del in_flight[other]
        assert not set(in_flight) - {backend}, f"slice {number}: a write at {backend} beside {in_flight}"
        # The limit on drains holds for joined proxies, and counts from the time they joined at the earliest.
        since = max(self.draining.get(backend, self.now), proxy.joined_at)
        assert not proxy.joined or self.now - since <= self.boot["drain_grace"]
        in_flight[backend] = self.now + self.rng.randint(100, SETTLE)

    def run(self, span):
        for _ in range(0, span, 200):
            self.tick()


def drain(simulation, backend):
    simulation.draining[backend] = simulation.now
    simulation.handle(face.BackendList("changes", 2, (entry(backend, "draining"),)))


@pytest.mark.parametrize("admission", ["share", "none"])
@pytest.mark.parametrize("seed", range(6))
def test_two_backends_never_hold_writes_of_a_slice(seed, admission):
    """Backends drain, proxies lose their stream and return, and a slice is hot; each write is checked.

    Where proxies do not apply admission ratios, a slice is closed by the removal of its route.
    """
    simulation = Simulation(seed, admission=admission)
    simulation.run(8 * SECOND)
    for number, backend in enumerate(("b0", "b1")):
        drain(simulation, backend)
        simulation.run(simulation.rng.randint(2000, 20000))
        simulation.leave(number)
        simulation.run(simulation.rng.randint(1000, 60000))
        simulation.join(number)
        for index in simulation.store:
            simulation.handle(face.SliceDemand(index, "reserve", 400 if index == 7 else 5, 0, 2 * SECOND))
        simulation.run(12 * SECOND)
    assert not {"b0", "b1"} & set(simulation.store.values()) and simulation.moves >= 3
    assert all(s.closed_methods is None for s in simulation.coordinator.slices.values())
    assert all(
        proxy.write_target(number) == owner
        for proxy in simulation.proxies.values()
        for number, owner in simulation.store.items()
    )


def test_a_draining_owner_is_replaced_once_no_write_can_be_in_flight():
    simulation = Simulation(1)
    simulation.run(8 * SECOND)
    start = simulation.now
    drain(simulation, "b0")
    assert all(
        proxy.inbox[-1][1][0] == face.SetAdmission(0, (), 0.0, 1) for proxy in simulation.proxies.values()
    )
    while simulation.store[0] == "b0":
        simulation.tick()
    assert SETTLE < simulation.now - start < SETTLE + 3 * SECOND


def test_a_transfer_waits_for_a_proxy_that_left_and_may_still_write():
    simulation = Simulation(2)
    simulation.run(8 * SECOND)
    simulation.leave(3)
    left_at = simulation.now
    drain(simulation, "b0")
    while simulation.store[0] == "b0":
        simulation.tick()
    assert simulation.now - left_at >= KEEPS_WRITING + SETTLE


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("admission", ["share", "none"])
def test_a_new_coordinator_waits_for_writes_in_flight_to_an_owner_it_does_not_know(seed, admission):
    """A coordinator ends between closing and reopening a slice.

    Where proxies do not apply admission ratios, the new coordinator gets slices without a route, and no event
    tells it which writes are in flight to their former owner.
    """
    simulation = Simulation(seed, admission=admission)
    simulation.run(8 * SECOND)
    drain(simulation, "b0")
    simulation.run(simulation.rng.randint(600, 6000))
    simulation.replace_coordinator(seed, [entry("b0", "draining"), *(entry(f"b{n}") for n in range(1, 5))])
    start = simulation.now
    simulation.run(SETTLE)
    assert simulation.store[0] in (None, "b0")
    simulation.run(simulation.boot["bare_limit"] - (simulation.now - start))
    assert None not in simulation.store.values() and "b0" not in simulation.store.values()


def test_slices_that_are_not_exclusive_move_at_once():
    simulation = Simulation(3)
    simulation.boot["exclusive"] = False
    simulation.coordinator = Coordinator(3, simulation.boot)
    sent = []
    simulation.handle = lambda *events: sent.extend(
        simulation.coordinator.handle(simulation.now, list(events))
    )
    simulation.handle(
        face.BackendList("full", 1, tuple(entry(f"b{n}") for n in range(3))),
        face.ProxyJoined(0, "east", 5.0, False),
        face.SliceOwnership(0, True),
        face.StoredRoute(0, "b0", 1.0),
    )
    sent.clear()
    drain(simulation, "b0")
    assert [type(o) for o in sent if isinstance(o, (face.SetRoute, face.SetAdmission))][:2] == [
        face.SetRoute
    ] * 2
