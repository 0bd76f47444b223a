"""How the parts of the fleet meet: what the replicated state wants of a part of it, and what a member's
process wants of a part's work.  Shapes only."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, TypeVar, runtime_checkable

from ..encoding.rows import Row
from .types import Lease, LogEntry, Outcome, Stamp


class EntryContext(Row, frozen=True):
    """Where in the ledger an entry stands, for who applies it."""

    index: int
    term: int
    time: int  # fleet time, tenths of a ms: the same at each member
    proposer: str
    incarnation: int


class StateMachine(Protocol):
    """What a part sees of the state machine that it belongs to."""

    parts: Mapping[str, StateMachinePart]  # by name
    index: int  # of the last entry applied
    term: int

    @property
    def time(self) -> int:
        """Fleet time at the last entry; 0 before any was agreed on."""

    def digest(self) -> bytes:
        """16 bytes; equal at members that stand at the same entry."""


class StateMachinePart(Protocol):
    """A part of the replicated state.  It must come to the same from the same entries at every member: no
    clock, no chance, no order of a set.  Other parts are at hand by name in `state_machine.parts`."""

    name: str  # its kinds are `name.word`
    state_machine: StateMachine  # set by it; `self.state_machine.parts["members"]` is another part
    kinds: Mapping[str, type[Row]]  # by word: the row that an entry's body holds

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        """Carries the entry out and returns what the proposer is told (anything msgpack takes); raises
        `errors.Unfit`, before it has changed anything, where the entry can't be."""

    def row(self) -> Row: ...

    def restore(self, row: bytes) -> None:
        """From the msgpack of what `row` returned, this version's or one older or newer by one."""


# A part of the state that has one of these is called by the part `members`, within the entry that says so.


@runtime_checkable
class MemberJoinedListener(Protocol):
    def on_member_joined(self, at: EntryContext, name: str, incarnation: int) -> None:
        """It has a new incarnation, which is compared and may not act yet."""


@runtime_checkable
class MemberEvictedListener(Protocol):
    def on_member_evicted(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Its lease is not renewed any more, and may still run."""


@runtime_checkable
class LeaseEndedListener(Protocol):
    def on_member_lease_ended(self, at: EntryContext, name: str, incarnation: int, when: int) -> None:
        """Called before `on_member_lease_expired`; `when`: fleet time when the lease had run out, or 0."""


@runtime_checkable
class LeaseExpiredListener(Protocol):
    def on_member_lease_expired(self, at: EntryContext, name: str, incarnation: int) -> None:
        """That incarnation holds nothing any more: its lease has surely run out, or it left by itself."""


@runtime_checkable
class ConvergenceListener(Protocol):
    def on_change_converged(
        self, at: EntryContext, version: int, taken: tuple[tuple[str, int, int], ...]
    ) -> None:
        """All changes up to `version` are; `taken` as in `members.in_force`."""


ListenerT = TypeVar("ListenerT")


def listeners(parts: Mapping[str, StateMachinePart], kind: type[ListenerT]) -> list[ListenerT]:
    """Those that hear of this, in their order."""
    return [part for part in parts.values() if isinstance(part, kind)]


class ActionRecorder(Protocol):
    """Every act that leaves a process (an order to the relay, a seat given or taken back, a piece of a batch
    released) is stamped and kept here (fleet/audit)."""

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp | None:
        """The stamp of an act done now, recorded in this process' chain, `kind` as `seats.given`, `about`
        what it was about; None while this member may not act: no lease, or its state differs."""


class ProposalRequest(Row, frozen=True):
    """A proposal that a part's work asks the process to make.  `tag` comes back with its outcome."""

    kind: str
    body: Row
    tag: str = ""


class Work(Protocol):
    """A part's own work in one member's process.  No I/O: the process calls it and carries out what it
    returns. Each call returns the proposals that it wants made."""

    name: str

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """An entry has been applied to the state machine here (entries from before a snapshot are not told:
        `restored`)."""

    def restored(self, now: int) -> list[ProposalRequest]:
        """The state machine was set to a snapshot, or read from the disk: look at it anew."""

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Each beat (100 ms) and after what changed; `lease`: this member's, None while it has none."""

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """What a proposal of this work came to; None: it is not known (it may still come to something), and
        it may be wanted again: the process sends it under the same number until it is known or out of
        window."""

    def report(self, now: int) -> bytes:
        """What the leader is told with each renewal of this member's lease; at most a few KB."""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """At the leader only, each beat: what it proposes for the fleet.  `reports`: the last of each member
        that holds a lease, by name."""

    def figures(self) -> dict:
        """For `status`, as plain JSON."""


@runtime_checkable
class LeaseBoundWork(Protocol):
    """A work that has things out which end with the lease, as a job with a seat."""

    def has_leased_resources(self, now: int) -> bool:
        """Something is out: it must not be given on before its end."""
