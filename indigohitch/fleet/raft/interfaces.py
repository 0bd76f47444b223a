"""What goes into the ledger's machine and what comes out of it.  Shapes only; no I/O.

A machine is `Machine(me, held, bootstrap, chance, now)` with `step(now, input) -> list[output]`, in order,
and `due`, the time at which `Due` is to be put in at the latest.  Nothing that it promises leaves before it
is on the disk: it puts out `Write`, and sends what hangs on it once `Written` has come.  The driver writes in
order."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..types import LogEntry, MemberId, Proposal

# ---- what lies on a disk ---------------------------------------------------------------------------


class Members(Row, frozen=True):
    """Who belongs to the ledger: the body of a `ledger.members` entry, and part of a snapshot.  Votes count
    by name and number; followers are told everything and never vote."""

    voters: tuple[MemberId, ...]
    followers: tuple[MemberId, ...] = ()


class HardState(Row, frozen=True):
    """What must outlive a crash beside the log: the term, and who got this member's vote in it."""

    term: int
    vote: MemberId | None = None


class Snapshot(Row, frozen=True):
    """The state machine as it stood after entry `index`; the log before may be forgotten."""

    index: int
    term: int
    members: Members
    state: bytes


@dataclass(slots=True)
class RecoveredState:
    """What a disk gave back at a start: entries follow the snapshot without a gap."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry] = field(default_factory=list)


# ---- in --------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A word of another member, from words.py."""

    sender: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class Propose:
    proposal: Proposal


@dataclass(slots=True, frozen=True)
class ReadRequest:
    """Ask for a read confirmed by a majority; `number` is the asker's, unique while it is out."""

    number: int


@dataclass(slots=True, frozen=True)
class ChangeMembers:
    """An operator's wish: add (as a follower that votes once it has learned), or take out."""

    member: MemberId
    remove: bool = False
    as_voter: bool = True


@dataclass(slots=True, frozen=True)
class WriteCompleted:
    """All `Write`s up to that number are on the disk."""

    number: int


@dataclass(slots=True, frozen=True)
class StorageFailed:
    """A write came to nothing (full, broken): nothing after the last `Written` is promised.  The member goes
    on without votes and acknowledgements until `DiskBack`; a leader steps down."""

    why: str


@dataclass(slots=True, frozen=True)
class StorageRecovered:
    pass


@dataclass(slots=True, frozen=True)
class SnapshotCompleted:
    """The driver's answer to `TakeSnapshot`: on the disk, the log up to it is forgotten there."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class Tick:
    pass


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """A leader that will end gives its place to another voter, the one named or the one furthest on; until
    then it turns proposals away, and after an election's time without success it goes on leading."""

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

# ---- out -------------------------------------------------------------------------------------------


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: MemberId
    message: Row


@dataclass(slots=True, frozen=True)
class WriteEntries:
    """To the disk, in order, then fsync, then `Written(number)`.  `cut`: entries from that index on are void
    (0: none); `ballot` None: as it was."""

    number: int
    hard_state: HardState | None = None
    truncate_from: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class ApplyEntries:
    """Apply these to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(slots=True, frozen=True)
class RestoreSnapshot:
    """Set the state machine to this, write it to the disk in place of the log, then `Snapped`."""

    snapshot: Snapshot


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """The log has grown: encode the state as it stands (at `index`), write it, then `Snapped`.  `term` and
    `members` as they are to stand in it."""

    index: int
    term: int
    members: Members


@dataclass(slots=True, frozen=True)
class ProposalRejected:
    """A proposal was not taken: `again` tells in how many tenths of a ms to return; `leader` who may take it.
    What was taken is answered by its entry in a `Commit`."""

    proposal: Proposal
    retry_after_ticks: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class ReadConfirmed:
    """That read is confirmed: the state machine at `index` or later answers it.  `ok` False: not here, ask
    `leader`."""

    number: int
    index: int
    is_confirmed: bool = True
    leader: MemberId | None = None


@dataclass(slots=True, frozen=True)
class RoleChanged:
    """The role of this member changed: "follower", "asking" (a vote before the vote), "candidate",
    "leader"."""

    role: str
    term: int
    leader: MemberId | None


@dataclass(slots=True, frozen=True)
class LogNote:
    """For the log: a JSON line."""

    event: str
    fields: dict


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
