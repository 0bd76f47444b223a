"""The decision module: which backend answers for which slice, and what the proxies are told of it.

A front makes one `Coordinator(seed, bootstrap)` an instance and calls `handle(now, events)` once a
batch; it returns the orders of that moment, in their order.  Events and orders are those of interface.py,
times whole tenths of a millisecond, `bootstrap` a plain map of the start settings.  Why: docs/design.md.
"""
from __future__ import annotations

import hashlib
import math
import random
from collections import Counter, deque
from heapq import heappop, heappush

from . import interface as face

SECOND = 10_000                 # the unit of every span below: tenths of a millisecond


class Sums:
    """Sums that fade with a time constant: what was added lately counts most."""

    def __init__(self, span: int, size: int) -> None:
        self.span, self.at, self.values = span, 0, [0.0] * size

    def read(self, now: int) -> list[float]:
        if now > self.at:
            fade = math.exp((self.at - now) / self.span)
            self.values, self.at = [v * fade for v in self.values], now
        return self.values

    def add(self, now: int, *amounts: float) -> None:
        values = self.read(now)
        for i, amount in enumerate(amounts):
            values[i] += amount


class Backend:
    # Speed is a matter of the machine, failures of the hour: the one is smoothed longer than the other.
    PACE_SPAN, FAIL_SPAN = 30 * SECOND, 4 * SECOND

    def __init__(self, id: str) -> None:
        self.id, self.key = id, hashlib.blake2b(id.encode(), digest_size=8).digest()
        self.kind, self.zone, self.weight, self.started = "", "", 1.0, 0
        self.state = "unheard"                  # "ready", "draining", "gone"; unheard: only in the store
        self.dropped = False                    # no more in the list, but it answers
        self.told = 0                           # when the list said that it drains, is gone or began anew
        self.parts: list[Part] = []             # what is wanted here
        self.pace = Sums(self.PACE_SPAN, 2)     # time that cores spent on RPCs, what these should cost
        self.tries = Sums(self.FAIL_SPAN, 2)    # tries, failures
        self.slowness, self.excess = 1.0, 1.0   # against the fastest kind, of that against its own kind
        self.probe_out = 0                      # when the probe now out was sent, 0: none
        self.misses, self.miss_since = 0, 0     # probes unanswered in a row, when the first was sent
        self.ok_heard, self.unanswered = 0, 0   # when sums last told of an answer, tries without since
        self.health = 1.0
        self.admit, self.judged, self.wait = 1.0, 0, 0.0    # share to let in; when judged, its queue then
        self.doubtful, self.lost = False, False  # gets no part and nothing new; silent: weight at the floor
        self.intake = 0                         # slices taken this round
        self.warmth, self.share = 1.0, 1.0      # share: how much of its cold room is ours to fill
        self.capacity = 1.0                     # weight x health x warmth x share / slowness, set by `assess`
        self.load = 0.0                         # demand of what is wanted here

    def use(self) -> float:
        return self.load / self.capacity


class Part:
    """A movable piece of a slice: the whole of it, or one share of a slice that is split."""

    def __init__(self, slice: Slice, owner: Backend | None) -> None:
        self.slice, self.owner, self.rests_until = slice, None, 0
        self.go_to(owner)

    def go_to(self, owner: Backend | None) -> None:
        if self.owner is not None:
            self.owner.parts.remove(self)
        self.owner = owner
        if owner is not None:
            owner.parts.append(self)

    @property
    def load(self) -> float:
        return self.slice.load / len(self.slice.parts)


class Slice:
    DEMAND_SPAN = 7 * SECOND                    # the design's 10 s are late for demand that lasts 14
    USUAL_SPAN = 30 * SECOND                    # a few RPCs a second are mostly chance over less

    def __init__(self, number: int, now: int) -> None:
        self.number, self.since = number, now
        self.parts: list[Part] = []
        self.stored: dict[Backend, float] = {}  # the lines as the store holds them
        self.level = 1.0                        # share that is let in, as the store holds it
        self.demand = Sums(self.DEMAND_SPAN, 2)  # cost, RPCs
        self.usual = Sums(self.USUAL_SPAN, 2)   # the same over longer
        self.load, self.cost = 1.0, 1.0         # cost a second; mean cost of an RPC

    def owners(self) -> list[Backend]:
        return [p.owner for p in self.parts if p.owner is not None]


def mean_cost(slices) -> float:
    sums = [s.demand.values for s in slices]
    return sum(v[0] for v in sums) / (sum(v[1] for v in sums) or 1.0)


class Coordinator:
    ROUND = 2 * SECOND                          # the design's
    BEAT = SECOND // 2                          # probes and pushes hang on it: half of what a push may wait

    def __init__(self, seed: int, bootstrap: dict) -> None:
        self.boot = bootstrap
        self.uniform = random.Random(seed).random
        self.now, self.orders, self.beats, self.mark = 0, [], 0, 0
        self.backends: dict[str, Backend] = {}
        self.slices: dict[int, Slice] = {}
        self.proxies: dict[int, str] = {}
        self.methods = {m.name: m for m in bootstrap["methods"]}
        self.due: list[tuple[int, str]] = []    # due time, what to do then
        self.plan_from = 0                      # no planning before
        self.yield_, self.failing = 0.0, 0.0    # answered cost a second and unit of weight; share of failures
        self.assessed, self.turn, self.strained = 0, 0, False   # last judged, planned; too much for the fleet
        self.balancing, self.held = False, False  # between the band's two edges; urgent lines wait for room
        self.list_fresh = False                 # the list in hand is not just remembered
        self.calls_failed = 0                   # for the list, in a row
        self.levels_sent: set[int] = set()      # proxies that know the further tries
        self.withdrawn: set[Backend] = set()    # shut out of all tables, until ready again
        self.returned: set[Backend] = set()     # ready again: some proxy may not know it yet
        self.backlog, self.backlog_at = 0.0, 0  # lines that may still wait in the channel
        self.sent: deque[int] = deque()         # when messages went out
        self.unacked: dict[int, tuple[int, set[int]]] = {}      # by mark: lines each, proxies to answer yet
        self.next_beat, self.timer = 0, 0       # when the beat is due; the timer that is set; and what is to
        self.asking, self.probing = False, []   # be asked for: a subscription, probes

    def handle(self, now: int, events: list[face.Event]) -> list[face.Order]:
        self.now, self.orders = now, []
        if not self.next_beat:
            self.next_beat = now + self.BEAT
            self.hold_plans()
            self.subscribe()
        for event in events:
            if type(event) in self.HEAR:                # others tell nothing that is used here
                self.HEAR[type(event)](self, event)
        while self.due and self.due[0][0] <= now:
            getattr(self, heappop(self.due)[1])()
        if due := now >= self.next_beat:
            self.beat()
        # Answers to marks come by the hundred: they count with what comes next, a beat at most.
        if heard := due or any(not isinstance(e, face.Acked) for e in events):
            self.decide()
        if heard or self.held:
            self.emit()
        return self.orders

    def log(self, text: str) -> None:
        self.orders.append(face.LogLine(text))

    def hold_plans(self) -> None:
        """After a start or a take-over planning waits until the sums tell more than chance: three periods."""
        self.plan_from = self.now + 3 * self.boot["report_every"]

    def subscribe(self) -> None:
        self.asking = self.boot.get("discovery") == "ask"

    def backend(self, id: str) -> Backend:
        return self.backends.get(id) or self.backends.setdefault(id, Backend(id))

    # ---- hearing ---------------------------------------------------------------------------------

    def on_list(self, news: face.BackendList) -> None:
        if news.scope == "failed":
            # A broken subscription must not leave us deaf: ask again, spread so that all do not ask at once,
            # less often while it goes on, two to four seconds at most: an older list costs more than a call.
            self.calls_failed += 1
            span = SECOND // 4 * 2 ** min(self.calls_failed, 3)
            heappush(self.due, (self.now + span + int(span * self.uniform()), "subscribe"))
            self.log("no news of the backends: the list's call failed, asking again")
            return
        self.list_fresh |= news.scope != "remembered"
        self.calls_failed = 0
        named = {self.backend(entry.backend): entry for entry in news.entries}
        for b, entry in named.items():
            if entry.started > b.started and b.state != "unheard":
                # The same id with a later start: what we knew of the old process is void.
                b.tries, b.pace = Sums(b.FAIL_SPAN, 2), Sums(b.PACE_SPAN, 2)
                b.lost, b.health, b.told, b.state = False, 1.0, self.now, "unheard"
                b.misses = b.unanswered = 0
            self.turn_to(b, entry.state)
            b.weight, b.started = max(entry.weight, 1e-3), max(b.started, entry.started)
            b.kind, b.zone = entry.kind, entry.zone
        # What a complete list lacks is gone; what only the store knew is, once the list in hand is fresh.
        for b in self.backends.values():
            if b not in named and (self.list_fresh if b.state == "unheard" else news.scope != "changes"):
                self.turn_to(b, "gone")

    def turn_to(self, b: Backend, state: str) -> None:
        """Lists may be old or cut short.  Where a drop from the list does not bind, one that answers stays
        until it misses a probe; one back without a new start gets nothing before it answers one."""
        b.dropped = (state == "gone" and b.state == "ready" and not b.misses and not b.unanswered
                     and bool(self.boot.get("dropped_stay_open") and self.boot.get("may_probe")))
        if b.dropped:
            return
        if b.state in ("ready", "unheard") and state in ("draining", "gone"):
            b.told = self.now
        if b.state == "gone" and state == "ready":
            b.misses, b.miss_since = 2, self.now
        b.state = state

    def on_probed(self, result: face.Probed) -> None:
        b = self.backend(result.backend)
        sent, b.probe_out = b.probe_out, 0
        if result.outcome in ("timeout", "connect_failed", "reset"):
            b.miss_since = b.miss_since if b.misses else sent
            b.misses += 1
            if b.dropped:
                self.turn_to(b, "gone")
        else:
            b.misses = 0

    def on_demand(self, sums: face.SliceDemand) -> None:
        s, method = self.slices.get(sums.slice), self.methods.get(sums.method)
        if s is not None and method is not None:
            # What an RPC costs is told nowhere; the soft deadline grows with the work of a method.
            for lately in (s.demand, s.usual):
                lately.add(self.now, sums.total * method.soft_deadline / SECOND, sums.total)

    def on_traffic(self, met: face.Traffic) -> None:
        b = self.backend(met.backend)
        b.tries.add(self.now, met.tries, met.failures)
        b.unanswered += met.failures
        if met.tries > met.failures:
            b.ok_heard, b.unanswered = self.now, 0
        self.judge(b, met)
        cost = mean_cost(p.slice for p in b.parts)
        if b.warmth < 1 or not cost:            # slow by its warm-up, which passes; no cost to go by
            return
        # Time in work without the wait, or the share of cores in use, against what gets done.
        if met.load.get("service_time"):
            b.pace.add(self.now, met.load["service_time"] / SECOND, cost)
        elif met.load.get("busy"):
            b.pace.add(self.now, met.load["busy"] * b.weight, met.load.get("ok_rate", 0.0) * cost)

    def on_joined(self, joined: face.ProxyJoined) -> None:
        self.proxies[joined.proxy] = joined.zone
        self.levels_sent.discard(joined.proxy)
        self.withdrawn |= self.returned         # it may hold what it never heard taken back

    def on_left(self, left: face.ProxyLeft) -> None:
        self.proxies.pop(left.proxy, None)
        for _, proxies in self.unacked.values():
            proxies.discard(left.proxy)

    def on_acked(self, ack: face.Acked) -> None:
        """Messages arrive in order: what went to that proxy up to this mark has left the channel."""
        for mark, (_, proxies) in self.unacked.items() if ack.mark in self.unacked else ():
            proxies.discard(ack.proxy)
            if mark == ack.mark:
                break

    def on_charge(self, charge: face.Charge) -> None:
        if charge.slice in self.slices:
            for part in self.slices.pop(charge.slice).parts:
                part.go_to(None)
        if charge.held:
            self.slices[charge.slice] = Slice(charge.slice, self.now)
            self.hold_plans()

    def on_stored(self, line: face.StoredLine) -> None:
        if line.slice in self.slices and line.weight > 0:
            self.slices[line.slice].stored[self.backend(line.backend)] = line.weight

    HEAR = {face.BackendList: on_list, face.Probed: on_probed, face.SliceDemand: on_demand,
            face.Traffic: on_traffic, face.ProxyJoined: on_joined, face.ProxyLeft: on_left,
            face.Charge: on_charge, face.StoredLine: on_stored, face.Acked: on_acked}

    # ---- judging ---------------------------------------------------------------------------------

    def judge(self, b: Backend, met: face.Traffic) -> None:
        """Where levels are honoured: let in less for a backend whose queue takes over a quarter of the
        shortest soft deadline, once a quarter of all have such (else a move cures it).  It would be late."""
        if (self.boot.get("admission") != "share" or "queued" not in met.load
                or self.now - b.judged < self.boot["report_every"]):
            return
        # By Little's law, queue over rate is the wait.  A half, and steeper cuts, did no better.
        n, failed = b.tries.read(self.now)
        # The queue is that of all coordinators' RPCs, the rate one's own: the others' are like it.
        wait = (met.load["queued"] * b.tries.span / max(n - failed, 1.0) * b.share
                / (self.boot.get("coordinators", 1) * min(m.soft_deadline for m in self.methods.values())))
        b.judged, b.wait = self.now, wait
        if wait > 0.25 and 4 * sum(o.wait > 0.25 for o in self.opened()) > len(self.opened()):
            b.admit = max(0.2, b.admit * (0.7 if wait > 0.75 else 0.85))
        elif wait < 0.2:
            b.admit = min(1.0, b.admit + 0.2)

    @staticmethod
    def wanted_level(s: Slice) -> float:
        return round(5 * min((b.admit for b in s.owners()), default=1.0)) / 5       # in fifths: fewer lines

    def assess(self) -> None:
        """Demand of every slice, and for every backend its health, warmth and capacity."""
        now = self.now
        for s in self.slices.values():
            (cost, rpcs), (usual, many) = s.demand.read(now), s.usual.read(now)
            over, over_usual = (d.span / SECOND * (1 - math.exp(min(s.since - now, -1) / d.span))
                                for d in (s.demand, s.usual))
            s.cost = cost / rpcs if rpcs > 1 else s.cost
            # Lately counts as far as it is more than chance against the usual (shrunk by the variance):
            # moves made on chance empty caches, and among many backends one always looks the busiest.
            due = many * over / over_usual
            sure = (rpcs - due) ** 2 / ((rpcs - due) ** 2 + 4 * due + 1)
            rate = sure * cost / over + (1 - sure) * usual / over_usual
            # Half an RPC's worth keeps a slice that nobody asked for yet from weighing nothing.
            s.load = rate + 0.5 * s.cost / over
        opened = self.opened()
        tries = sum(b.tries.read(now)[0] for b in opened)
        self.failing = sum(b.tries.values[1] for b in opened) / (tries or 1)
        # Answered cost a second for a unit of listed weight, by the warm, fading over a minute: all that is
        # known of strength in absolute terms, and what was shown does not go with a bad hour.
        warm = [b for b in opened if b.warmth >= 1]
        answered = sum(b.tries.values[0] - b.tries.values[1] for b in warm) * SECOND / Backend.FAIL_SPAN
        self.yield_ = max(answered * mean_cost(self.slices.values()) / (sum(b.weight for b in warm) or 1.0),
                          self.yield_ * math.exp((self.assessed - now) / (60 * SECOND)))
        paces: dict[str, list[float]] = {}
        for b in opened:
            spent, cost = b.pace.read(now)
            if cost > 2:
                paces.setdefault(b.kind, []).append(spent / cost)
        # The faster quarter of a kind says what its machines can do; the slower ones may be overfull.
        usual_pace = {kind: sorted(found)[len(found) // 4] for kind, found in paces.items()}
        fastest = min(usual_pace.values(), default=0.0)
        # An overload shows at many at once.  A third for 45 hundredths took a quiet day's start for one.
        bad = sum(b.excess > 1.6 or b.tries.values[1] > 0.1 * b.tries.values[0] + 1 for b in opened)
        was, self.strained = self.strained, bad > (0.2 if self.strained else 0.45) * len(opened)
        if was != self.strained:
            self.log(f"strain {('ends', 'begins')[self.strained]}: {bad} of {len(opened)} backends look bad")
        many, own = self.boot.get("coordinators", 1), self.boot.get("own_number", 0)
        missing = Counter(b.zone for b in opened if b.misses > 1)
        usable = Counter(b.zone for b in opened)
        for b in self.backends.values():
            b.load = sum(p.load for p in b.parts)
            spent, cost = b.pace.values
            like = usual_pace.get(b.kind, 0.0)
            if like:
                # Two reports' worth of its kind's pace, and bounded: service times swell on a full machine.
                b.excess = max((spent + 2 * like) / ((cost + 2) * like), 0.8)
                b.slowness = min(b.excess, 1.5 if self.strained else 4.0) * like / fastest
            n, failed = b.tries.values
            # Failures beyond what the others show: when all look bad, it is no backend's fault.  With its own
            # among them one dead of two could not be told from two ill ones.
            others = max(0.0, self.failing * tries - failed) / max(tries - n, 1)
            excess = max(0.0, failed - 2 * others * n) / (n + 3)
            # Unanswered probes in a row, over more than the pauses that pass by themselves (0.7 s); they may
            # wait in a full queue or on a slow link, so the sums must tell of tries and no answers too.
            quiet = b.unanswered and now - b.ok_heard > self.boot["report_every"] + SECOND
            was, b.lost = b.lost, bool(b.misses > 1 and now - b.miss_since > 0.7 * SECOND and quiet
                                       and missing.total() * 2 < len(opened))
            if was != b.lost:
                self.log(f"{b.id} {('answers: its weight returns', 'silent: its weight fades')[b.lost]}")
            target = max(0.02, (1 - excess) * (0.02 if b.lost else 1.0))
            # Fades at once, returns over half a minute: what fails with work gets it back too soon over ten.
            b.health = min(target, b.health + (now - self.assessed) / (30 * SECOND))
            # The slowest growth the settings allow, and a third less: caches of a started process are empty.
            age = (now - b.started) / self.boot["warm_within"] if b.started else 1.0
            b.warmth = 1.0 if age >= 1 else 0.7 * (1 - (1 - self.boot["cold_from"]) * (1 - age))
            # Of several coordinators one, by its id, deals with a cold backend for all: a part each of
            # its cold room would be less than any slice asks for.
            b.share = 1.0 if age >= 1 else many if int.from_bytes(b.key, "big") % many == own else 0.01
            b.capacity = b.weight * b.health * b.warmth * b.share / b.slowness
            # As many failures as answers beyond what all show; twice as slow as its like; probes missed,
            # unless by most of its zone: that is the way there.
            b.doubtful = b.lost or not self.strained and (
                b.health < 0.5 or b.excess > 2 or b.misses > 1 and missing[b.zone] * 2 < usable[b.zone])

        self.assessed = now

    # ---- planning --------------------------------------------------------------------------------

    def rank(self, s: Slice, b: Backend, weight: float) -> float:
        """Weighted rendezvous: the highest wins, each backend in proportion to its weight."""
        digest = hashlib.blake2b(b.key, digest_size=8, salt=s.number.to_bytes(8, "big")).digest()
        return -weight / math.log((int.from_bytes(digest, "big") + 1) / (2 ** 64 + 2))

    def allowance(self, b: Backend) -> float:
        """What a cold backend may be brought: its part of what the warm have been seen to answer."""
        # Half of the multiple that fells it, on top of the third that warmth holds back: with empty caches
        # an RPC costs twice its work, and demand may jump.  A third while many tries fail and come again.
        part = 0.35 if self.troubled() else 0.5
        return self.yield_ * b.weight * b.warmth * b.share * self.boot.get("fall_multiple", 2.0) * part

    def may_take(self, b: Backend, load: float, mean: float) -> bool:
        return b.warmth >= 1 or (b.intake < 2 and b.load + load <= min(mean * b.capacity, self.allowance(b)))

    def opened(self) -> list[Backend]:
        return [b for b in self.backends.values() if b.state == "ready"]

    def troubled(self) -> bool:
        """Many tries fail, and come again: relief goes before caches and calm."""
        return self.failing > 0.05

    def mean_use(self, opened: list[Backend]) -> float:
        return sum(b.load for b in self.backends.values()) / (sum(b.capacity for b in opened) or 1.0)

    def place(self, part: Part) -> None:
        """A slice without a live owner: weighted rendezvous over the room that is left."""
        s, load, opened = part.slice, part.load, self.opened()
        choice = [b for b in opened if b not in s.owners()]
        mean = self.mean_use(opened)
        fit = [b for b in choice if not b.doubtful and self.may_take(b, load, mean)]
        warm = [b for b in choice if b.warmth >= 1]
        room = [(b, 1.25 * mean * b.capacity - b.load) for b in fit]
        room = [(b, r) for b, r in room if r >= load]
        # Room under the band, else what is fit, else what is warm; never a cold one past its cap: it waits.
        if choice := room or [(b, b.capacity) for b in fit or warm]:
            self.move(part, max(choice, key=lambda pair: (self.rank(s, *pair), pair[0].id))[0])
            if not room:                        # it was put where there is none: the next round may move it
                part.rests_until = self.now
        elif part.owner is not None and part.owner.state in ("draining", "gone"):
            part.go_to(None)

    def move(self, part: Part, to: Backend) -> None:
        load = part.load
        if part.owner is not None:
            part.owner.load -= load
        part.go_to(to)
        to.load += load
        to.intake += to.warmth < 1
        part.rests_until = self.now + 10 * SECOND       # half the design's rest: demand shifts in 12 to 24 s

    def evacuate(self) -> None:
        """Slices leave a draining or gone backend at once, outside the budget; so does what is too much for
        one that has just started (stored slices wake up with it)."""
        opened = self.opened()
        for b in self.backends.values():
            over = b.state in ("draining", "gone")
            if over and b.parts:
                self.log(f"{b.id} {b.state}: {len(b.parts)} slices leave")
            if over or b.warmth < 1 and any(o.warmth >= 1 and not o.lost for o in opened):
                for part in sorted(b.parts, key=lambda p: (-p.load, p.slice.number)):
                    if over or b.load > 1.5 * self.allowance(b):
                        self.place(part)
        for part in [part for s in self.slices.values() for part in s.parts]:
            if part.owner is None or len(part.slice.parts) > 1 and part.owner.doubtful:
                self.place(part)

    def plan(self) -> None:
        """The design's greedy planner: whole slices, busiest to least loaded, for positive gain only."""
        opened = sorted(self.opened(), key=lambda b: b.id)
        mean = self.mean_use(opened)
        if len(opened) < 2 or mean <= 0:
            return
        for b in opened:
            b.intake = 0
        self.split(opened, mean)
        # A new or returned backend that nobody is full enough to give to: membership triggers too (PAPER).
        uses = [b.use() / mean for b in opened]
        self.balancing |= max(uses) > 1.25 or min(uses) < 1 / 1.25
        # A thirtieth of the slices in charge (more did worse: each leaves a warm cache), and one for each new
        # backend still empty, shared by the coordinators.
        idle = sum(not b.parts and b.warmth < 1 for b in opened)
        for _ in range(max(2, len(self.slices) // 30 + idle // self.boot.get("coordinators", 1))):
            by_use = sorted(opened, key=Backend.use)
            # The busiest first; one with nothing that gains (all resting, or too hot) is passed over.
            best = next(filter(None, (self.best_move(b, by_use, mean) for b in reversed(by_use)
                                      if b.use() > 1.10 * mean)), None)
            self.balancing &= best is not None and (
                by_use[-1].use() > 1.10 * mean or by_use[0].use() < mean / 1.10)
            if not self.balancing:
                break
            self.move(*best)

    def split(self, opened: list[Backend], mean: float) -> None:
        """The exception for a slice that carries its fire along: one that outweighs four fifths of a whole
        backend's target is dealt out in parts for as long as it does, and taken together well below that."""
        # Ours is one of several targets there; what so many do apart from each other adds up by the root.
        target = mean * sum(b.capacity for b in opened) / len(opened)
        target *= self.boot.get("coordinators", 1) ** 0.5
        for s in self.slices.values():
            parts = len(s.parts)
            if s.load > 0.8 * target * parts and parts < min(4, len(opened)):
                s.parts.append(Part(s, None))
            elif parts > 1 and s.load < 0.48 * target * (parts - 1):
                last = max(s.parts, key=lambda p: p.owner.use() if p.owner else math.inf)
                last.go_to(None)
                s.parts.remove(last)
            else:
                continue
            self.log(f"slice {s.number} in {len(s.parts)} parts: asks for {s.load / target:.1f} backends")
            for part in s.parts:
                if part.owner is None:
                    self.place(part)
        for b in opened:
            b.load = sum(p.load for p in b.parts)

    def best_move(self, source: Backend, by_use: list[Backend], mean: float) -> tuple[Part, Backend] | None:
        # Each move empties a cache: the two have to lie apart by a quarter of what a backend gets from all
        # coordinators, beyond the move itself.  Any gain will do while many tries fail.
        apart = 0.0 if self.troubled() else 0.25 * self.boot.get("coordinators", 1) * mean * source.weight
        best, most = None, 0.0
        for part in sorted(source.parts, key=lambda p: p.slice.number):
            load, others = part.load, part.slice.owners()
            to = next((b for b in by_use if b not in others and not b.doubtful
                       and self.may_take(b, load, mean) and b.load + load <= 1.25 * mean * b.capacity), None)
            if to is None or part.rests_until > self.now:
                continue
            over, under = source.load - mean * source.capacity, to.load - mean * to.capacity
            gain = over ** 2 + under ** 2 - (over - load) ** 2 - (under + load) ** 2
            if gain > max(most, 2 * load * apart):
                best, most = (part, to), gain
        return best

    def decide(self) -> None:
        """What should be out: the owners of every slice."""
        for s in self.slices.values():
            if not s.parts:                     # small lines, of whatever make, are taken out
                most = max(s.stored.values(), default=0.0)
                s.parts = [Part(s, b) for b, w in s.stored.items() if 2 * w >= most] or [Part(s, None)]
        self.assess()
        self.evacuate()
        # Rounds by the clock, coordinators in turn: two that see the same would move the same way.
        turn = (self.now + self.ROUND * self.boot.get("own_number", 0)
                // self.boot.get("coordinators", 1)) // self.ROUND
        if turn != self.turn and self.now >= self.plan_from:
            self.turn = turn
            self.plan()

    def beat(self) -> None:
        self.next_beat, self.beats = self.now + self.BEAT, self.beats + 1
        # Only silence needs probes: the sums say nothing of a backend that answers nothing.
        every = 4 * self.boot.get("coordinators", 1)    # two seconds; as many probes for several as for one
        self.probing = [b for i, b in enumerate(self.backends.values()) if self.boot.get("may_probe")
                        and b.state == "ready" and not b.probe_out
                        and (b.misses or (self.beats + i) % every == 0)]
        # Machines are replaced under new ids: of those gone, with no line and not shut out, 256 are kept.
        used = self.withdrawn.union(self.returned, *(s.stored for s in self.slices.values()))
        gone = [b for b in self.backends.values() if b.state == "gone" and not b.parts and b not in used]
        for b in sorted(gone, key=lambda b: b.told)[:-256]:
            del self.backends[b.id]

    # ---- wanted against present ------------------------------------------------------------------

    @staticmethod
    def wanted(s: Slice) -> dict[Backend, float]:
        return dict.fromkeys(s.owners(), 1.0)

    @staticmethod
    def pressed(s: Slice) -> int | None:
        """Since when there is no line, or one at a backend that drains or is gone, however small, or one too
        many at a cold one.  By what is out: a planned move that waits its turn must not hide a drain."""
        return min((max(b.told, s.since) for b in s.stored if b.state in ("draining", "gone")
                    or b.warmth < 1 and b not in s.owners()), default=None if s.stored else s.since)

    def emit(self) -> None:
        """What should be out, held or timed against what is: the difference, its urgent part first."""
        if self.timer != self.next_beat:
            self.timer = self.next_beat
            self.orders.append(face.SetTimer(self.timer, "beat"))
        if self.asking:
            self.orders.append(face.Subscribe(True))
        for b in self.probing:
            b.probe_out = self.now
            self.orders.append(face.Probe(b.id))
        self.asking, self.probing = False, []
        must, ailing, ordinary, trim = [], [], [], []
        for s in self.slices.values():
            if self.wanted(s) != s.stored:
                # One that fails fast has least in hand and draws the tries of proxies that compare.
                ails = any(b.doubtful for b in s.stored if b not in s.owners())
                (must if self.pressed(s) is not None else ailing if ails else ordinary).append(s)
            if self.wanted_level(s) != s.level:
                trim.append(s)
        must.sort(key=self.pressed)
        self.held = bool(must)
        # A level of 1 lets all in as a share; where levels are rates it would not, and none is set.
        fresh = self.boot.get("admission") != "rate" and any(p not in self.levels_sent for p in self.proxies)
        # A third of the ordinary changes each second beat, six at least (a tenth left 50 waiting),
        # those at the busiest first; messages are few, so one that goes anyway takes them along.
        ordinary.sort(key=lambda s: -max(b.use() for b in s.stored))
        due = self.beats % 2 == 0 or ailing
        many = len(ordinary) if self.troubled() else max(6, len(ordinary) // 3)
        turn, trim = (ordinary[:many], trim) if due else ([], [])
        back = [b for b in self.backends.values() if b in self.withdrawn and b.state == "ready"]
        if must or back:
            self.push(must + ailing, [], fresh, True, back)
        elif ailing or turn or fresh or trim:
            self.push(ailing + turn, trim, fresh, False, [])

    def delta(self, s: Slice) -> list[face.SetLine]:
        want = self.wanted(s)
        return ([face.SetLine(s.number, b.id, w) for b, w in want.items() if s.stored.get(b) != w]
                + [face.SetLine(s.number, b.id, 0.0) for b in s.stored if b not in want])

    def push(self, changed: list[Slice], trimmed: list[Slice], levels: bool, urgent: bool,
             back: list[Backend]) -> None:
        deltas = [self.delta(s) for s in changed]
        need = sum(map(len, deltas)) + len(trimmed) + len(back)
        room = self.room(urgent, need) - len(back)
        if room <= 0:
            return
        self.orders += [face.Withdraw(b.id, False) for b in back]
        self.withdrawn.difference_update(back)
        self.returned.update(back)
        if levels:
            self.orders.append(face.SetLevel(face.ALL_TABLES, (), 1.0, 1))  # further tries after proof only
            self.levels_sent = set(self.proxies)
        # Where lines at a drain can't be out within its grace, its backend is shut out, one line each.  What
        # is left there has no line until its turn, a second or two; what fits now goes now.
        over = (self.now + (self.backlog + need * len(self.proxies)) / self.pace()
                + self.boot.get("transit_most", 0) - self.boot.get("drain_grace", SECOND))
        shut = {b: None for s in changed for b in s.stored if b.state in ("draining", "gone")
                and b not in self.withdrawn and over > max(b.told, s.since)}
        lines, left = 0, set()
        for s, delta in zip(changed, deltas):
            if lines + len(delta) <= room - len(shut):
                self.orders += delta
                lines += len(delta)
                s.stored = self.wanted(s)
            else:
                left.update(s.stored)
        shut = [b for b in shut if b in left][:room - lines]
        self.orders += [face.Withdraw(b.id, True) for b in shut]
        self.withdrawn.update(shut)
        lines += len(shut)
        for s in trimmed[:room - lines]:
            s.level = self.wanted_level(s)
            self.orders.append(face.SetLevel(s.number, (), s.level, 1))
            lines += 1
        lines += len(back) + self.boot.get("envelope", 0) + 2      # the mark's, and that of the level for all
        self.backlog += len(self.proxies) * lines
        self.sent.append(self.now)
        self.mark = (self.mark + 1) % 65536
        self.unacked[self.mark] = lines, set(self.proxies)
        self.orders.append(face.Mark(self.mark, False))

    def pace(self) -> float:
        return self.boot.get("lines_per_s", 10000) / 2 / SECOND

    def room(self, urgent: bool, need: int) -> int:
        """How many lines a message to every proxy may hold now, with a reserve for what can't wait.  What
        does not fit goes in pieces, each at least half of what an empty channel takes."""
        self.unacked = {mark: sent for mark, sent in self.unacked.items() if sent[1]}
        # A channel may run at a fifth of its pace: what counts is answered marks, else an eighth of it.
        left = self.backlog - (self.now - self.backlog_at) * self.pace() / 4
        self.backlog = max(0.0, min(left, sum(n * len(proxies) for n, proxies in self.unacked.values())))
        self.backlog_at = self.now
        most, over = self.boot.get("messages_most", 0), self.boot.get("counted_over", 10 * SECOND)
        while self.sent and self.sent[0] <= self.now - 1.1 * over:
            self.sent.popleft()
        # Half of the messages for what is not urgent, evenly spaced, three quarters while many tries fail, as
        # what waits then is relief; the others too once these are used.
        half, used = (most * 3 // 4 if self.troubled() else most // 2), len(self.sent)
        if most and used and (used >= (most if urgent else half) or (used >= half or not urgent)
                              and self.now - self.sent[-1] < over / (most if urgent else half)):
            return 0
        # Half for what is not urgent, or where proxies are too many for that, eight lines to each.
        each, head = len(self.proxies) or 1, self.boot.get("envelope", 0) + 2
        share = self.boot.get("queue_cap", 10 ** 6) * 0.8
        part = 0.8 if self.troubled() else 0.5
        share = share if urgent else min(share, max(share * part, each * (head + 8)))
        free = (share - self.backlog) / each - head
        return int(free) if free >= min(need, (share / each - head) / 2) else 0
