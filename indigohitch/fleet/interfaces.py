"""Interfaces of the parts of the replicated state machine and of their works.  Types only.

A part holds replicated state; its work acts on that state in one member's process.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, TypeVar, runtime_checkable

from ..encoding.rows import Row
from .types import Lease, LogEntry, Outcome, Stamp


class EntryContext(Row, frozen=True):
    """Position, time and proposer of a log entry, for the part that applies it."""

    index: int
    term: int
    time: int  # fleet time, tenths of a ms: the same at each member
    proposer: str
    incarnation: int


class StateMachine(Protocol):
    """The state machine as its parts see it."""

    parts: Mapping[str, StateMachinePart]  # by name
    index: int  # of the last entry applied
    term: int

    @property
    def time(self) -> int:
        """Fleet time at the last entry; 0 before any was agreed on."""

    def digest(self) -> bytes:
        """Returns 16 bytes that are equal at members that have applied the same entries."""


class StateMachinePart(Protocol):
    """A part of the replicated state.

    The same entries have to lead to the same state at every member: a part uses no clock, no random numbers
    and no order of a set.  It reaches other parts by name in `state_machine.parts`.
    """

    name: str  # its entries have the kind `name.word`
    state_machine: StateMachine  # set by it; `self.state_machine.parts["members"]` is another part
    kinds: Mapping[str, type[Row]]  # by word: the row that an entry's body holds

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        """Applies an entry and returns the result for the proposer, anything that msgpack encodes.

        Raises `errors.InvalidRequestError`, before it has changed anything, if the entry can't be applied.
        """

    def row(self) -> Row:
        """Returns the state to put into a snapshot; equal states have to encode to equal bytes."""

    def restore(self, row: bytes) -> None:
        """Restores the state from the msgpack of what `row` returned.

        `row` may come from this version of the program, or from one older or newer by one.
        """


# A part of the state that implements one of these is called by the part `members`, while that applies the
# entry that causes the event.


@runtime_checkable
class MemberJoinedListener(Protocol):
    """A part that is notified when a member starts a new incarnation."""

    def on_member_joined(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Handles a new incarnation, whose state is still being compared and which may not act yet."""


@runtime_checkable
class MemberEvictedListener(Protocol):
    """A part that is notified when a member is evicted, before its lease has expired."""

    def on_member_evicted(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Handles an eviction: the lease is not renewed any more, but may still run."""


@runtime_checkable
class LeaseEndedListener(Protocol):
    """A part that has to know when a lease ended, before others free what the member held."""

    def on_member_lease_ended(self, at: EntryContext, name: str, incarnation: int, when: int) -> None:
        """Called before `on_member_lease_expired`; `when`: fleet time when the lease had run out, or 0."""


@runtime_checkable
class LeaseExpiredListener(Protocol):
    """A part that frees what an incarnation held."""

    def on_member_lease_expired(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Frees all of that incarnation: its lease has certainly run out, or the member left by itself."""


@runtime_checkable
class ConvergenceListener(Protocol):
    """A part that waits until changes are in force at every member that may act."""

    def on_change_converged(
        self, at: EntryContext, version: int, taken: tuple[tuple[str, int, int], ...]
    ) -> None:
        """Handles that all changes up to `version` are in force; `taken`: see membership.entries.InForce."""


ListenerT = TypeVar("ListenerT")


def listeners(parts: Mapping[str, StateMachinePart], kind: type[ListenerT]) -> list[ListenerT]:
    """Returns the parts that implement the listener type `kind`, in the order of `parts`."""
    return [part for part in parts.values() if isinstance(part, kind)]


class ActionRecorder(Protocol):
    """Stamps and records every action that leaves a process (fleet/audit).

    Such actions are an order to the relay, a seat given or taken back, a piece of a batch released.
    """

    def stamp(self, now: int, kind: str, about: bytes) -> Stamp | None:
        """Records an action in the chain of this process and returns its stamp.

        `kind`: such as `seats.given`; `about`: what the action is about.  Returns None while this member may
        not act, because it has no lease or its state differs from that of the others.
        """


class ProposalRequest(Row, frozen=True):
    """A proposal that a part's work asks the process to make.  `tag` comes back with its outcome."""

    kind: str
    body: Row
    tag: str = ""


class Work(Protocol):
    """What a part does in one member's process.  No I/O.

    The process calls it.  Each call returns the proposals that the process is to make.
    """

    name: str

    def applied(self, now: int, entry: LogEntry, outcome: Outcome) -> list[ProposalRequest]:
        """Handles an entry that the state machine of this process has applied.

        Entries that a restored snapshot covers are not passed on; `restored` is called instead.
        """

    def restored(self, now: int) -> list[ProposalRequest]:
        """Reads the state anew: the state machine was set to a snapshot, or recovered from the disk."""

    def turn(self, now: int, lease: Lease | None) -> list[ProposalRequest]:
        """Runs every 100 ms and after changes; `lease`: this member's, None while it has none."""

    def answered(self, now: int, tag: str, outcome: Outcome | None) -> list[ProposalRequest]:
        """Handles the outcome of a proposal of this work.

        None: the outcome is unknown, the proposal may still take effect, and the work may request it again.
        The process sends it under the same number until its outcome is known or it has left the window.
        """

    def report(self, now: int) -> bytes:
        """Returns what the leader is sent with each renewal of this member's lease; at most a few KB."""

    def lead(self, now: int, reports: Mapping[str, bytes]) -> list[ProposalRequest]:
        """Runs every 100 ms at the leader only, and returns what it proposes for the fleet.

        `reports`: by name, the last one of each member that holds a lease.
        """

    def figures(self) -> dict:
        """Returns the figures that `status` shows, as plain JSON values."""


@runtime_checkable
class LeaseBoundWork(Protocol):
    """A work that has given out resources which end with the lease, such as a job that has a seat."""

    def has_leased_resources(self, now: int) -> bool:
        """Returns whether any resource is given out: none may be given to another before its end."""
