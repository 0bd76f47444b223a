"""A simulated ordered log for tests of works: members with states, clocks that drift, delays, cuts, kills.

The log itself is sound here (tests/test_ledger_* are about it); what members do with it is what is tried."""

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.fleet.interfaces import LeaseExpiredListener
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, LogEntry

SECOND, BEAT, SPAN = 10_000, 1_000, 20_000  # a beat of 100 ms, leases of 2 s
DRIFT = 0.001


class Gone(Row):
    member: str
    incarnation: int


class Members:
    """Stands for the part `members`: only what other parts hear of it."""

    name, kinds = "members", {"gone": Gone}

    def apply(self, at, word, body):
        for part in self.state_machine.parts.values():
            if isinstance(part, LeaseExpiredListener):
                part.on_member_lease_expired(at, body.member, body.incarnation)

    def row(self):
        return 0

    def restore(self, row):
        pass


class Member:
    def __init__(self, world, name, incarnation):
        self.world, self.name, self.incarnation = world, name, incarnation
        self.rate = 1 + world.rng.uniform(-DRIFT, DRIFT) / 2
        self.base = world.rng.randrange(10**9)
        self.wall_off = world.rng.randint(-200, 200)
        self.cut = self.alive = self.stopped = False
        self.alive = True
        self.at, self.delay = 0, 0  # entries applied here; hears each so late
        self.until, self.giver = 0, world.t + SPAN  # of its lease: by its own clock, by the true
        self.numbers, self.waiting, self.gone = 0, {}, False
        self.reported = {}
        self.state_machine = ReplicatedStateMachine(world.parts())
        self.works = world.works(self)

    def now(self):
        return self.base + int(self.world.t * self.rate)

    def wall(self):
        return 10**13 + self.world.t + self.wall_off

    def ask(self, work, wanted):
        for one in wanted:
            self.numbers += 1
            self.waiting[self.numbers] = (work, one.tag)
            self.world.send(self, self.numbers, one)

    def hear(self):
        log = self.world.log
        while self.at < len(log) and log[self.at][0] + self.delay <= self.world.t:
            entry = log[self.at][1]
            self.at += 1
            outcome = self.state_machine.apply(entry)
            for work in self.works:
                self.ask(work, work.applied(self.now(), entry, outcome))
            if (entry.proposer, entry.incarnation) == (self.name, self.incarnation):
                if (waits := self.waiting.pop(entry.number, None)) is not None:
                    self.ask(waits[0], waits[0].answered(self.now(), waits[1], outcome))

    def join(self):
        """What was given up comes back as another one."""
        self.world.began[self.name] = self.incarnation = self.world.began[self.name] + 1
        self.numbers, self.waiting, self.gone = 0, {}, False

    def turn(self):
        if not self.cut:
            if self.gone:
                self.join()
            self.delay = self.world.rng.choice((0, 0, 0, 500, 3000))
            self.hear()
            if self.world.leader() is not None:  # renews: it counts from before, the giver from after
                self.until = self.now() + int(SPAN * (1 - DRIFT))
                self.giver = self.world.t + int(SPAN * (1 + DRIFT)) + BEAT
                self.reported = {work.name: work.report(self.now()) for work in self.works}
        lease = Lease(self.incarnation, self.until) if self.until > self.now() else None
        for work in self.works:
            self.ask(work, work.turn(self.now(), lease))


class World:
    def __init__(self, rng, names, parts, works):
        self.rng, self.parts, self.works, self.t = rng, lambda: [*parts(), Members()], works, 0
        self.log, self.way, self.began = [], [], {}
        self.ended = {}
        self.members, self.past = {}, []  # of processes that ended and hold a lease still
        for name in names:
            self.start(name)

    def start(self, name):
        self.began[name] = self.began.get(name, 0) + 1
        if name in self.members and not self.members[name].gone:
            self.past.append(self.members[name])
        self.members[name] = Member(self, name, self.began[name])

    def leader(self):
        """The first that can be heard, where a majority can."""
        heard = [m for m in self.members.values() if m.alive and not m.cut and not m.stopped]
        return heard[0] if 2 * len(heard) > len(self.members) else None

    def send(self, member, number, wanted):
        entry = LogEntry(
            0, 1, wanted.kind, msgspec.msgpack.encode(wanted.body), member.name, member.incarnation, number
        )
        self.way.append([self.t + self.rng.choice((0, 300, 2000, 9000)), member, entry])

    def append(self, entry):
        self.log.append((self.t, msgspec.structs.replace(entry, index=len(self.log) + 1)))

    def step(self):
        self.t += BEAT
        lead = self.leader()
        for one in list(self.way):  # of a member that is cut: late, or never
            if one[0] <= self.t and lead is not None and (not one[1].cut or self.rng.random() < 0.2):
                self.way.remove(one)
                self.append(one[2])
                if self.rng.random() < 0.05:
                    self.append(one[2])  # doubled on its way: takes effect once
        for member in list(self.members.values()):
            if member.alive and not member.stopped:
                member.turn()
        if lead is not None:
            self.lead(lead)
        for member in [*self.members.values(), *self.past]:  # shut out once the lease has surely run out
            if lead is not None and not member.gone and member.giver < self.t:
                member.gone = True
                self.ended[member.name, member.incarnation] = self.t
                self.append(
                    LogEntry(
                        0,
                        1,
                        "members.gone",
                        msgspec.msgpack.encode(Gone(member.name, member.incarnation)),
                        "ledger",
                        1,
                        len(self.log) + 1,
                    )
                )

    def lead(self, lead):
        for work in lead.works:
            reports = {
                m.name: m.reported[work.name]
                for m in self.members.values()
                if m.giver > self.t and work.name in m.reported
            }
            lead.ask(work, work.lead(lead.now(), reports))
