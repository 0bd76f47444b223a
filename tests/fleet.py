"""A simulation of several coordinators over one set of backends.

Each coordinator owns a part of the slices and gets its own reports, which arrive late; `world.World` checks
the rules for each of them. The load that all of them together put on a backend is simulated here.
"""

import random

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World, entry

BASE = 2500  # service time of an RPC at a warm backend, in ticks


class Node:
    """A fluid model of a backend.

    It does `weight` times its warm-up fraction core seconds of work per second, and queues up to two seconds
    of work.
    """

    WAITS = 2.0  # seconds of work that the queue holds

    def __init__(self, id, weight, started, zone):
        self.id, self.weight, self.started, self.zone = id, weight, started, zone
        self.state, self.slow, self.silent = "ready", 1.0, False
        self.queue = self.overloaded_for = 0.0  # core seconds of waiting work; seconds of overload while cold
        self.cached = {}  # time of the last RPC of each slice


class Fleet:
    """The simulated backends, and a `World` for each coordinator."""

    # Ticks of a time step; of the warm-up; capacity at its start; ticks for which a backend caches a slice.
    TICK, WARM, COLD, MEMORY = SECOND // 4, 10 * SECOND, 0.3, 15 * SECOND

    def __init__(self, seed=1, coordinators=5, backends=24, slices=140, proxies=8, load=0.5, **boot):
        self.random = random.Random(seed)
        self.now = 1000 * SECOND
        zones = ("east", "west", "north")
        self.nodes = {f"b{n}": Node(f"b{n}", 6.0, 0, zones[n % 3]) for n in range(backends)}
        self.shown = {}  # what discovery has shown
        self.worlds = [
            World(seed + n, self.now, coordinators=coordinators, own_number=n, **boot)
            for n in range(coordinators)
        ]
        shares = [self.random.lognormvariate(0, 0.6) for _ in range(slices)]
        total = load * 6.0 * backends / (BASE / SECOND) / sum(shares)
        self.rates = {
            number: share * total for number, share in enumerate(shares)
        }  # RPCs per second by slice
        ids = list(self.nodes)
        owners = {number: ids[number % backends] for number in self.rates}
        for number, owner in owners.items():
            self.nodes[owner].cached[number] = self.now
        self.in_transit = []  # (time, coordinator, events)
        self.attempts, self.received = {}, {}  # by coordinator, since its last report
        self.served = self.demand = 0.0
        self.overload_failures, self.uses = [], []
        self.down = set()  # coordinators that have failed
        for index, world in enumerate(self.worlds):
            events = [self.listing("full")]
            for number in self.owned_slices(index):
                events += [face.SliceOwnership(number, True), face.StoredRoute(number, owners[number], 1.0)]
            world.step(0, *events, *(face.ProxyJoined(p, "east", 5.0, True) for p in range(proxies)))

    def owned_slices(self, coordinator):
        return [number for number in self.rates if number % len(self.worlds) == coordinator]

    def listing(self, scope, nodes=None):
        return face.BackendList(
            scope,
            1,
            tuple(
                entry(node.id, node.state, node.started, node.weight, zone=node.zone)
                for node in (self.nodes.values() if nodes is None else nodes)
            ),
        )

    def notify(self, *nodes, after=0):
        """Sends the state of these backends to all coordinators."""
        for index in range(len(self.worlds)):
            self.in_transit.append((self.now + after, index, [self.listing("changes", nodes)]))

    def start_node(self, id):
        self.nodes[id] = Node(id, 6.0, self.now, "east")
        self.notify(self.nodes[id])

    def drain(self, id):
        self.nodes[id].state = "draining"
        self.notify(self.nodes[id])

    def restart(self, *ids):
        for id in ids:
            self.nodes[id].started, self.nodes[id].silent = self.now, False
            self.nodes[id].queue, self.nodes[id].cached = 0.0, {}
        self.notify(*(self.nodes[id] for id in ids))

    def capacity(self, node):
        """Returns the core seconds of work that a backend does per second."""
        age = (self.now - node.started) / self.WARM if node.started else 1.0
        return node.weight / node.slow * min(1.0, self.COLD + (1 - self.COLD) * age)

    def simulate(self, span):
        """Simulates the RPCs that the proxies send within a time step, and the work of the backends."""
        seconds, arrivals = span / SECOND, {}
        for index, world in enumerate(self.worlds):
            for number, table in world.tables.items():
                expected = self.rates[number] * seconds
                count = max(0.0, self.random.gauss(expected, expected**0.5))
                self.demand += count
                received = self.received.setdefault(index, {})
                received[number] = received.get(number, 0.0) + count
                routes = {id: weight for id, weight in table.items() if id not in world.ejected}
                for id, weight in routes.items():
                    node, part = self.nodes[id], count * weight / sum(routes.values())
                    is_cached = self.now - node.cached.get(number, -self.now) < self.MEMORY
                    node.cached[number] = self.now
                    arrivals.setdefault(id, []).append(
                        (index, part, part * BASE / SECOND * (1 if is_cached else 2))
                    )
        for id, node in self.nodes.items():
            parts, possible = arrivals.get(id, []), self.capacity(node) * seconds
            work = sum(part[2] for part in parts)
            cold = node.started and self.now - node.started < self.WARM
            node.overloaded_for = node.overloaded_for + seconds if cold and work > 4.0 * possible else 0.0
            if node.overloaded_for * SECOND >= 2 * SECOND:
                self.overload_failures.append((self.now, id))
            room = 0.0 if node.silent else max(0.0, possible + node.WAITS * possible / seconds - node.queue)
            accepted = min(1.0, room / work) if work else 1.0
            node.queue = max(0.0, node.queue + accepted * work - possible)
            for index, count, _ in parts:
                attempts = self.attempts.setdefault(index, {}).setdefault(id, [0.0, 0.0])
                attempts[0] += count
                attempts[1] += count * (1 - accepted)
                self.served += count * accepted * (node.queue < 1.2 * self.capacity(node))
            if node.state == "ready":
                self.uses.append((self.now, id, work / possible))

    def report(self, coordinator):
        """Sends a coordinator the sums since its last report, which arrive a second later."""
        events, period = [], 2 * SECOND
        for number, count in sorted(self.received.pop(coordinator, {}).items()):
            events.append(face.SliceDemand(number, "search", round(count), 0, period))
        for id, (attempts, failed) in sorted(self.attempts.pop(coordinator, {}).items()):
            node = self.nodes[id]
            if round(attempts):
                answered = round(attempts) > round(failed)
                load = {"service_time": round(BASE * node.slow), "queued": node.queue / (BASE / SECOND)}
                events.append(
                    face.BackendTraffic(
                        "east",
                        id,
                        round(attempts),
                        min(round(failed), round(attempts)),
                        BASE if answered else 0,
                        period,
                        load if answered else {},
                    )
                )
        self.in_transit.append((self.now + SECOND, coordinator, events))

    def run(self, span):
        for _ in range(span // self.TICK):
            self.now += self.TICK
            due = [message for message in self.in_transit if message[0] <= self.now]
            self.in_transit = [message for message in self.in_transit if message[0] > self.now]
            for index, world in enumerate(self.worlds):
                if index in self.down:
                    continue
                events = [event for _, to, received in due if to == index for event in received]
                world.step(
                    self.now - world.now,
                    *events,
                    *world.probes({node.id for node in self.nodes.values() if node.silent}),
                )
            self.simulate(self.TICK)
            if self.now // self.TICK % 8 == 0:
                for index in range(len(self.worlds)):
                    self.report(index)

    def served_share(self, span):
        """Returns the share of RPCs that are served within a span."""
        self.served = self.demand = 0.0
        self.run(span)
        return self.served / self.demand

    def slice_counts(self, ids):
        """Returns the number of slices with a route to each of these backends."""
        counts = dict.fromkeys(ids, 0)
        for world in self.worlds:
            for table in world.tables.values():
                for id in table:
                    if id in counts:
                        counts[id] += 1
        return counts
