"""Several coordinators' modules over one set of backends: each has its part of the slices and hears its own
late sums, as `world.World` checks the rules of each; what all of them do to a backend is seen here."""

import random

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World, entry

BASE = 2500  # service time of an RPC at a warm backend, tenths of a ms


class Node:
    """A backend as a fluid: it does `weight` x its warmth of core seconds a second, two seconds wait."""

    WAITS = 2.0

    def __init__(self, id, weight, started, zone):
        self.id, self.weight, self.started, self.zone = id, weight, started, zone
        self.state, self.slow, self.silent = "ready", 1.0, False
        self.queue = self.over = 0.0  # core seconds that wait; seconds over the felling multiple
        self.met = {}  # when each slice last came


class Fleet:
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
        weigh = [self.random.lognormvariate(0, 0.6) for _ in range(slices)]
        total = load * 6.0 * backends / (BASE / SECOND) / sum(weigh)
        self.rates = {s: w * total for s, w in enumerate(weigh)}  # RPCs a second
        ids = list(self.nodes)
        where = {s: ids[s % backends] for s in self.rates}
        for s, b in where.items():
            self.nodes[b].met[s] = self.now
        self.late = []  # (when, coordinator, events)
        self.tries, self.came = {}, {}  # since the last report, by coordinator
        self.served = self.asked = 0.0
        self.fell, self.uses = [], []
        self.down = set()  # coordinators that are lost
        for n, w in enumerate(self.worlds):
            events = [self.listing("full")]
            for s in self.held(n):
                events += [face.SliceOwnership(s, True), face.StoredRoute(s, where[s], 1.0)]
            w.step(0, *events, *(face.ProxyJoined(p, "east", 5.0, True) for p in range(proxies)))

    def held(self, n):
        return [s for s in self.rates if s % len(self.worlds) == n]

    def listing(self, scope, nodes=None):
        return face.BackendList(
            scope,
            1,
            tuple(
                entry(b.id, b.state, b.started, b.weight, zone=b.zone)
                for b in (self.nodes.values() if nodes is None else nodes)
            ),
        )

    def tell(self, *nodes, after=0):
        for n in range(len(self.worlds)):
            self.late.append((self.now + after, n, [self.listing("changes", nodes)]))

    def start_node(self, id):
        self.nodes[id] = Node(id, 6.0, self.now, "east")
        self.tell(self.nodes[id])

    def drain(self, id):
        self.nodes[id].state = "draining"
        self.tell(self.nodes[id])

    def return_cold(self, *ids):
        for id in ids:
            self.nodes[id].started, self.nodes[id].silent = self.now, False
            self.nodes[id].queue, self.nodes[id].met = 0.0, {}
        self.tell(*(self.nodes[id] for id in ids))

    def power(self, b):
        age = (self.now - b.started) / self.WARM if b.started else 1.0
        return b.weight / b.slow * min(1.0, self.COLD + (1 - self.COLD) * age)

    def carry(self, span):
        """What the proxies send in a tick, and what the backends make of it."""
        dt, come = span / SECOND, {}
        for n, w in enumerate(self.worlds):
            for s, table in w.tables.items():
                rate = self.rates[s] * dt
                many = max(0.0, self.random.gauss(rate, rate**0.5))
                self.asked += many
                seen = self.came.setdefault(n, {})
                seen[s] = seen.get(s, 0.0) + many
                lines = {b: x for b, x in table.items() if b not in w.out}
                for b, weight in lines.items():
                    node, part = self.nodes[b], many * weight / sum(lines.values())
                    known = self.now - node.met.get(s, -self.now) < self.MEMORY
                    node.met[s] = self.now
                    come.setdefault(b, []).append((n, part, part * BASE / SECOND * (1 if known else 2)))
        for b, node in self.nodes.items():
            parts, can = come.get(b, []), self.power(node) * dt
            work = sum(p[2] for p in parts)
            cold = node.started and self.now - node.started < self.WARM
            node.over = node.over + dt if cold and work > 4.0 * can else 0.0
            if node.over * SECOND >= 2 * SECOND:
                self.fell.append((self.now, b))
            room = 0.0 if node.silent else max(0.0, can + node.WAITS * can / dt - node.queue)
            kept = min(1.0, room / work) if work else 1.0
            node.queue = max(0.0, node.queue + kept * work - can)
            for n, many, _ in parts:
                tries = self.tries.setdefault(n, {}).setdefault(b, [0.0, 0.0])
                tries[0] += many
                tries[1] += many * (1 - kept)
                self.served += many * kept * (node.queue < 1.2 * self.power(node))
            if node.state == "ready":
                self.uses.append((self.now, b, work / can))

    def report(self, n):
        events, every = [], 2 * SECOND
        for s, many in sorted(self.came.pop(n, {}).items()):
            events.append(face.SliceDemand(s, "search", round(many), 0, every))
        for b, (tries, failed) in sorted(self.tries.pop(n, {}).items()):
            node = self.nodes[b]
            if round(tries):
                answered = round(tries) > round(failed)
                load = {"service_time": round(BASE * node.slow), "queued": node.queue / (BASE / SECOND)}
                events.append(
                    face.BackendTraffic(
                        "east",
                        b,
                        round(tries),
                        min(round(failed), round(tries)),
                        BASE if answered else 0,
                        every,
                        load if answered else {},
                    )
                )
        self.late.append((self.now + SECOND, n, events))

    def run(self, span):
        for _ in range(span // self.TICK):
            self.now += self.TICK
            due = [x for x in self.late if x[0] <= self.now]
            self.late = [x for x in self.late if x[0] > self.now]
            for n, w in enumerate(self.worlds):
                if n in self.down:
                    continue
                events = [e for _, to, some in due if to == n for e in some]
                w.step(self.now - w.now, *events, *w.probes({b.id for b in self.nodes.values() if b.silent}))
            self.carry(self.TICK)
            if self.now // self.TICK % 8 == 0:
                for n in range(len(self.worlds)):
                    self.report(n)

    def share(self, span):
        """Served of what is asked for over a span."""
        self.served = self.asked = 0.0
        self.run(span)
        return self.served / self.asked

    def on(self, ids):
        """Slices by backend, of those named."""
        count = dict.fromkeys(ids, 0)
        for w in self.worlds:
            for table in w.tables.values():
                for b in table:
                    if b in count:
                        count[b] += 1
        return count
