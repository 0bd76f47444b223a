"""The ledger against entries: processor time and memory of a leader and of a voter for so many, and the
replicated state after them.  Records are encoded as for the disk; writing and fsync are left to `make
bench-ledger`."""

from __future__ import annotations

import msgspec

from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.node.messages import KINDS
from indigohitch.fleet.node.notes import Add, Notes
from indigohitch.fleet.node.wiring import RAFT_LIMITS
from indigohitch.fleet.raft.interfaces import ApplyEntries, MessageReceived, Propose, WriteEntries
from indigohitch.fleet.raft.messages import AppendEntries, AppendEntriesResponse
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from indigohitch.fleet.storage.records import RECORDS, LogWrite, WriteBatch
from indigohitch.fleet.types import LogEntry, Proposal

from .ledger_cell import VOTERS, Leader, Member, frames_of, group
from .measuring import Memory, processor_ms

TOGETHER = 32  # entries proposed one after the other before they are answered
BODY = msgspec.msgpack.encode(Add("x" * 100))


class Applied:
    """A member's state, and what its outputs cost: records for the disk, entries applied, frames for
    others."""

    def __init__(self) -> None:
        self.state_machine = ReplicatedStateMachine([Notes()])

    def carry_out(self, outputs: list) -> list[bytes]:
        for output in outputs:
            if isinstance(output, WriteEntries):
                RECORDS.frame(
                    WriteBatch((LogWrite(output.hard_state, output.truncate_from, output.entries),))
                )
            elif isinstance(output, ApplyEntries):
                for entry in output.entries:
                    self.state_machine.apply(entry)
        return frames_of(outputs)


def measure(entries: int) -> dict[str, float]:
    leader_ms, leader_mb = led(entries)
    voter_ms, voter_mb = followed(entries)
    return {
        "leader_ms": leader_ms,
        "leader_memory_mb": leader_mb,
        "voter_ms": voter_ms,
        "voter_memory_mb": voter_mb,
    }


def led(entries: int) -> tuple[float, float]:
    """By a leader with four other voters and no followers."""
    memory, leader, applied = Memory(), Leader(group(0)), Applied()
    applied.state_machine.index = leader.machine.commit_index  # its first entry holds nothing

    def some(first: int) -> None:
        for number in range(first, min(first + TOGETHER, entries + 1)):
            proposal = Proposal("proposer", 1, number, "notes.add", BODY)
            applied.carry_out(leader.step(Propose(proposal)))
        answer = KINDS.frame(
            AppendEntriesResponse(leader.machine.term, True, leader.machine.state.log.last_index)
        )
        applied.carry_out(leader.hear([answer] * (VOTERS - 1)))

    def all_of_them() -> None:
        for first in range(1, entries + 1, TOGETHER):
            some(first)

    spent, _ = processor_ms(all_of_them)
    if applied.state_machine.index != entries + 1:
        raise RuntimeError(f"{applied.state_machine.index} of {entries + 1} entries were applied")
    return spent, memory.grown_mb()


def followed(entries: int) -> tuple[float, float]:
    """By a voter that hears them in messages of `append_most` bytes or less."""
    members = group(0)
    memory, voter, applied = Memory(), Member(members.voters[1], members), Applied()
    each = RAFT_LIMITS["append_most"] // (len(BODY) + 60)
    frames = []
    for first in range(1, entries + 1, each):
        some = tuple(
            LogEntry(number, 1, "notes.add", BODY, "proposer", 1, number)
            for number in range(first, min(first + each, entries + 1))
        )
        frames.append(
            KINDS.frame(AppendEntries(1, first - 1, 1 if first > 1 else 0, first - 1, some, 0, first))
        )
    frames.append(KINDS.frame(AppendEntries(1, entries, 1, entries, (), 0, entries)))

    def hear() -> None:
        for frame in frames:
            for word, _ in FrameDecoder(KINDS).feed(frame):
                applied.carry_out(voter.step(MessageReceived(members.voters[0], word)))

    spent, _ = processor_ms(hear)
    if applied.state_machine.index != entries:
        raise RuntimeError(f"{applied.state_machine.index} of {entries} entries were applied")
    return spent, memory.grown_mb()
