"""Members with seats, servers with clocks of their own and a sound log, in a simulated true time, by seed.

True time is what nobody in it can read.  Clocks drift by up to DRIFT; words, RPCs and answers come late, not at
all or twice; members are stopped, cut, killed and begun anew, servers restarted, the contract changed.  The
world's own meter counts the jobs that truly run."""
from heapq import heappop, heappush

import msgspec

from indigohitch.fleet.book import Book
from indigohitch.fleet.seats.contract import Contract, Pass, Terms
from indigohitch.fleet.seats.desk import Ticket
from indigohitch.fleet.seats.nodeclock import Meter, Nodes, Verdict
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.work import SeatsWork
from indigohitch.fleet.terms import Entry, Lease, Stamp
from indigohitch.packed.rows import Row

SECOND = 10_000
SPAN, DRIFT = 2 * SECOND, 0.05          # far more than any quartz: what leans on it shows soon
BOOT = {"drift": 2 * DRIFT, "hold": SECOND, "come_back": 2000}


class Gone(Row):
    name: str
    incarnation: int


class Members:
    name, kinds = "members", {"gone": Gone}

    def apply(self, at, word, body):
        self.book.parts["seats"].member_gone(at, body.name, body.incarnation)

    def row(self):
        return 0

    def restore(self, row):
        pass


class Clocked:
    def __init__(self, world):
        self.rate = 1 + world.rng.uniform(-DRIFT, DRIFT)
        self.base = world.rng.randrange(SECOND * 100)

    def clock(self, t):
        return self.base + int(t * self.rate)


class Server(Clocked):
    def __init__(self, world, name):
        super().__init__(world)
        self.world, self.name, self.boots = world, name, 0
        self.restart()

    def restart(self):
        self.boots += 1
        self.meter, self.running = Meter(f"{self.name}.{self.boots}"), {}

    def take(self, shown, lasts, answer):
        """An RPC has come; `answer(reading)` goes back once its job is over."""
        world, meter = self.world, self.meter
        self.sweep(meter)
        verdict, job = meter.takes(self.clock(world.t), shown)
        if verdict is not Verdict.TAKEN:
            world.counts[verdict.value] += 1
            if verdict is Verdict.LATE:         # else a copy of it may run
                answer((meter.boot, self.clock(world.t)))
            return
        self.running[job] = shown.given
        world.measure(shown.given.feature)

        def over():
            if self.meter is meter and meter.ended(job):
                del self.running[job]
                answer((meter.boot, self.clock(world.t)))
        world.after(lasts, over)
        world.after(int((shown.until - self.clock(world.t)) / self.rate) + 1, lambda: self.sweep(meter))

    def sweep(self, meter):
        if self.meter is meter:
            for job in meter.overdue(self.clock(self.world.t)):
                del self.running[job]
                self.world.counts["ended_at_end"] += 1


class Member(Clocked):
    def __init__(self, world, name, incarnation):
        super().__init__(world)
        self.world, self.name, self.incarnation = world, name, incarnation
        self.alive, self.stopped, self.cut, self.shut = True, False, False, False
        self.until = self.at = self.number = self.acts = 0
        self.out, self.book = {}, Book([Seats(), Members()])
        self.nodes = Nodes(BOOT)
        self.work = SeatsWork(name, self.book.parts["seats"], self, self.fleet, world.contract, BOOT)

    def fleet(self, now):
        return self.book.parts["seats"].edition and 10 ** 9 + self.world.t      # as agreed on, here without error

    def stamp(self, now, kind, about):
        if now >= self.until or self.shut:
            return None
        self.acts += 1
        return Stamp(self.name, self.incarnation, 1, self.book.index, self.acts)

    @property
    def acting(self):
        return self.alive and not self.stopped

    def beat(self):
        world = self.world
        if not self.alive:
            return
        if self.acting:
            now = self.clock(world.t)
            if not self.cut:
                sent, report = now, self.work.report(now)
                world.after(world.delay(), lambda: world.renew(self, sent, report))
            held = not self.shut and now < self.until
            self.propose(self.work.turn(now, Lease(self.incarnation, self.until) if held else None))
        world.after(SPAN // 8, self.beat)

    def renewed(self, sent):
        if self.acting and not self.cut:
            self.until = max(self.until, sent + int(SPAN * (1 - DRIFT)))

    def propose(self, wanted):
        for one in wanted:
            self.number += 1
            self.out[self.number] = one.tag
            entry = Entry(0, 1, one.kind, msgspec.msgpack.encode(one.body), self.name, self.incarnation, self.number)
            self.world.send(self, entry)

    def hear(self):
        """The log goes on as far as it has come here."""
        world = self.world
        while self.acting and not self.cut and self.at < len(world.log):
            entry = world.log[self.at]
            self.at += 1
            outcome, now = self.book.apply(entry), self.clock(world.t)
            if entry.kind == "members.gone" and msgspec.msgpack.decode(entry.body) == [self.name,
                                                                                       self.incarnation]:
                self.shut, self.alive = True, False
                world.after(world.delay(), lambda: world.start(self.name))
                return
            self.propose(self.work.applied(now, entry, outcome))
            if (entry.proposer, entry.incarnation) == (self.name, self.incarnation) and entry.number in self.out:
                self.propose(self.work.answered(now, self.out.pop(entry.number), outcome))

    def rpc(self, tenant, user):
        """A client's RPC: given up at once without a seat."""
        world = self.world
        if not self.acting:
            return
        now, feature = self.clock(world.t), world.rng.choice(world.features)
        server = world.rng.choice(world.servers)
        kind = next((t.kind for t in world.contract.terms if t.feature == feature), "job")
        found = self.work.desk.ask(now, feature, tenant, {"node": server.name}.get(kind, user), 3 * SECOND)
        world.counts["asked"] += 1
        if not isinstance(found, Ticket):
            return
        boot, end = self.nodes.end(server.name, found.until)
        shown = Pass(found.given, boot, end, found.stamp)
        world.counts["given"] += 1

        def answered(reading):
            def back():
                if self.acting:
                    self.nodes.heard(server.name, *reading, self.clock(world.t))
                    self.work.desk.ended(self.clock(world.t), found)
            if world.rng.random() < 0.9:
                world.after(world.delay(), back)
        lasts = int(world.rng.expovariate(1 / SECOND))
        for _ in range(2 if world.rng.random() < 0.05 else 1):      # some come twice
            world.after(world.delay(), lambda: server.take(shown, lasts, answered))


class World:
    def __init__(self, rng, names, terms, servers=2):
        self.rng, self.t, self.heap, self.order = rng, 0, [], 0
        self.counts = dict.fromkeys(("asked", "given", "late", "old", "twice", "ended_at_end", "peak"), 0)
        self.features, self.log, self.began = [t.feature for t in terms], [], {}
        self.true = Book([Seats(), Members()])      # what is committed, at once
        self.giver, self.reports = {}, {}           # by member: incarnation, true time; last report
        self.contract = Contract(1, tuple(terms))
        self.servers = [Server(self, f"s{n}") for n in range(servers)]
        self.quiet, self.members = False, {}
        for name in names:
            self.start(name)
        self.after(SPAN, self.lead)

    def after(self, span, action):
        self.order += 1
        heappush(self.heap, (self.t + span, self.order, action))

    def delay(self):
        return self.rng.choice((3, 10, 10, 50, 200)) if self.rng.random() < 0.95 else self.rng.randint(0, 2 * SPAN)

    def start(self, name):
        self.began[name] = self.began.get(name, 0) + 1
        self.members[name] = member = Member(self, name, self.began[name])
        self.giver[name, member.incarnation] = self.t + int(SPAN * (1 + DRIFT) / (1 - DRIFT))
        member.beat()
        member.hear()

    def renew(self, member, sent, report):
        """The giver counts from after answering, by a clock that may be fast."""
        key = member.name, member.incarnation
        if member.cut or self.giver.get(key, 0) <= self.t:
            return
        self.giver[key] = max(self.giver[key], self.t + int(SPAN * (1 + DRIFT) / (1 - DRIFT)))
        self.reports[key] = report
        self.after(self.delay(), lambda: member.renewed(sent))

    def send(self, member, entry):
        def come():
            if member.cut and not self.rng.random() < 0.1:
                self.after(SECOND, come)            # until it is known: the node sends it again
            else:
                self.append(entry)
        self.after(self.delay(), come)

    def append(self, entry):
        entry = msgspec.structs.replace(entry, index=len(self.log) + 1)
        self.log.append(entry)
        self.true.apply(entry)
        for member in list(self.members.values()):
            self.after(self.delay(), member.hear)

    def lead(self):
        heard = [m for m in self.members.values() if m.acting and not m.cut]
        if heard:
            reports = {name: raw for (name, inc), raw in self.reports.items()
                       if self.giver.get((name, inc), 0) > self.t}
            lead = self.rng.choice(heard[:2])
            lead.propose(lead.work.lead(lead.clock(self.t), reports))
        for (name, incarnation), until in list(self.giver.items()):
            if until <= self.t:
                del self.giver[name, incarnation]
                self.reports.pop((name, incarnation), None)
                self.append(Entry(0, 1, "members.gone", msgspec.msgpack.encode(Gone(name, incarnation)),
                                  "ledger", 1, len(self.log) + 1))
        self.after(SECOND // 10, self.lead)

    def change(self, *terms):
        self.contract = Contract(self.contract.edition + 1, tuple(terms))
        for member in self.members.values():
            member.work.contract = self.contract

    # ---- the truth

    def running(self, feature):
        return [given for s in self.servers for given in s.running.values() if given.feature == feature]

    def measure(self, feature):
        """Called as a job begins: nothing else makes more."""
        jobs, found = self.running(feature), self.true.parts["seats"].features[feature]
        seats = {(g.number, g.counter, g.use) if g.shared else (n, "job") for n, g in enumerate(jobs)}
        numbers = {g.number for g in jobs}
        self.counts["peak"] = max(self.counts["peak"], len(seats))
        assert len(seats) == len(numbers), f"a seat twice at {self.t}: {jobs}"
        assert len(seats) <= max(found.terms.seats, found.held()), f"{len(seats)} of {found.terms.seats}"

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.t, _, action = heappop(self.heap)
            action()
        self.t = until


def schedule(rng, terms, seconds=60, members=4, after=None):
    """One seeded schedule, then quiet.  Raises AssertionError where a promise broke."""
    world = World(rng, [f"m{n}" for n in range(members)], terms)
    rates = [rng.choice((50, 300, 2000)) for _ in range(members)]

    def ask(n):
        if not world.quiet:
            world.members[f"m{n}"].rpc(rng.choice(("ta", "ta", "tb", "")), f"u{rng.randrange(4)}")
            world.after(int(rng.expovariate(1 / rates[n])) + 1, lambda: ask(n))

    def harm():
        if world.quiet:
            return
        member, kind = rng.choice(list(world.members.values())), rng.random()
        if kind < 0.25:
            member.cut = True
            world.after(rng.randint(0, 3 * SPAN), lambda: (setattr(member, "cut", False), member.hear()))
        elif kind < 0.5:
            member.stopped = True
            world.after(rng.randint(0, 3 * SPAN), lambda: (setattr(member, "stopped", False), member.hear()))
        elif kind < 0.65 and member.alive:
            member.alive = False
            world.after(rng.randint(0, 2 * SPAN), lambda: world.start(member.name))
        elif kind < 0.8:
            rng.choice(world.servers).restart()
        elif kind < 0.9:
            world.change(*(msgspec.structs.replace(t, seats=max(1, t.seats * rng.randint(1, 5) // 3),
                                                   keep=()) for t in terms))
        world.after(int(rng.expovariate(1 / (2 * SECOND))), harm)
    for n in range(members):
        ask(n)
    world.after(SPAN, harm)
    world.run(seconds * SECOND)
    world.quiet = True
    world.run(world.t + 12 * SPAN)
    leaked(world)
    return world


def leaked(world):
    """After quiet: nothing runs, nothing is given, every seat is free or with a member that lives."""
    living = {(m.name, m.incarnation) for m in world.members.values()}
    for feature, found in world.true.parts["seats"].features.items():
        assert not world.running(feature)
        held = [n for s in found.shares.values() for n in s.seats]
        assert sorted(held + found.free) == list(range(len(found.counters)))
        assert {(s.name, s.incarnation) for s in found.shares.values()} <= living, "with one that is gone"
        assert not found.over() and not any(s.debt for s in found.shares.values()), "never returned"
        assert found.terms.seats - found.held() == sum(found.room(p) for p in found.terms.pools())
    for member in world.members.values():
        assert not any(hold.bound or hold.returning for hold in member.work.desk.holds.values()), "given for good"
        assert member.book.digest() == world.true.digest()


__all__ = ["Terms", "World", "schedule"]
