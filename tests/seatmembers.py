"""Members with seats, servers with clocks of their own and a sound log, in a simulated true time, by seed.

True time is what nobody in it can read.  Clocks drift by up to DRIFT; words, RPCs and answers come late,
twice or not at all; members are stopped, cut, killed and begun anew, servers restarted, the contract
changed.  The world's own meter counts the jobs that truly run."""

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.fleet.seats.allocator import Allocation, SeatSettings
from indigohitch.fleet.seats.contract import Pass
from indigohitch.fleet.seats.nodeclock import Meter, Nodes, Verdict
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.work import SeatsWork
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, LogEntry, Stamp

SECOND = 10_000
SPAN, DRIFT = 2 * SECOND, 0.05  # far more than any quartz: what leans on it shows soon
EPOCH = 10**9  # fleet time as it all begins
SETTINGS = SeatSettings(place_kept=SECOND, come_back=2000, drift=2 * DRIFT)


class Gone(Row):
    name: str
    incarnation: int


class Members:
    """Stands for the part `members`: only what the seats hear of it."""

    name, kinds = "members", {"gone": Gone}

    def apply(self, at, word, body):
        self.state_machine.parts["seats"].on_member_lease_expired(at, body.name, body.incarnation)

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
        self.base = self.world.rng.randrange(SECOND * 100)  # a boot's clock begins anew
        self.meter, self.running = Meter(f"{self.name}.{self.boots}"), {}

    def take(self, shown, lasts, answer):
        """An RPC has come; `answer(reading)` goes back once its job is over."""
        world, meter = self.world, self.meter
        self.sweep(meter)
        verdict, job = meter.takes(self.clock(world.t), shown)
        if verdict is not Verdict.TAKEN:
            world.counts[verdict.value] += 1
            if verdict.unrun:  # else a copy of it may run
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
        self.out, self.state_machine = {}, ReplicatedStateMachine([Seats(), Members()])
        self.nodes = Nodes(SETTINGS.drift)
        self.work = SeatsWork(
            name,
            self.state_machine.parts["seats"],
            self,
            self.fleet,
            lambda: world.contract,
            name != "m0",
            SETTINGS,
        )

    def fleet(self, now):
        return self.state_machine.parts["seats"].edition and EPOCH + self.world.t  # here without error

    def stamp(self, now, kind, about):
        if now >= self.until or self.shut:
            return None
        self.acts += 1
        return Stamp(self.name, self.incarnation, 1, self.state_machine.index, self.acts)

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
            entry = LogEntry(
                0, 1, one.kind, msgspec.msgpack.encode(one.body), self.name, self.incarnation, self.number
            )
            self.world.send(self, entry)
            if self.world.rng.random() < 0.05:  # given up here, though it may still come to something
                self.world.after(self.world.delay(), lambda number=self.number: self.unknown(number))

    def unknown(self, number):
        if number in self.out and self.alive:
            self.propose(self.work.answered(self.clock(self.world.t), self.out.pop(number), None))

    def hear(self):
        """The log goes on as far as it has come here."""
        world = self.world
        while self.acting and not self.cut and self.at < len(world.log):
            entry = world.log[self.at]
            self.at += 1
            outcome, now = self.state_machine.apply(entry), self.clock(world.t)
            if entry.kind == "members.gone" and msgspec.msgpack.decode(entry.body) == [
                self.name,
                self.incarnation,
            ]:
                self.shut, self.alive = True, False
                world.after(world.delay(), lambda: world.start(self.name))
                return
            self.propose(self.work.applied(now, entry, outcome))
            own = (entry.proposer, entry.incarnation) == (self.name, self.incarnation)
            if own and entry.number in self.out:
                self.propose(self.work.answered(now, self.out.pop(entry.number), outcome))

    def rpc(self, tenant, user):
        """A client's RPC: given up at once without a seat."""
        world = self.world
        if not self.acting:
            return
        now, feature = self.clock(world.t), world.rng.choice(world.features)
        server = world.rng.choice(world.servers)
        kind = next((t.kind for t in world.contract.terms if t.feature == feature), "job")
        found = self.work.allocator.allocate(
            now, feature, tenant, {"node": server.name}.get(kind, user), 3 * SECOND
        )
        world.counts["asked"] += 1
        if not isinstance(found, Allocation):
            return
        boot, end = self.nodes.end(server.name, found.until)
        shown = Pass(found.given, boot, end, found.stamp)
        world.counts["given"] += 1

        def answered(reading):
            def back():
                if self.acting:
                    self.nodes.heard(server.name, *reading, self.clock(world.t))
                    self.work.allocator.release(self.clock(world.t), found)

            if world.rng.random() < 0.9:
                world.after(world.delay(), back)

        lasts = int(world.rng.expovariate(3 / SECOND))
        for _ in range(2 if world.rng.random() < 0.05 else 1):  # some come twice
            world.after(world.delay(), lambda: server.take(shown, lasts, answered))
