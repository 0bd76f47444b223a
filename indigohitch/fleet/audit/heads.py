"""The heads of all chains in the ledger, and what the check of the records needs of the roster's history.  A
part of the state machine: what lies in a member's folder can't be written anew unseen."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..state_machine import ReplicatedStateMachine

# Incarnations of a name whose last head is kept, and changes in force: those whose records can still lie in a
# folder with few acts in each.  What is older is not judged any more.
KEPT = 64
# Heads that contradict one another; each is a reason to look at once, and the first ones tell the most.
EVIDENCE = 64
FORM = 1


class Head(Row, frozen=True):
    """By the member itself: its chain has come to `number`, on its disk, with that digest.  Of this chain it
    keeps the records from `first` on, and no chain before that of incarnation `oldest`."""

    member: str
    incarnation: int
    number: int
    digest: bytes
    first: int = 1
    oldest: int = 0


class Kept(Row):
    """One incarnation: its last head, and at which entries it began and ended to count (0: not yet)."""

    incarnation: int
    number: int = 0
    digest: bytes = b""
    first: int = 1  # of the records that must still lie there
    shut_out: int = 0
    gone: int = 0
    gone_at: int = 0  # when the leader took its lease to have run out


class Held(Row):
    """A change in force: the entry that said so, and who had stamped how many acts when it had taken it."""

    version: int
    index: int
    taken: tuple[tuple[str, int, int], ...]


class Facts(Row):
    """Of the ledger, for check.py; also what this part's snapshot holds."""

    kept: dict[str, list[Kept]]
    held: list[Held]
    evidence: list[tuple[Head, Head]]  # known, told later
    form: int = FORM


class Heads:
    name = "audit"
    kinds: Mapping[str, type[Row]] = {"head": Head}
    state_machine: ReplicatedStateMachine

    def __init__(self) -> None:
        self.facts = Facts({}, [], [])

    def of(self, name: str, incarnation: int) -> Kept:
        lives = self.facts.kept.setdefault(name, [])
        for kept in reversed(lives):
            if kept.incarnation == incarnation:
                return kept
        lives.append(Kept(incarnation))
        lives.sort(key=lambda kept: kept.incarnation)
        del lives[:-KEPT]
        return lives[-1]

    def apply(self, at: EntryContext, word: str, body: Row) -> object:
        """Told: "" where the head was taken, else why not; that it contradicts is kept."""
        head = body
        if (at.proposer, at.incarnation) != (head.member, head.incarnation):
            raise InvalidRequestError("a head is told by its own member")
        kept = self.of(head.member, head.incarnation)
        if kept.gone:
            raise InvalidRequestError(f"{head.member} {head.incarnation} is gone")
        if head.number > kept.number:
            kept.number = head.number
            kept.digest = head.digest
            kept.first = max(kept.first, head.first)
            self.facts.kept[head.member] = [
                one for one in self.facts.kept[head.member] if one.incarnation >= head.oldest
            ]
            return ""
        if head.number == kept.number and head.digest == kept.digest:
            return ""
        if len(self.facts.evidence) < EVIDENCE:
            self.facts.evidence.append((Head(head.member, head.incarnation, kept.number, kept.digest), head))
        return f"contradicts the head of {kept.number}"

    # ---- what the roster tells -----------------------------------------------------------------------

    def on_member_joined(self, at: EntryContext, name: str, incarnation: int) -> None:
        self.of(name, incarnation)

    def on_member_evicted(self, at: EntryContext, name: str, incarnation: int) -> None:
        self.of(name, incarnation).shut_out = at.index

    def on_member_lease_ended(self, at: EntryContext, name: str, incarnation: int, when: int) -> None:
        kept = self.of(name, incarnation)
        kept.gone = at.index
        kept.gone_at = when

    def on_change_converged(
        self, at: EntryContext, version: int, taken: tuple[tuple[str, int, int], ...]
    ) -> None:
        self.facts.held.append(Held(version, at.index, taken))
        del self.facts.held[:-KEPT]

    def row(self) -> Facts:
        return self.facts

    def restore(self, row: bytes) -> None:
        try:
            self.facts = msgspec.msgpack.decode(row, type=Facts)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not the heads of an audit: {bad}") from None
