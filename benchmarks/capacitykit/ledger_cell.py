"""The ledger's machine as a leader before many followers, and as a voter: beats, answers, one entry.

Words are encoded and decoded as on a link; sockets are a cell of their own (`links_cell`)."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.node.messages import KINDS
from indigohitch.fleet.node.wiring import RAFT_LIMITS
from indigohitch.fleet.raft.configuration import encode_members
from indigohitch.fleet.raft.interfaces import (
    HardState,
    Members,
    MessageReceived,
    Propose,
    RecoveredState,
    SendMessage,
    Snapshot,
    Tick,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.raft.messages import AppendEntries, AppendEntriesResponse, RequestVoteResponse
from indigohitch.fleet.raft.node import RaftNode
from indigohitch.fleet.types import MemberId, Proposal

from .measuring import Memory, processor_ms

BOOTSTRAP = {"election": 3000, "beat": 500, "log_most": 16 << 20, **RAFT_LIMITS}
VOTERS = 5
BEATS = 5
ENTRIES = 5
BODY = b"x" * 100  # of one entry


def group(followers: int) -> Members:
    voters = tuple(MemberId(f"voter{number}", 1) for number in range(VOTERS))
    return Members(voters, tuple(MemberId(f"coordinator{number}", 1) for number in range(followers)))


class Member:
    """A machine whose disk writes at once."""

    def __init__(self, me: MemberId, members: Members) -> None:
        held = RecoveredState(HardState(0), Snapshot(0, 0, members, b""), [])
        self.now = 0
        self.machine = RaftNode(me, held, BOOTSTRAP, lambda: 0.0, 0)

    def step(self, input) -> list:
        """All that comes out, with the disk's answers put in."""
        outputs, found = self.machine.step(self.now, input), []
        while outputs:
            found += outputs
            writes = [output.number for output in outputs if isinstance(output, WriteEntries)]
            outputs = self.machine.step(self.now, WriteCompleted(max(writes))) if writes else []
        return found


class Leader(Member):
    """Elected, and answered by all that follow it."""

    def __init__(self, members: Members) -> None:
        super().__init__(members.voters[0], members)
        self.others = members.voters[1:] + members.followers
        self.now = self.machine.due_at
        self.step(Tick())
        asked = self.machine.term + 1
        for who in members.voters[1:]:
            self.step(MessageReceived(who, RequestVoteResponse(asked, True, True)))
        for who in members.voters[1:]:
            self.step(MessageReceived(who, RequestVoteResponse(self.machine.term, True)))
        if not self.machine.leadership:
            raise RuntimeError("the machine measured was not elected")
        self.hear(self.answers(self.machine.state.log.last_index))
        self.beat()

    def answers(self, match: int) -> list[bytes]:
        return [KINDS.frame(AppendEntriesResponse(self.machine.term, True, match)) for _ in self.others]

    def hear(self, frames: Iterable[bytes]) -> list:
        """An answer of each, decoded as it comes off a connection."""
        outputs = []
        for who, frame in zip(self.others, frames):
            for word, _ in FrameDecoder(KINDS).feed(frame):
                outputs += self.step(MessageReceived(who, word))
        return outputs

    def beat(self) -> list:
        self.now = self.machine.due_at
        return self.step(Tick())


def frames_of(outputs: list) -> list[bytes]:
    return [KINDS.frame(output.message) for output in outputs if isinstance(output, SendMessage)]


def proposal(number: int) -> Proposal:
    return Proposal("proposer", 1, number, "notes.add", BODY)


def measure(followers: int) -> dict[str, float]:
    memory = Memory()
    leader = Leader(group(followers))
    rows = [one_beat(leader) for _ in range(BEATS)]
    entries = [one_entry(leader, 1 + number) for number in range(ENTRIES)]
    found = {name: statistics.median(row[name] for row in rows) for name in rows[0]}
    found |= {name: statistics.median(row[name] for row in entries) for name in entries[0]}
    found["leader_memory_mb"] = memory.grown_mb()
    found["membership_entry_kb"] = len(encode_members(leader.machine.members)) / 1024
    return found | voter(leader.machine.members)


def one_beat(leader: Leader) -> dict[str, float]:
    """A beat to all, and the answers of all."""
    machine_ms, outputs = processor_ms(leader.beat)
    encode_ms, frames = processor_ms(lambda: frames_of(outputs))
    answers = leader.answers(leader.machine.state.log.last_index)
    answers_ms, more = processor_ms(lambda: leader.hear(answers))
    frames += frames_of(more)
    return {
        "leader_beat_machine_ms": machine_ms,
        "leader_beat_ms": machine_ms + encode_ms + answers_ms,
        "leader_beat_out_kb": sum(map(len, frames)) / 1024,
        "leader_beat_in_kb": sum(map(len, answers)) / 1024,
    }


def one_entry(leader: Leader, number: int) -> dict[str, float]:
    """One entry proposed, sent to all, acknowledged by all."""
    propose_ms, outputs = processor_ms(lambda: leader.step(Propose(proposal(number))))
    encode_ms, frames = processor_ms(lambda: frames_of(outputs))
    answers = leader.answers(leader.machine.state.log.last_index)
    answers_ms, more = processor_ms(lambda: leader.hear(answers))
    encode_more_ms, more_frames = processor_ms(lambda: frames_of(more))
    return {
        "leader_entry_ms": propose_ms + encode_ms + answers_ms + encode_more_ms,
        "leader_entry_out_kb": sum(map(len, frames + more_frames)) / 1024,
    }


def voter(members: Members) -> dict[str, float]:
    """What a beat costs who hears it, and what it costs to hear of a membership with so many in it."""
    me, leader = members.voters[1], members.voters[0]
    one = Member(me, members)
    beats = []
    for number in range(1, 41):
        one.now = number * BOOTSTRAP["beat"]
        frame = KINDS.frame(AppendEntries(1, 0, 0, 0, (), 0, one.now))

        def hear(frame=frame) -> list[bytes]:
            outputs = []
            for word, _ in FrameDecoder(KINDS).feed(frame):
                outputs += one.step(MessageReceived(leader, word))
            return frames_of(outputs)

        beats.append(processor_ms(hear)[0])
    return {"voter_beat_us": 1000 * statistics.median(beats)}
