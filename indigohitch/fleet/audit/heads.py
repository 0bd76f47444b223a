"""The state machine part `audit`: heads of all chains, and the roster's history for the check of records.

As the heads are replicated, records in a member's folder can't be rewritten without being detected.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..state_machine import ReplicatedStateMachine

# Incarnations of a member whose last head is kept, and changes in force that are kept: with few actions in
# each, their records can still be in a folder.  Older ones are not checked any more.
MAX_HISTORY = 64
# Contradictions between heads that are kept; each is a reason to investigate at once, and the first ones tell
# the most.
MAX_CONTRADICTIONS = 64
FORMAT_VERSION = 1


class Head(Row, frozen=True):
    """States, by a member itself, how far its chain is synced to its disk, and which records it keeps."""

    member: str
    incarnation: int
    number: int  # of the last synced record
    digest: bytes  # of that record
    first: int = 1  # number of the first record kept of this chain
    oldest: int = 0  # oldest incarnation of which any record is kept


class KnownIncarnation(Row):
    """What is known of one incarnation: its last head, and the log entries of its end (0: not yet)."""

    incarnation: int
    number: int = 0
    digest: bytes = b""
    first: int = 1  # number of the first record that the folder must still hold
    evicted_index: int = 0  # of the log entry that evicted it
    lease_ended_index: int = 0  # index of the log entry that ended its lease
    lease_ended_at: int = 0  # fleet time by which its lease had run out, by the leader's clock


class ConvergedChange(Row):
    """A change that has come into force."""

    version: int
    index: int  # of the log entry that put it into force
    taken: tuple[
        tuple[str, int, int], ...
    ]  # members and their action counts, as in membership.entries.InForce


class AuditState(Row):
    """The state of this part, for check.py and for snapshots."""

    incarnations: dict[str, list[KnownIncarnation]]  # by member; incarnations in order
    converged_changes: list[ConvergedChange]
    contradictions: list[tuple[Head, Head]]  # the known head, and a later one that contradicts it
    format_version: int = FORMAT_VERSION


class Heads:
    """Holds the last head of each chain, and when incarnations ended and changes came into force."""

    name = "audit"
    kinds: Mapping[str, type[Row]] = {"head": Head}
    state_machine: ReplicatedStateMachine

    def __init__(self) -> None:
        self.facts = AuditState({}, [], [])

    def find_or_add(self, name: str, incarnation: int) -> KnownIncarnation:
        """Returns what is known of an incarnation, adding a new one; drops the oldest beyond a limit."""
        incarnations = self.facts.incarnations.setdefault(name, [])
        for known in reversed(incarnations):
            if known.incarnation == incarnation:
                return known
        incarnations.append(KnownIncarnation(incarnation))
        incarnations.sort(key=lambda known: known.incarnation)
        del incarnations[:-MAX_HISTORY]
        return incarnations[-1]

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        """Applies the head of a member; returns "" if it was accepted, else why not.

        A head that contradicts the known one is kept in `contradictions`.  Raises InvalidRequestError if
        another member proposed the head, or if its incarnation has ended.
        """
        head = body
        if (at.proposer, at.incarnation) != (head.member, head.incarnation):
            raise InvalidRequestError("a head is told by its own member")
        known = self.find_or_add(head.member, head.incarnation)
        if known.lease_ended_index:
            raise InvalidRequestError(f"{head.member} {head.incarnation} is gone")
        if head.number > known.number:
            known.number = head.number
            known.digest = head.digest
            known.first = max(known.first, head.first)
            self.facts.incarnations[head.member] = [
                one for one in self.facts.incarnations[head.member] if one.incarnation >= head.oldest
            ]
            return ""
        if head.number == known.number and head.digest == known.digest:
            return ""
        if len(self.facts.contradictions) < MAX_CONTRADICTIONS:
            self.facts.contradictions.append(
                (Head(head.member, head.incarnation, known.number, known.digest), head)
            )
        return f"contradicts the head of {known.number}"

    # ---- listeners of the roster -------------------------------------------------------------------

    def on_member_joined(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Adds the incarnation."""
        self.find_or_add(name, incarnation)

    def on_member_evicted(self, at: EntryContext, name: str, incarnation: int) -> None:
        """Stores the index of the eviction; actions based on that entry or a later one are violations."""
        self.find_or_add(name, incarnation).evicted_index = at.index

    def on_member_lease_ended(self, at: EntryContext, name: str, incarnation: int, when: int) -> None:
        """Stores that the lease had run out by fleet time `when`; further heads are rejected."""
        known = self.find_or_add(name, incarnation)
        known.lease_ended_index = at.index
        known.lease_ended_at = when

    def on_change_converged(
        self, at: EntryContext, version: int, taken: tuple[tuple[str, int, int], ...]
    ) -> None:
        """Stores a change in force, from which on actions based on an older version are violations."""
        self.facts.converged_changes.append(ConvergedChange(version, at.index, taken))
        del self.facts.converged_changes[:-MAX_HISTORY]

    def row(self) -> AuditState:
        """Returns the state for a snapshot."""
        return self.facts

    def restore(self, row: bytes) -> None:
        """Restores the state from a snapshot; raises InvalidDataError if it can't be decoded."""
        try:
            self.facts = msgspec.msgpack.decode(row, type=AuditState)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"invalid snapshot of the part `audit`: {error}") from None
