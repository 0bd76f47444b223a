"""A fleet simulated in one thread: real state machines, leases, failure detectors and action chains over one
list as the replicated log.

True time advances in steps.  Each member's clock drifts, links are blocked in one direction, members pause
and restart; all of it follows from one seed.  The invariants are checked at every action.
"""

import random

import msgspec

from fleet_member import SPAN, AcquireResource, ChangeContract, SimulatedMember
from indigohitch.fleet.membership.leases import SendReply, StartRead
from indigohitch.fleet.types import LogEntry
from indigohitch.net.clock import SECOND

__all__ = ["SPAN", "STEP", "AcquireResource", "ChangeContract", "SimulatedFleet"]

STEP = SECOND // 20
TIMEOUT = SECOND // 2  # for a new leader, and for the outcome of a proposal


class SimulatedFleet:
    def __init__(self, seed, size=5):
        self.rng = random.Random(seed)
        self.time = 0
        self.term = 0
        self.log = []
        self.messages = []  # in flight: arrival time, sender, receiver, message
        self.blocked_links = set()  # (sender, receiver)
        self.members = {f"m{n}": SimulatedMember(f"m{n}", self.rng) for n in range(size)}
        self.leader = None
        self.leader_alive_at = 0
        self.actors = {}  # resource -> the incarnations that acted on it, in order
        self.highest_in_force = 0  # the last change in force at any member
        self.action_count = 0
        self.standings = set()

    def can_receive(self, receiver, sender):
        return (
            max(receiver.paused_until, sender.paused_until) <= self.time
            and (sender.name, receiver.name) not in self.blocked_links
        )

    def are_connected(self, one, other):
        return one is other or self.can_receive(one, other) and self.can_receive(other, one)

    def has_majority(self, one):
        return one.paused_until <= self.time and 2 * sum(
            self.are_connected(one, m) for m in self.members.values()
        ) > len(self.members)

    # ---- one step ----------------------------------------------------------------------------------

    def step(self):
        self.time += STEP
        if self.leader is None or not self.has_majority(self.leader):
            self.elect()
        else:
            self.leader_alive_at = self.time
        for member in self.members.values():
            if member.paused_until <= self.time:
                self.apply_entries(member)
                self.run_turn(member)
        due = [message for message in self.messages if message[0] <= self.time]
        self.messages = [message for message in self.messages if message[0] > self.time]
        for _, sender, receiver, message in due:
            if (
                self.can_receive(receiver, sender)
                or receiver is sender
                and receiver.paused_until <= self.time
            ):
                self.carry_out(
                    receiver,
                    receiver.membership.on_message(receiver.now(self.time), sender.name, message),
                )

    def elect(self):
        candidates = [m for m in self.members.values() if self.has_majority(m)]
        if self.time < self.leader_alive_at + TIMEOUT or not candidates:
            return
        self.leader = max(candidates, key=lambda m: m.state_machine.index)
        self.term += 1
        self.log.append(LogEntry(len(self.log) + 1, self.term, "", b""))
        self.leader.leader_term = self.term
        self.leader_alive_at = self.time
        self.leader.membership.on_role_changed(self.leader.now(self.time), "leader", self.term)

    def apply_entries(self, member):
        """Applies entries that the leader sends; a former leader learns that it no longer leads."""
        if self.leader is None or not self.are_connected(member, self.leader):
            return
        if member.leader_term and member is not self.leader:
            member.leader_term = 0
            member.membership.on_role_changed(member.now(self.time), "follower", self.term)
        end = len(self.log) if member is self.leader else member.state_machine.index + member.entries_per_step
        for entry in self.log[member.state_machine.index : end]:
            outcome = member.state_machine.apply(entry)
            self.highest_in_force = max(self.highest_in_force, member.state_machine.parts["members"].in_force)
            now = member.now(self.time)
            member.proposal_requests += member.membership.applied(now, entry, outcome)
            if (
                pending := member.pending_proposals.pop(
                    (entry.proposer, entry.incarnation, entry.number), None
                )
            ) is not None:
                self.report_outcome(member, pending, outcome)

    def report_outcome(self, member, pending, outcome):
        part, tag, _ = pending
        work = member.membership if part == "members" else member.audit_work if part == "audit" else None
        if work is not None:
            member.proposal_requests += work.answered(member.now(self.time), tag, outcome)

    def run_turn(self, member):
        now, own = member.now(self.time), member.membership
        member.proposal_requests += own.turn(now, own.lease(now)) + member.audit_work.turn(
            now, own.lease(now)
        )
        if member.leader_term:
            member.proposal_requests += own.lead(now, {})
            self.standings |= {own.detector.standing(now, m) for m in own.roster.members.values()}
        requests, member.proposal_requests = member.proposal_requests, []
        for request in requests:
            self.propose(member, request.kind, request.body, request.tag)
        for key, pending in list(member.pending_proposals.items()):
            if self.time > pending[2] + TIMEOUT:
                del member.pending_proposals[key]
                self.report_outcome(member, pending, None)
        if (renewal := own.renew(now, 0, member.actions.number, {})) is not None and self.leader is not None:
            self.send(member, self.leader, renewal)
        self.act(member, now)

    def propose(self, member, kind, body, tag=""):
        """Proposes an entry; 1 in 4 is lost, and for 1 in 10 the log gets a duplicate."""
        proposer, incarnation = member.membership.proposer()
        number = next(member.proposal_numbers)
        member.pending_proposals[proposer, incarnation, number] = kind.partition(".")[0], tag, self.time
        if (
            self.leader is not None
            and self.are_connected(member, self.leader)
            and self.has_majority(self.leader)
        ):
            entry = LogEntry(
                len(self.log) + 1,
                self.term,
                kind,
                msgspec.msgpack.encode(body),
                proposer,
                incarnation,
                number,
            )
            self.log += [entry] * self.rng.choice((1, 1, 1, 0))
            if self.rng.random() < 0.1:
                self.log.append(msgspec.structs.replace(entry, index=len(self.log) + 1))

    def send(self, sender, receiver, message):
        self.messages.append(
            (self.time + self.rng.choice((0, STEP, 2 * STEP, SECOND)), sender, receiver, message)
        )

    def carry_out(self, member, orders):
        for order in orders:
            match order:
                case SendReply(to, message):
                    self.send(member, self.members[to], message)
                case StartRead(number) if member is self.leader and self.has_majority(member):
                    if member.state_machine.index == len(self.log):
                        self.carry_out(
                            member, member.membership.on_read_confirmed(member.now(self.time), number, True)
                        )

    def act(self, member, now):
        """Acquires free resources and acts on those held, with the invariants checked at each action."""
        held = member.state_machine.parts["things"].held
        own = member.membership
        free = [name for name in ("a", "b", "c") if name not in held]
        if free and own.lease(now) and self.rng.random() < 0.2:
            self.propose(member, "things.take", AcquireResource(self.rng.choice(free)))
        for what, holder in held.items():
            if (
                holder == (member.name, own.incarnation)
                and (stamp := member.actions.stamp(now, "things.done", what.encode())) is not None
            ):
                self.action_count += 1
                assert stamp.version >= self.highest_in_force, "acts by a version older than that in force"
                actors = self.actors.setdefault(what, [])
                assert holder not in actors[:-1], f"{holder} acts on {what} after {actors[-1]} did"
                if not actors or actors[-1] != holder:
                    actors.append(holder)

    def run(self, seconds):
        for _ in range(seconds * SECOND // STEP):
            self.step()

    def records(self):
        return {name: member.store.chains for name, member in self.members.items()}
