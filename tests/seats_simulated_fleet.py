"""The simulated fleet around the members: a log, a grantor of leases, and checks of all running jobs."""

from heapq import heappop, heappush

import msgspec

from indigohitch.fleet.seats.contract import Contract
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import LogEntry
from seats_simulated_members import DRIFT, EPOCH, LEASE_TICKS, SECOND, Gone, Member, Members, Server


class SimulatedFleet:
    def __init__(self, rng, names, terms, server_count=4):
        self.rng = rng
        self.true_time = 0
        self.events = []  # a heap
        self.event_sequence = 0
        self.counts = dict.fromkeys(
            ("asked", "given", "unread", "late", "old", "twice", "ended_at_end", "peak"), 0
        )
        self.features = [term.feature for term in terms]
        self.log = []
        self.incarnations = {}  # by member
        self.committed = ReplicatedStateMachine([Seats(), Members()])  # applies each entry at once
        self.lease_ends = {}  # true time, by member and incarnation
        self.reports = {}  # last report, by member and incarnation
        self.contract = Contract(1, tuple(terms))
        self.servers = [Server(self, f"s{n}") for n in range(server_count)]
        self.quiet = False
        self.members = {}
        self.contract_committed_at = 0
        for name in names:
            self.start(name)
        self.after(LEASE_TICKS, self.lead)

    def after(self, delay, action):
        self.event_sequence += 1
        heappush(self.events, (self.true_time + max(0, delay), self.event_sequence, action))

    def delay(self):
        long_delay = self.rng.random() < 0.08
        return self.rng.randint(0, 2 * LEASE_TICKS) if long_delay else self.rng.choice((3, 10, 10, 50, 200))

    def start(self, name):
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        self.members[name] = member = Member(self, name, self.incarnations[name])
        self.lease_ends[name, member.incarnation] = self.true_time + int(
            LEASE_TICKS * (1 + DRIFT) / (1 - DRIFT)
        )
        member.beat()
        member.apply_log()

    def renew_lease(self, member, sent_at, report):
        """Renews a lease; the grantor counts it from after its reply, by a clock that may be fast."""
        key = member.name, member.incarnation
        if member.cut_off or self.lease_ends.get(key, 0) <= self.true_time:
            return
        self.lease_ends[key] = max(
            self.lease_ends[key], self.true_time + int(LEASE_TICKS * (1 + DRIFT) / (1 - DRIFT))
        )
        self.reports[key] = report
        self.after(self.delay(), lambda: member.on_lease_renewed(sent_at))

    def send_proposal(self, member, entry):
        def arrive():
            if member.cut_off and not self.rng.random() < 0.1:
                self.after(SECOND, arrive)  # the member resends a proposal until its outcome is known
            else:
                self.append(entry)

        self.after(self.delay(), arrive)

    def append(self, entry):
        entry = msgspec.structs.replace(entry, index=len(self.log) + 1)
        self.log.append(entry)
        self.committed.apply(entry)
        if entry.kind == "seats.contract":
            self.contract_committed_at = self.true_time
        for member in list(self.members.values()):
            self.after(self.delay(), member.apply_log)

    def lead(self):
        reachable = [member for member in self.members.values() if member.acting and not member.cut_off]
        if reachable:
            reports = {
                name: report
                for (name, incarnation), report in self.reports.items()
                if self.lease_ends.get((name, incarnation), 0) > self.true_time
            }
            leader = self.rng.choice(reachable[:2])
            leader.propose(leader.work.lead(leader.clock(self.true_time), reports))
        for (name, incarnation), until in list(self.lease_ends.items()):
            if until <= self.true_time:
                del self.lease_ends[name, incarnation]
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

    def change_contract(self, *terms):
        self.contract = Contract(self.contract.edition + 1, tuple(terms))

    # ---- checks of the jobs that run in true time

    def running_uses(self, feature):
        return [given for s in self.servers for given in s.running.values() if given.feature == feature]

    def check_running(self, feature):
        """Checks the jobs of a feature; called when one starts, as only this increases the seats in use."""
        uses, feature_seats = self.running_uses(feature), self.committed.parts["seats"].features[feature]
        seats = {
            (use.number, use.counter, use.use) if use.shared else (n, "job") for n, use in enumerate(uses)
        }
        numbers = {use.number for use in uses}
        self.counts["peak"] = max(self.counts["peak"], len(seats))
        # An end date announced on short notice is like a cut: it takes effect once all members know it.
        if (
            feature_seats.terms.until
            and feature_seats.terms.until - EPOCH - self.contract_committed_at > 4 * LEASE_TICKS
        ):
            assert self.true_time + EPOCH < feature_seats.terms.until, "job started after the contract's end"
            self.after(
                feature_seats.terms.until - EPOCH - self.true_time,
                lambda: self.check_all_ended(feature_seats, feature),
            )
        assert len(seats) == len(numbers), f"a seat is in use twice at {self.true_time}: {uses}"
        assert len(seats) <= max(feature_seats.terms.seats, feature_seats.held()), (
            f"{len(seats)} seats in use, {feature_seats.terms.seats} contracted"
        )

    def check_all_ended(self, feature_seats, feature):
        if (
            feature_seats.terms.until
            and self.true_time + EPOCH
            >= feature_seats.terms.until
            > self.contract_committed_at + EPOCH + 4 * LEASE_TICKS
        ):
            for server in self.servers:
                server.end_overdue_jobs(server.meter)
            assert not self.running_uses(feature), "job running after the contract's end"

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.true_time, _, action = heappop(self.events)
            action()
        self.true_time = until
