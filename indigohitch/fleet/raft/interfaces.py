"""Inputs and outputs of a Raft node, and the state that it keeps on its disk.  Types only; no I/O.

A node is `RaftNode(member_id, recovered, settings, random, now)` with `step(now, event) -> list[output]`,
in order, and `due_at`, the time at which `Tick` has to come at the latest.  The node sends
nothing that depends on a write before `WriteCompleted` for that write has come.  The driver carries out the
outputs in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import LogEntry, MemberId, Proposal

# ---- persistent state ------------------------------------------------------------------------------


class Members(Row, frozen=True):
    """The cluster's members: the body of a `ledger.members` entry, and part of a snapshot.

    Voters count by name and number; followers get all entries and never vote.
    """

    voters: tuple[MemberId, ...]
    followers: tuple[MemberId, ...] = ()


class HardState(Row, frozen=True):
    """What has to survive a crash beside the log: the term, and the vote that this member gave in it."""

    term: int
    vote: MemberId | None = None


class Snapshot(Row, frozen=True):
    """The state machine after entry `index`; the log up to there may be discarded."""

    index: int
    term: int
    members: Members
    state: bytes


@dataclass(slots=True)
class RecoveredState:
    """What a disk holds at a start; the entries follow the snapshot without a gap."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry] = field(default_factory=list)


# ---- inputs ----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message of another member, one of `messages.MESSAGE_TYPES`."""

    sender: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class Propose:
    """A proposal to append to the log."""

    proposal: Proposal


@dataclass(slots=True, frozen=True)
class ReadRequest:
    """A read to confirm by a majority; `number` is unique among the reads that are pending."""

    number: int


@dataclass(slots=True, frozen=True)
class ChangeMembers:
    """An operator's request to add a member, which votes once it has caught up, or to remove one."""

    member: MemberId
    remove: bool = False
    as_voter: bool = True


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """All `WriteEntries` up to that number are on the disk."""

    number: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """A write failed: nothing after the last `WriteCompleted` is known to be on the disk.

    The member goes on without votes and acknowledgements until `StorageRecovered`; a leader steps down.
    """

    why: str


@dataclass(slots=True, frozen=True)
class StorageRecovered:
    """The disk takes writes again after `StorageFailed`."""


@dataclass(slots=True, frozen=True)
class SnapshotCompleted:
    """The snapshot is on the disk, and the log up to it was discarded there."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Tick:
    """Time has passed; it has to come at `due_at` at the latest."""


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """Asks a leader to hand its leadership to the voter `to`, or to the one with the longest log.

    Until then it rejects proposals; after an election timeout without success it goes on leading.
    """

    to: MemberId | None = None


Input = (
    MessageReceived
    | Propose
    | ReadRequest
    | ChangeMembers
    | WriteCompleted
    | StorageFailed
    | StorageRecovered
    | SnapshotCompleted
    | Tick
    | TransferLeadership
)

# ---- outputs ---------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendMessage:
    """A message for another member; it may get lost."""

    to: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class WriteEntries:
    """A write to the disk, in order, with an fsync, after which `WriteCompleted(number)` is due.

    `truncate_from`: entries from that index on are void (0: none); `hard_state` None: unchanged.
    """

    number: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ApplyEntries:
    """Committed entries to apply to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Set the state machine to this and write it in place of the log; `SnapshotCompleted` is due then."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Encode the state at `index` and write it; `SnapshotCompleted` is due then.

    `term` and `members` are those to put into it.
    """

    index: int
    term: int
    members: Members


@dataclass(slots=True, frozen=True)
class ProposalRejected:
    """The proposal was not taken: retry in `retry_after_ticks`, at `leader` if it is known.

    A proposal that was taken is answered by its entry in an `ApplyEntries`.
    """

    proposal: Proposal
    retry_after_ticks: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class ReadConfirmed:
    """The state machine at `index` or later answers the read; if not confirmed, retry at `leader`."""

    number: int
    index: int
    is_confirmed: bool = True
    leader: MemberId | None = None


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """The role of this member changed: a value of `state.Role`."""

    role: str
    term: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class LogNote:
    """An event for the log."""

    event: str
    fields: dict[str, object]


Output = (
    SendMessage
    | WriteEntries
    | ApplyEntries
    | RestoreSnapshot
    | TakeSnapshot
    | ProposalRejected
    | ReadConfirmed
    | RoleChanged
    | LogNote
)
