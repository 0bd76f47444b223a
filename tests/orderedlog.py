"""A simulated ordered log for tests of works: its members have drifting clocks, delays, cuts and kills.

The log itself has no faults here (tests/test_ledger_* cover it); what members do with it is tested.
"""

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.fleet.interfaces import LeaseExpiredListener
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, LogEntry

SECOND, BEAT, SPAN = 10_000, 1_000, 20_000  # a beat of 100 ms, leases of 2 s
DRIFT = 0.001


class Gone(Row):
    """The lease of that incarnation has expired."""

    member: str
    incarnation: int


class Members:
    """Replaces the part `members`: it only notifies the other parts of expired leases."""

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
    """A process with a state machine, works, and a clock that differs from the true time `world.t`."""

    def __init__(self, world, name, incarnation):
        self.world, self.name, self.incarnation = world, name, incarnation
        self.rate = 1 + world.rng.uniform(-DRIFT, DRIFT) / 2
        self.base = world.rng.randrange(10**9)
        self.wall_off = world.rng.randint(-200, 200)
        self.cut = self.alive = self.stopped = False
        self.alive = True
        self.at = 0  # entries applied here
        self.delay = 0  # between the append of an entry and its arrival here
        self.until = 0  # when its lease expires, by its own clock
        self.giver = world.t + SPAN  # when its lease certainly has expired, in true time
        self.numbers, self.waiting, self.gone = 0, {}, False
        self.reported = {}
        self.state_machine = ReplicatedStateMachine(world.parts())
        self.works = world.works(self)

    def now(self):
        return self.base + int(self.world.t * self.rate)

    def wall(self):
        return 10**13 + self.world.t + self.wall_off

    def ask(self, work, requests):
        """Sends the proposals that a work requests."""
        for request in requests:
            self.numbers += 1
            self.waiting[self.numbers] = (work, request.tag)
            self.world.send(self, self.numbers, request)

    def hear(self):
        """Applies the entries that have arrived, and notifies the works."""
        log = self.world.log
        while self.at < len(log) and log[self.at][0] + self.delay <= self.world.t:
            entry = log[self.at][1]
            self.at += 1
            outcome = self.state_machine.apply(entry)
            for work in self.works:
                self.ask(work, work.applied(self.now(), entry, outcome))
            if (entry.proposer, entry.incarnation) == (self.name, self.incarnation):
                if (waiting := self.waiting.pop(entry.number, None)) is not None:
                    self.ask(waiting[0], waiting[0].answered(self.now(), waiting[1], outcome))

    def join(self):
        """Comes back under a new incarnation, after its lease has expired."""
        self.world.began[self.name] = self.incarnation = self.world.began[self.name] + 1
        self.numbers, self.waiting, self.gone = 0, {}, False

    def turn(self):
        if not self.cut:
            if self.gone:
                self.join()
            self.delay = self.world.rng.choice((0, 0, 0, 500, 3000))
            self.hear()
            # Renews its lease: `until` counts from before the request, `giver` from after the answer.
            if self.world.leader() is not None:
                self.until = self.now() + int(SPAN * (1 - DRIFT))
                self.giver = self.world.t + int(SPAN * (1 + DRIFT)) + BEAT
                self.reported = {work.name: work.report(self.now()) for work in self.works}
        lease = Lease(self.incarnation, self.until) if self.until > self.now() else None
        for work in self.works:
            self.ask(work, work.turn(self.now(), lease))


class World:
    """The log, the members and the true time; `way` holds proposals in flight."""

    def __init__(self, rng, names, parts, works):
        self.rng, self.parts, self.works, self.t = rng, lambda: [*parts(), Members()], works, 0
        self.log, self.way, self.began = [], [], {}
        self.ended = {}
        self.members = {}
        self.past = []  # processes that ended and still have a lease
        for name in names:
            self.start(name)

    def start(self, name):
        self.began[name] = self.began.get(name, 0) + 1
        if name in self.members and not self.members[name].gone:
            self.past.append(self.members[name])
        self.members[name] = Member(self, name, self.began[name])

    def leader(self):
        """Returns the first reachable member if a majority is reachable, else None."""
        reachable = [m for m in self.members.values() if m.alive and not m.cut and not m.stopped]
        return reachable[0] if 2 * len(reachable) > len(self.members) else None

    def send(self, member, number, request):
        entry = LogEntry(
            0, 1, request.kind, msgspec.msgpack.encode(request.body), member.name, member.incarnation, number
        )
        self.way.append([self.t + self.rng.choice((0, 300, 2000, 9000)), member, entry])

    def append(self, entry):
        """Appends an entry to the log under the next index."""
        self.log.append((self.t, msgspec.structs.replace(entry, index=len(self.log) + 1)))

    def step(self):
        """Advances the true time by one beat of 100 ms."""
        self.t += BEAT
        leader = self.leader()
        for proposal in list(self.way):  # proposals of a member that is cut off arrive late or never
            if (
                proposal[0] <= self.t
                and leader is not None
                and (not proposal[1].cut or self.rng.random() < 0.2)
            ):
                self.way.remove(proposal)
                self.append(proposal[2])
                if self.rng.random() < 0.05:
                    self.append(proposal[2])  # a duplicate, which must not take effect again
        for member in list(self.members.values()):
            if member.alive and not member.stopped:
                member.turn()
        if leader is not None:
            self.lead(leader)
        for member in [*self.members.values(), *self.past]:  # evicted once the lease certainly has expired
            if leader is not None and not member.gone and member.giver < self.t:
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

    def lead(self, leader):
        """Runs the works at the leader with the reports of all members that have a lease."""
        for work in leader.works:
            reports = {
                m.name: m.reported[work.name]
                for m in self.members.values()
                if m.giver > self.t and work.name in m.reported
            }
            leader.ask(work, work.lead(leader.now(), reports))
