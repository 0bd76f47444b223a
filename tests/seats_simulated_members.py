"""Simulated members with seats, and servers with clocks of their own, driven by a seeded random generator.

The simulation has a true time that no member or server can read.  Clocks drift by up to DRIFT; messages, RPCs
and responses are delayed, duplicated or lost; members are paused, cut off, killed and started again, servers
are restarted, and the contract is changed.  The simulated fleet measures which jobs run at the same time.
"""

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.fleet.seats.allocator import Allocation, SeatSettings
from indigohitch.fleet.seats.contract import Pass
from indigohitch.fleet.seats.part import Seats
from indigohitch.fleet.seats.server_clock import Meter, ServerClocks, Verdict
from indigohitch.fleet.seats.work import SeatsWork
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.types import Lease, LogEntry, Stamp

SECOND = 10_000
LEASE_TICKS = 2 * SECOND
DRIFT = 0.05  # far more than that of any quartz clock, so that an ignored drift is noticed soon
EPOCH = 10**9  # fleet time at the start of the simulation
SETTINGS = SeatSettings(queue_place_lifetime=SECOND, retry_after=2000, drift=2 * DRIFT)


class Gone(Row):
    name: str
    incarnation: int


class Members:
    """Stands in for the part `members`: reports to the seats which incarnations have ended."""

    name, kinds = "members", {"gone": Gone}

    def apply(self, context, word, body):
        self.state_machine.parts["seats"].on_member_lease_expired(context, body.name, body.incarnation)

    def row(self):
        return 0

    def restore(self, row):
        pass


class DriftingClock:
    def __init__(self, fleet):
        self.rate = 1 + fleet.rng.uniform(-DRIFT, DRIFT)
        self.base = fleet.rng.randrange(SECOND * 100)

    def clock(self, true_time):
        return self.base + int(true_time * self.rate)


class Server(DriftingClock):
    def __init__(self, fleet, name):
        super().__init__(fleet)
        self.fleet = fleet
        self.name = name
        self.boots = 0
        self.restart()

    def restart(self):
        self.boots += 1
        self.base = self.fleet.rng.randrange(SECOND * 100)  # the clock starts anew with each boot
        self.meter = Meter(f"{self.name}.{self.boots}")
        self.running = {}

    def receive(self, seat_pass, duration, respond):
        """Handles an RPC; `respond(reading)` is called once its job has ended."""
        fleet = self.fleet
        meter = self.meter
        self.end_overdue_jobs(meter)
        verdict, job = meter.admit(self.clock(fleet.true_time), seat_pass)
        if verdict is not Verdict.ACCEPTED:
            fleet.counts[verdict.value] += 1
            if verdict.did_not_run:  # otherwise a duplicate of the RPC may be running
                respond((meter.boot, self.clock(fleet.true_time)))
            return
        self.running[job] = seat_pass.given
        fleet.check_running(seat_pass.given.feature)

        def finish():
            if self.meter is meter and meter.ended(job):
                del self.running[job]
                respond((meter.boot, self.clock(fleet.true_time)))

        fleet.after(duration, finish)
        fleet.after(
            int((seat_pass.until - self.clock(fleet.true_time)) / self.rate) + 1,
            lambda: self.end_overdue_jobs(meter),
        )

    def end_overdue_jobs(self, meter):
        if self.meter is meter:
            for job in meter.overdue(self.clock(self.fleet.true_time)):
                del self.running[job]
                self.fleet.counts["ended_at_end"] += 1


class Member(DriftingClock):
    def __init__(self, fleet, name, incarnation):
        super().__init__(fleet)
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.alive = True
        self.paused = False
        self.cut_off = False
        self.lease_ended = False  # the member has learned that its incarnation has ended
        self.lease_until = self.applied_index = self.proposal_number = self.action_number = 0
        self.pending_tags = {}  # by proposal number
        self.state_machine = ReplicatedStateMachine([Seats(), Members()])
        self.nodes = ServerClocks(SETTINGS.drift)
        self.work = SeatsWork(
            name,
            self.state_machine.parts["seats"],
            self,
            self.fleet_time,
            lambda: fleet.contract,
            name != "m0",
            SETTINGS,
        )

    def fleet_time(self, now):
        # The simulated fleet time has no error.
        return self.state_machine.parts["seats"].edition and EPOCH + self.fleet.true_time

    def stamp(self, now, kind, about):
        if now >= self.lease_until or self.lease_ended:
            return None
        self.action_number += 1
        return Stamp(self.name, self.incarnation, 1, self.state_machine.index, self.action_number)

    @property
    def acting(self):
        return self.alive and not self.paused

    def beat(self):
        fleet = self.fleet
        if not self.alive:
            return
        if self.acting:
            now = self.clock(fleet.true_time)
            if not self.cut_off:
                sent_at, report = now, self.work.report(now)
                fleet.after(fleet.delay(), lambda: fleet.renew_lease(self, sent_at, report))
            has_lease = not self.lease_ended and now < self.lease_until
            self.propose(
                self.work.turn(now, Lease(self.incarnation, self.lease_until) if has_lease else None)
            )
        fleet.after(LEASE_TICKS // 8, self.beat)

    def on_lease_renewed(self, sent_at):
        if self.acting and not self.cut_off:
            self.lease_until = max(self.lease_until, sent_at + int(LEASE_TICKS * (1 - DRIFT)))

    def propose(self, proposals):
        for proposal in proposals:
            self.proposal_number += 1
            self.pending_tags[self.proposal_number] = proposal.tag
            entry = LogEntry(
                0,
                1,
                proposal.kind,
                msgspec.msgpack.encode(proposal.body),
                self.name,
                self.incarnation,
                self.proposal_number,
            )
            self.fleet.send_proposal(self, entry)
            if self.fleet.rng.random() < 0.05:  # the outcome is reported as unknown; it may still be applied
                self.fleet.after(
                    self.fleet.delay(), lambda number=self.proposal_number: self.on_outcome_unknown(number)
                )

    def on_outcome_unknown(self, number):
        if number in self.pending_tags and self.alive:
            self.propose(
                self.work.answered(self.clock(self.fleet.true_time), self.pending_tags.pop(number), None)
            )

    def apply_log(self):
        """Applies the entries of the log that this member has not applied yet."""
        fleet = self.fleet
        while self.acting and not self.cut_off and self.applied_index < len(fleet.log):
            entry = fleet.log[self.applied_index]
            self.applied_index += 1
            outcome, now = self.state_machine.apply(entry), self.clock(fleet.true_time)
            if entry.kind == "members.gone" and msgspec.msgpack.decode(entry.body) == [
                self.name,
                self.incarnation,
            ]:
                self.lease_ended, self.alive = True, False
                fleet.after(fleet.delay(), lambda: fleet.start(self.name))
                return
            self.propose(self.work.applied(now, entry, outcome))
            own = (entry.proposer, entry.incarnation) == (self.name, self.incarnation)
            if own and entry.number in self.pending_tags:
                self.propose(self.work.answered(now, self.pending_tags.pop(entry.number), outcome))

    def send_rpc(self, tenant, user):
        """Sends a client's RPC to a server; without a seat the RPC is dropped at once."""
        fleet = self.fleet
        if not self.acting:
            return
        now, feature = self.clock(fleet.true_time), fleet.rng.choice(fleet.features)
        server = fleet.rng.choice(fleet.servers)
        kind = next((terms.kind for terms in fleet.contract.terms if terms.feature == feature), "job")
        allocation = self.work.allocator.allocate(
            now, feature, tenant, {"node": server.name}.get(kind, user), 3 * SECOND
        )
        fleet.counts["asked"] += 1
        if not isinstance(allocation, Allocation):
            return
        boot, end = self.nodes.server_deadline(server.name, allocation.until)
        seat_pass = Pass(allocation.given, boot, end, allocation.stamp)
        fleet.counts["given"] += 1

        def respond(reading):
            def on_response():
                if self.acting:
                    self.nodes.heard(server.name, *reading, self.clock(fleet.true_time))
                    self.work.allocator.release(self.clock(fleet.true_time), allocation)

            if fleet.rng.random() < 0.9:
                fleet.after(fleet.delay(), on_response)

        duration = int(fleet.rng.expovariate(3 / SECOND))
        for _ in range(2 if fleet.rng.random() < 0.05 else 1):  # some RPCs arrive twice
            fleet.after(fleet.delay(), lambda: server.receive(seat_pass, duration, respond))
