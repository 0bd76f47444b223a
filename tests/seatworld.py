"""The fleet around the members of tests/seatmembers.py: a sound log, a giver of leases, the true meter."""

from heapq import heappop, heappush

import msgspec

from indigohitch.fleet.seats.contract import Contract
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import LogEntry
from seatmembers import DRIFT, EPOCH, SECOND, SPAN, Gone, Member, Members, Server


class World:
    def __init__(self, rng, names, terms, servers=4):
        self.rng, self.t, self.heap, self.order = rng, 0, [], 0
        self.counts = dict.fromkeys(
            ("asked", "given", "unread", "late", "old", "twice", "ended_at_end", "peak"), 0
        )
        self.features, self.log, self.began = [t.feature for t in terms], [], {}
        self.true = ReplicatedStateMachine([Seats(), Members()])  # what is committed, at once
        self.giver, self.reports = {}, {}  # by member: incarnation, true time; last report
        self.contract = Contract(1, tuple(terms))
        self.servers = [Server(self, f"s{n}") for n in range(servers)]
        self.quiet, self.members, self.told = False, {}, 0  # told: of the last contract
        for name in names:
            self.start(name)
        self.after(SPAN, self.lead)

    def after(self, span, action):
        self.order += 1
        heappush(self.heap, (self.t + max(0, span), self.order, action))

    def delay(self):
        late = self.rng.random() < 0.08
        return self.rng.randint(0, 2 * SPAN) if late else self.rng.choice((3, 10, 10, 50, 200))

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
                self.after(SECOND, come)  # until it is known: the node sends it again
            else:
                self.append(entry)

        self.after(self.delay(), come)

    def append(self, entry):
        entry = msgspec.structs.replace(entry, index=len(self.log) + 1)
        self.log.append(entry)
        self.true.apply(entry)
        if entry.kind == "seats.contract":
            self.told = self.t
        for member in list(self.members.values()):
            self.after(self.delay(), member.hear)

    def lead(self):
        heard = [m for m in self.members.values() if m.acting and not m.cut]
        if heard:
            reports = {
                name: raw
                for (name, inc), raw in self.reports.items()
                if self.giver.get((name, inc), 0) > self.t
            }
            lead = self.rng.choice(heard[:2])
            lead.propose(lead.work.lead(lead.clock(self.t), reports))
        for (name, incarnation), until in list(self.giver.items()):
            if until <= self.t:
                del self.giver[name, incarnation]
                self.reports.pop((name, incarnation), None)
                self.append(
                    LogEntry(
                        0,
                        1,
                        "members.gone",
                        msgspec.msgpack.encode(Gone(name, incarnation)),
                        "ledger",
                        1,
                        len(self.log) + 1,
                    )
                )
        self.after(SECOND // 10, self.lead)

    def change(self, *terms):
        self.contract = Contract(self.contract.edition + 1, tuple(terms))

    # ---- the truth

    def running(self, feature):
        return [given for s in self.servers for given in s.running.values() if given.feature == feature]

    def measure(self, feature):
        """Called as a job begins: nothing else makes more."""
        jobs, found = self.running(feature), self.true.parts["seats"].features[feature]
        seats = {(g.number, g.counter, g.use) if g.shared else (n, "job") for n, g in enumerate(jobs)}
        numbers = {g.number for g in jobs}
        self.counts["peak"] = max(self.counts["peak"], len(seats))
        # A date that is told on short notice is like a cut: in force once all have heard it.
        if found.terms.until and found.terms.until - EPOCH - self.told > 4 * SPAN:
            assert self.t + EPOCH < found.terms.until, "begun after the contract's end"
            self.after(found.terms.until - EPOCH - self.t, lambda: self.ended_all(found, feature))
        assert len(seats) == len(numbers), f"a seat twice at {self.t}: {jobs}"
        assert len(seats) <= max(found.terms.seats, found.held()), f"{len(seats)} of {found.terms.seats}"

    def ended_all(self, found, feature):
        if found.terms.until and self.t + EPOCH >= found.terms.until > self.told + EPOCH + 4 * SPAN:
            for server in self.servers:
                server.sweep(server.meter)
            assert not self.running(feature), "running after the contract's end"

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.t, _, action = heappop(self.heap)
            action()
        self.t = until
