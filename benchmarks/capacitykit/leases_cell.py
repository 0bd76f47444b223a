"""Leases and the roster at the leader: so many members that renew four times a lease, the judge's look at
each beat, and the digest of the state that all members take at points of comparing."""

from __future__ import annotations

import statistics

from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.audit.heads import Heads
from indigohitch.fleet.fleet_clock import FleetClock
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.membership.entries import Join, MemberState
from indigohitch.fleet.membership.leases import SendReply, StartRead
from indigohitch.fleet.membership.member_work import Membership
from indigohitch.fleet.membership.messages import RenewLease
from indigohitch.fleet.membership.roster import Roster
from indigohitch.fleet.node.messages import KINDS
from indigohitch.fleet.state_machine import ReplicatedStateMachine

from .measuring import Memory, processor_ms

SECOND = 10_000
SPAN = 2 * SECOND  # of a lease
DRIFT = 0.001
ROUNDS = 5
REPORT = {"seats": b"x" * 60}  # what a member reports with each renewal


def roster_of(members: int) -> ReplicatedStateMachine:
    """A state machine with so many valid members."""
    roster = Roster()
    state_machine = ReplicatedStateMachine([roster, FleetClock(), Heads()])
    for number in range(members):
        name = f"coordinator{number}"
        roster.apply(EntryContext(number + 1, 1, 0, name, 1), "join", Join(name, number))
    for member in roster.members.values():
        member.state = MemberState.VALID
    state_machine.index = members
    return state_machine


class Leader:
    """A membership that leads, with all members' renewals coming in."""

    def __init__(self, members: int) -> None:
        self.state_machine, self.now, self.number = roster_of(members), 100 * SECOND, 0
        self.names = [f"coordinator{number}" for number in range(members)]
        roster = self.state_machine.parts["members"]
        self.membership = Membership("leader", True, roster, SPAN, DRIFT, lambda: 1)
        self.membership.on_role_changed(self.now, "leader", 1)

    def askings(self) -> list[bytes]:
        self.number += 1
        return [
            KINDS.frame(RenewLease(self.number, 1, self.state_machine.index, 0, b"", self.now, 0, REPORT))
            for _ in self.names
        ]

    def round(self, frames: list[bytes]) -> list[bytes]:
        """All of them heard, one confirmed read for as many as wait, and the answers encoded."""
        out = []
        for name, frame in zip(self.names, frames):
            for word, _ in FrameDecoder(KINDS).feed(frame):
                out += self.membership.on_message(self.now, name, word)
        answers = []
        while out:
            reads = [one.number for one in out if isinstance(one, StartRead)]
            answers += [KINDS.frame(one.message) for one in out if isinstance(one, SendReply)]
            out = [
                more for number in reads for more in self.membership.on_read_confirmed(self.now, number, True)
            ]
        if len(answers) != len(self.names):
            raise RuntimeError(f"{len(answers)} of {len(self.names)} renewals were answered")
        return answers


def measure(members: int) -> dict[str, float]:
    memory = Memory()
    leader = Leader(members)
    rounds, looks = [], []
    for _ in range(ROUNDS):
        leader.now += SPAN // 4
        askings = leader.askings()
        spent, answers = processor_ms(lambda askings=askings: leader.round(askings))
        rounds.append(spent)
        looks.append(processor_ms(lambda: leader.membership.lead(leader.now, {}))[0])
    digest_ms, _ = processor_ms(leader.state_machine.digest)
    return {
        "round_ms": statistics.median(rounds),
        "look_ms": statistics.median(looks),
        "round_in_kb": sum(map(len, askings)) / 1024,
        "round_out_kb": sum(map(len, answers)) / 1024,
        "digest_ms": digest_ms,
        "snapshot_kb": len(leader.state_machine.snapshot()) / 1024,
        "memory_mb": memory.grown_mb(),
    }
