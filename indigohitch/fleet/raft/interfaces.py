"""Defines the inputs and outputs of a Raft node, and the state that it persists.  Types only; no I/O.

A driver calls `RaftNode.step(now, event)` for each input and carries out the returned outputs in order.  It
passes a `Tick` at `RaftNode.due_at` at the latest.  The node sends no message that depends on a write before
it has received `WriteCompleted` for that write.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import LogEntry, MemberId, Proposal

# ---- persistent state ------------------------------------------------------------------------------


class Members(Row, frozen=True):
    """Lists the cluster's members; the body of a `ledger.members` entry, and part of a snapshot.

    A voter is identified by its name and number.  `followers` are non-voting members: they receive all
    entries and never vote.
    """

    voters: tuple[MemberId, ...]
    followers: tuple[MemberId, ...] = ()


class HardState(Row, frozen=True):
    """Holds what must survive a crash besides the log: the term, and the vote of this member in it."""

    term: int
    vote: MemberId | None = None


class Snapshot(Row, frozen=True):
    """Holds the state machine as of entry `index`; the log up to that entry may be discarded."""

    index: int
    term: int
    members: Members
    state: bytes


@dataclass(slots=True)
class RecoveredState:
    """Holds what was read from the disk at startup; the entries follow the snapshot without a gap."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry] = field(default_factory=list)


# ---- inputs ----------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """Delivers a message of another member, one of `messages.MESSAGE_TYPES`."""

    sender: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class Propose:
    """Asks the leader to append a proposal to the log."""

    proposal: Proposal


@dataclass(slots=True, frozen=True)
class ReadRequest:
    """Asks for a read to be confirmed by a majority; `number` is unique among the pending reads."""

    number: int


@dataclass(slots=True, frozen=True)
class ChangeMembers:
    """Asks the leader to add a member, which becomes a voter once it has caught up, or to remove one."""

    member: MemberId
    remove: bool = False
    as_voter: bool = True


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """Reports that all `WriteEntries` up to `number` are on the disk."""

    number: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """Reports a failed write: nothing after the last `WriteCompleted` is known to be on the disk.

    Until `StorageRecovered` the member runs on without voting or acknowledging; a leader steps down.
    """

    reason: str


@dataclass(slots=True, frozen=True)
class StorageRecovered:
    """Reports that the disk accepts writes again after `StorageFailed`."""


@dataclass(slots=True, frozen=True)
class SnapshotCompleted:
    """Reports that the snapshot is on the disk, and that the log up to it was discarded there."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Tick:
    """Reports that time has passed; the driver sends it at `RaftNode.due_at` at the latest."""


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """Asks the leader to transfer its leadership to the voter `to`, or to the one with the longest log.

    The leader rejects proposals during the transfer.  It resumes after an election timeout without success.
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
    """Sends a message to another member; delivery is not guaranteed."""

    to: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class WriteEntries:
    """Writes to the disk, in order and with an fsync; the driver then reports `WriteCompleted(number)`.

    Entries from index `truncate_from` on are removed first (0: none).  `hard_state` is None if unchanged.
    """

    number: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ApplyEntries:
    """Applies committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Replaces the state machine and the stored log by a snapshot; `SnapshotCompleted` has to follow."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Encodes the state machine as of `index` and writes it; the driver then reports `SnapshotCompleted`.

    The snapshot has to contain `term` and `members`.
    """

    index: int
    term: int
    members: Members


@dataclass(slots=True, frozen=True)
class ProposalRejected:
    """Rejects a proposal; the proposer may retry after `retry_after_ticks`, at `leader` if it is known.

    The response to an accepted proposal is its entry in an `ApplyEntries`.
    """

    proposal: Proposal
    retry_after_ticks: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class ReadConfirmed:
    """Confirms a read, which the state machine serves at `index` or later, or redirects it to `leader`."""

    number: int
    index: int
    is_confirmed: bool = True
    leader: MemberId | None = None


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """Reports a change of this member's role (a value of `state.Role`), term or known leader."""

    role: str
    term: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class LogEvent:
    """Writes an event to the operational log."""

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
    | LogEvent
)
