"""A simulation of proxies, store and channel that applies orders and checks the rules after every step."""

from collections import deque

from indigohitch import interface as face
from indigohitch.logic import SECOND, Coordinator

BOOT = dict(
    coordinators=1,
    own_number=0,
    discovery="ask",
    may_probe=True,
    may_tell=False,
    admission="share",
    cold_from=0.2,
    warm_within=15 * SECOND,
    drain_grace=3 * SECOND,
    fall_multiple=4.0,
    overload_for=2 * SECOND,
    bare_limit=7 * SECOND,
    envelope=16,
    lines_per_s=10000,
    queue_cap=15000,
    messages_most=12,
    counted_over=10 * SECOND,
    transit=3000,
    transit_most=7600,
    report_every=2 * SECOND,
    pick="two",
    methods=(
        face.Method("search", 20000, 60000, 2.0, "idempotent", "all", 0),
        face.Method("reserve", 12000, 30000, 2.0, "non_idempotent", "all", 0),
    ),
)


def entry(id, state="ready", started=0, weight=6.0, kind="std", zone="east"):
    return face.BackendEntry(id, state, weight, zone, 0, kind, started)


class World:
    """One coordinator's module with the proxies, tables and channel that its orders act on."""

    def __init__(self, seed=1, now=1000 * SECOND, **boot):
        self.now, self.boot = now, BOOT | boot
        self.c = Coordinator(seed, self.boot)
        self.tables, self.listed, self.notified_at, self.proxies = {}, {}, {}, set()
        self.no_route_since, self.owned_since, self.queue, self.sent, self.log = {}, {}, 0.0, deque(), []
        self.cold_routes = deque()  # routes ordered to cold backends: (time, backend)
        self.timers = [now]
        self.ejected = set()
        self.unacked, self.total_lines = [], 0.0  # markers, with the total of lines sent up to them

    def start(self, backends=6, slices=12, proxies=4, scope="full"):
        owners = [f"b{i}" for i in range(backends)]
        events = [face.BackendList(scope, 1, tuple(entry(owner) for owner in owners))]
        for number in range(slices):
            events += [
                face.SliceOwnership(number, True),
                face.StoredRoute(number, owners[number % backends], 1.0),
            ]
        return self.step(0, *events, *(face.ProxyJoined(p, "east", 5.0, True) for p in range(proxies)))

    def step(self, span, *events):
        """Advances time by `span` beat by beat, then passes the events; returns all orders."""
        end, orders = self.now + span, []
        while span and self.now < end:
            due = min(self.timers, default=end)
            if due > end:
                break
            orders += self._handle(max(due, self.now), [face.TimerFired("beat")])
        self.now = max(self.now, end)
        return orders + self._handle(self.now, list(events))

    def run(self, span, rates=None, bad=(), service=None, queued=None, probe=True):
        """Simulates steady traffic, with one report per report period on every owned slice.

        `rates` are RPCs per second by slice, 2 by default; all attempts at the backends in `bad` fail.
        """
        orders, period = [], self.boot["report_every"]
        for _ in range(0, span, period):
            events, attempts = [], {}
            for number, table in sorted(self.tables.items()):
                total = (rates or {}).get(number, 2.0) * period / SECOND
                events.append(face.SliceDemand(number, "search", round(total), 0, period))
                for backend, weight in table.items():
                    attempts[backend] = attempts.get(backend, 0) + total * weight / sum(table.values())
            for backend, count in sorted(attempts.items()):
                count = round(count)
                load = {
                    "service_time": (service or {}).get(backend, 2500),
                    "queued": (queued or {}).get(backend, 0),
                }
                load = {} if backend in bad else load
                failed, duration = (count, 0) if backend in bad else (0, 2500)
                events.append(face.BackendTraffic("east", backend, count, failed, duration, period, load))
            events += self.probes(bad) if probe else []
            orders += self.step(period, *events)
        return orders

    def probes(self, bad=()):
        """Returns the results of the probes that were ordered; those of the backends in `bad` time out."""
        results = [face.ProbeResult(b, "timeout" if b in bad else "ok", 6000) for b in self.probe_targets]
        self.probe_targets = []
        return results

    def empty_channel(self):
        """Makes all lines leave the channel, so that the next step acknowledges them; returns no events."""
        self.queue = 0.0
        return ()

    def acknowledgements(self):
        """Returns an acknowledgement from each proxy for the markers whose lines have left the channel."""
        done = [marker for marker, total in self.unacked if total <= self.total_lines - self.queue]
        self.unacked = self.unacked[len(done) :]
        return [face.UpdateAcknowledged(p, marker, 0) for marker in done for p in sorted(self.proxies)]

    probe_targets: list = []

    def _handle(self, now, events):
        self.now = now
        self.timers = [due for due in self.timers if due > now]
        for event in events:
            self.observe(event)
        orders = self.c.handle(now, self.acknowledgements() + events)
        self.log.append((now, orders))
        lines = sum(
            isinstance(o, (face.SetRoute, face.SetAdmission, face.EjectBackend, face.UpdateMarker))
            for o in orders
        )
        self.probe_targets = self.probe_targets + [
            o.backend for o in orders if isinstance(o, face.ProbeBackend)
        ]
        for order in orders:
            self.apply(order)
        self.check(now, lines)
        return orders

    def observe(self, event):
        """Keeps what an event tells the module, for the checks."""
        if isinstance(event, face.BackendList):
            for listed in event.entries:
                self.listed[listed.backend] = listed
                if listed.state == "ready":
                    self.notified_at.pop(listed.backend, None)
                else:
                    self.notified_at.setdefault(listed.backend, self.now)
            if event.scope in ("full", "remembered"):
                for backend in set(self.listed) - {listed.backend for listed in event.entries}:
                    if not self.boot.get("dropped_stay_open"):
                        del self.listed[backend]
                        self.notified_at.setdefault(backend, self.now)
        elif isinstance(event, face.SliceOwnership):
            self.tables.pop(event.slice, None)
            self.owned_since[event.slice] = self.now
            if event.is_owned:
                self.tables[event.slice] = {}
        elif isinstance(event, face.StoredRoute):
            self.tables[event.slice][event.backend] = event.weight
        elif isinstance(event, face.ProxyJoined):
            self.proxies.add(event.proxy)
        elif isinstance(event, face.ProxyLeft):
            self.proxies.discard(event.proxy)

    def is_cold(self, backend):
        listed = self.listed.get(backend)
        return (
            listed is not None
            and listed.started_at
            and self.now - listed.started_at < self.boot["warm_within"]
        )

    def apply(self, order):
        """Applies an order, and checks that it is allowed."""
        if isinstance(order, face.SetTimer):
            assert order.due_at > self.now
            self.timers.append(order.due_at)
        elif isinstance(order, face.SetRoute):
            table = self.tables[order.table]  # fails for a slice that is not owned
            assert order.backend in self.listed or order.backend in self.notified_at or order.backend in table
            assert table.get(order.backend, 0.0) != order.weight, "sets a route to the weight that it has"
            if order.weight:
                assert self.listed[order.backend].state == "ready", "sets a route to one that is not ready"
                if self.is_cold(order.backend):
                    self.cold_routes.append((self.now, order.backend))
                table[order.backend] = order.weight
            else:
                del table[order.backend]
        elif isinstance(order, face.EjectBackend):
            (self.ejected.add if order.ejected else self.ejected.discard)(order.backend)
            assert not order.ejected or self.listed[order.backend].state != "ready", "ejects a ready backend"
        elif isinstance(order, face.SetAdmission):
            methods = [
                self.boot["methods"][index] for index in order.methods or range(len(self.boot["methods"]))
            ]
            assert order.admission_ratio >= 0 and (
                order.retry_level < 2 or all(method.repeat == "idempotent" for method in methods)
            )

    def check(self, now, lines):
        """Checks the rules of the system after a step that ordered so many lines."""
        assert self.timers, "no timer is set"
        warm = [b for b, listed in self.listed.items() if listed.state == "ready" and not self.is_cold(b)]
        for number, routes in self.tables.items():
            table = [backend for backend in routes if backend not in self.ejected]
            # No slice is without a route for longer than the limit while a warm backend is known.
            if table or not warm or not self.proxies:
                self.no_route_since.pop(number, None)
            assert (
                now - self.no_route_since.setdefault(number, now) < self.boot["bare_limit"]
                if not table and warm and self.proxies
                else True
            ), f"slice {number} has no route"
            # Routes to a draining backend go early enough for the transit to the proxies.
            for backend in table:
                left = self.boot["drain_grace"] - self.boot["transit_most"]
                since = max(self.notified_at.get(backend, now), self.owned_since[number])
                assert not self.proxies or now - since <= left, f"{backend} drains, still in slice {number}"
        # The lines that wait in the channel and the messages to a proxy stay within their bounds.
        if self.sent:
            drain_rate = self.boot["lines_per_s"] / self.boot.get("slow", 2) / SECOND  # of a slow channel
            drained = (now - self.sent[-1][1]) * drain_rate
            self.queue = max(0.0, self.queue - drained)
        if lines and self.proxies:
            self.queue += len(self.proxies) * (lines + self.boot["envelope"])
            self.total_lines += len(self.proxies) * (lines + self.boot["envelope"])
            self.unacked.append(
                (
                    next(o.marker for o in self.log[-1][1] if isinstance(o, face.UpdateMarker)),
                    self.total_lines,
                )
            )
            self.sent.append((now, now))
        elif self.sent:
            self.sent[-1] = (self.sent[-1][0], now)
        assert self.queue <= self.boot["queue_cap"]
        while self.sent and self.sent[0][0] <= now - self.boot["counted_over"] and len(self.sent) > 1:
            self.sent.popleft()
        if self.boot["messages_most"]:
            assert len(self.sent) <= self.boot["messages_most"], "too many messages"

    def owners(self):
        """Returns the backend with the highest weight by slice."""
        return {number: max(table, key=table.get) for number, table in self.tables.items() if table}
