"""A stand-in for proxies, store and channel: applies orders, and checks the rules after every step."""

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
    def __init__(self, seed=1, now=1000 * SECOND, **boot):
        self.now, self.boot = now, BOOT | boot
        self.c = Coordinator(seed, self.boot)
        self.tables, self.listed, self.told, self.proxies = {}, {}, {}, set()
        self.bare, self.given, self.queue, self.sent, self.log = {}, {}, 0.0, deque(), []
        self.taken = deque()  # when a cold backend was given a slice: (time, backend)
        self.timers = [now]
        self.out = set()  # withdrawn
        self.marks, self.total = [], 0.0  # marks not answered, with all lines sent up to them

    def start(self, backends=6, slices=12, proxies=4, scope="full"):
        owners = [f"b{i}" for i in range(backends)]
        events = [face.BackendList(scope, 1, tuple(entry(b) for b in owners))]
        for s in range(slices):
            events += [face.SliceOwnership(s, True), face.StoredRoute(s, owners[s % backends], 1.0)]
        return self.step(0, *events, *(face.ProxyJoined(p, "east", 5.0, True) for p in range(proxies)))

    def step(self, span, *events):
        """Let `span` pass in beats, then hand over the events; returns all orders."""
        end, out = self.now + span, []
        while span and self.now < end:
            due = min(self.timers, default=end)
            if due > end:
                break
            out += self._handle(max(due, self.now), [face.TimerFired("beat")])
        self.now = max(self.now, end)
        return out + self._handle(self.now, list(events))

    def run(self, span, rates=None, bad=(), service=None, queued=None, probe=True):
        """Plain traffic: sums each report period, from every slice in charge."""
        out, every = [], self.boot["report_every"]
        for _ in range(0, span, every):
            events, tries = [], {}
            for s, lines in sorted(self.tables.items()):
                rate = (rates or {}).get(s, 2.0) * every / SECOND
                events.append(face.SliceDemand(s, "search", round(rate), 0, every))
                for b, weight in lines.items():
                    tries[b] = tries.get(b, 0) + rate * weight / sum(lines.values())
            for b, n in sorted(tries.items()):
                n = round(n)
                load = {"service_time": (service or {}).get(b, 2500), "queued": (queued or {}).get(b, 0)}
                load = {} if b in bad else load
                failed, took = (n, 0) if b in bad else (0, 2500)
                events.append(face.BackendTraffic("east", b, n, failed, took, every, load))
            events += self.probes(bad) if probe else []
            out += self.step(every, *events)
        return out

    def probes(self, bad=()):
        found = [face.ProbeResult(b, "timeout" if b in bad else "ok", 6000) for b in self.asked]
        self.asked = []
        return found

    def acks(self):
        self.queue = 0.0  # all of it has left the channel
        return ()

    def answered(self):
        """Marks whose lines have left the channel."""
        done = [mark for mark, at in self.marks if at <= self.total - self.queue]
        self.marks = self.marks[len(done) :]
        return [face.UpdateAcknowledged(p, mark, 0) for mark in done for p in sorted(self.proxies)]

    asked: list = []

    def _handle(self, now, events):
        self.now = now
        self.timers = [t for t in self.timers if t > now]
        for e in events:
            self.hear(e)
        orders = self.c.handle(now, self.answered() + events)
        self.log.append((now, orders))
        lines = sum(
            isinstance(o, (face.SetRoute, face.SetAdmission, face.EjectBackend, face.UpdateMarker))
            for o in orders
        )
        self.asked = self.asked + [o.backend for o in orders if isinstance(o, face.ProbeBackend)]
        for o in orders:
            self.apply(o)
        self.check(now, lines)
        return orders

    def hear(self, e):
        if isinstance(e, face.BackendList):
            for x in e.entries:
                self.listed[x.backend] = x
                if x.state == "ready":
                    self.told.pop(x.backend, None)
                else:
                    self.told.setdefault(x.backend, self.now)
            if e.scope in ("full", "remembered"):
                for b in set(self.listed) - {x.backend for x in e.entries}:
                    if not self.boot.get("dropped_stay_open"):
                        del self.listed[b]
                        self.told.setdefault(b, self.now)
        elif isinstance(e, face.SliceOwnership):
            self.tables.pop(e.slice, None)
            self.given[e.slice] = self.now
            if e.is_owned:
                self.tables[e.slice] = {}
        elif isinstance(e, face.StoredRoute):
            self.tables[e.slice][e.backend] = e.weight
        elif isinstance(e, face.ProxyJoined):
            self.proxies.add(e.proxy)
        elif isinstance(e, face.ProxyLeft):
            self.proxies.discard(e.proxy)

    def cold(self, b):
        x = self.listed.get(b)
        return x is not None and x.started_at and self.now - x.started_at < self.boot["warm_within"]

    def apply(self, o):
        if isinstance(o, face.SetTimer):
            assert o.due_at > self.now
            self.timers.append(o.due_at)
        elif isinstance(o, face.SetRoute):
            table = self.tables[o.table]  # only slices in charge
            assert o.backend in self.listed or o.backend in self.told or o.backend in table
            assert table.get(o.backend, 0.0) != o.weight, "a standing value repeated"
            if o.weight:
                assert self.listed[o.backend].state == "ready", "a line to one that drains"
                if self.cold(o.backend):
                    self.taken.append((self.now, o.backend))
                table[o.backend] = o.weight
            else:
                del table[o.backend]
        elif isinstance(o, face.EjectBackend):
            (self.out.add if o.ejected else self.out.discard)(o.backend)
            assert not o.ejected or self.listed[o.backend].state != "ready", "shut out though ready"
        elif isinstance(o, face.SetAdmission):
            kinds = [self.boot["methods"][k] for k in o.methods or range(len(self.boot["methods"]))]
            assert o.admission_ratio >= 0 and (
                o.retry_level < 2 or all(m.repeat == "idempotent" for m in kinds)
            )

    def check(self, now, lines):
        assert self.timers, "no timer left"
        warm = [b for b, x in self.listed.items() if x.state == "ready" and not self.cold(b)]
        for s, lines_out in self.tables.items():
            table = [b for b in lines_out if b not in self.out]
            # Bare: no slice without a line while a warm backend is known.
            if table or not warm or not self.proxies:
                self.bare.pop(s, None)
            assert (
                now - self.bare.setdefault(s, now) < self.boot["bare_limit"]
                if not table and warm and self.proxies
                else True
            ), f"slice {s} bare"
            # Drain: out in good time for the way to the proxies.
            for b in table:
                left = self.boot["drain_grace"] - self.boot["transit_most"]
                since = max(self.told.get(b, now), self.given[s])
                assert not self.proxies or now - since <= left, f"{b} drains, still in {s}"
        # Queue: lines that wait, messages to a proxy.
        if self.sent:
            pace = self.boot["lines_per_s"] / self.boot.get("slow", 2) / SECOND  # a slow day
            passed = (now - self.sent[-1][1]) * pace
            self.queue = max(0.0, self.queue - passed)
        if lines and self.proxies:
            self.queue += len(self.proxies) * (lines + self.boot["envelope"])
            self.total += len(self.proxies) * (lines + self.boot["envelope"])
            self.marks.append(
                (next(o.marker for o in self.log[-1][1] if isinstance(o, face.UpdateMarker)), self.total)
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
        return {s: max(t, key=t.get) for s, t in self.tables.items() if t}
