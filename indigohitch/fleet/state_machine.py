"""The replicated state: parts by name, entries applied in order, each proposal once.  No I/O.

Deterministic: the same entries give the same digest at every member (tests/test_fleet_state_machine.py)."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..encoding.rows import Row, digest
from ..errors import InvalidDataError, InvalidRequestError
from .interfaces import EntryContext, StateMachinePart
from .types import LogEntry, Outcome

# Proposals of one incarnation that may be out at a time, and outcomes kept to answer one that comes twice.  A
# member's works make a few a second, and a proposal is given up after some elections' time.
WINDOW = 256
FORM = 1  # of the state machine's snapshot


class ProposerState(Row):
    """What is known of one proposer: of its last incarnation only, as an older one is dead."""

    incarnation: int
    highest: int
    outcomes: dict[int, Outcome]


class StateMachineRow(Row):
    index: int
    term: int
    proposers: dict[str, ProposerState]
    parts: dict[str, bytes]
    form: int = FORM


class ReplicatedStateMachine:
    def __init__(self, parts: Iterable[StateMachinePart]) -> None:
        self.parts = {part.name: part for part in parts}
        for part in self.parts.values():
            part.state_machine = self
        self.index, self.term = 0, 0  # of the last entry applied
        self.proposers: dict[str, ProposerState] = {}

    @property
    def time(self) -> int:
        """Fleet time at the last entry; 0 before any was agreed on."""
        hours = self.parts.get("hours")
        return hours.time if hours is not None else 0

    def apply(self, entry: LogEntry) -> Outcome:
        """The next entry.  Raises ValueError for one out of turn: that is a defect of the ledger's driver."""
        if entry.index != self.index + 1:
            raise ValueError(f"entry {entry.index} after {self.index}")
        self.index, self.term = entry.index, entry.term
        if not entry.kind or entry.kind.startswith("ledger."):
            return Outcome(entry.index)
        known = self.proposers.get(entry.proposer)
        if known is None or entry.incarnation > known.incarnation:
            known = self.proposers[entry.proposer] = ProposerState(entry.incarnation, 0, {})
        if entry.incarnation < known.incarnation:
            return Outcome(entry.index, "of an incarnation that is over", b"")
        if (before := known.outcomes.get(entry.number)) is not None:
            return Outcome(before.index, before.rejection, before.result, True)
        if entry.number <= known.highest - WINDOW:
            return Outcome(entry.index, "too old: whether it took effect is not known any more")
        outcome = self.execute(entry)
        known.outcomes[entry.number] = outcome
        known.highest = max(known.highest, entry.number)
        for old in [n for n in known.outcomes if n <= known.highest - WINDOW]:
            del known.outcomes[old]
        return outcome

    def execute(self, entry: LogEntry) -> Outcome:
        name, _, word = entry.kind.partition(".")
        part = self.parts.get(name)
        kind = part.kinds.get(word) if part is not None else None
        if kind is None:
            return Outcome(entry.index, f"no such kind: {entry.kind}")
        try:
            body = msgspec.msgpack.decode(entry.body, type=kind)
        except msgspec.MsgspecError as bad:
            return Outcome(entry.index, f"{entry.kind}: {bad}")
        try:
            told = part.apply(
                EntryContext(entry.index, entry.term, self.time, entry.proposer, entry.incarnation),
                word,
                body,
            )
        except InvalidRequestError as unfit:
            return Outcome(entry.index, unfit.problem)
        return Outcome(entry.index, "", msgspec.msgpack.encode(told))

    # ---- as a whole --------------------------------------------------------------------------------

    def snapshot(self) -> bytes:
        parts = {name: msgspec.msgpack.encode(part.row()) for name, part in sorted(self.parts.items())}
        return msgspec.msgpack.encode(StateMachineRow(self.index, self.term, self.proposers, parts))

    def restore(self, data: bytes) -> None:
        """Raises Unreadable; then this state machine is of no more use."""
        try:
            row = msgspec.msgpack.decode(data, type=StateMachineRow)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not a book: {bad}") from None
        if not FORM - 1 <= row.form <= FORM + 1:
            raise InvalidDataError(
                f"a book of form {row.form}; this program reads {FORM - 1} to {FORM + 1}",
                remedy="bring this member's program up to that of the others",
            )
        self.index, self.term, self.proposers = row.index, row.term, row.proposers
        for name, part in self.parts.items():
            if name in row.parts:
                part.restore(row.parts[name])

    def digest(self) -> bytes:
        """16 bytes; equal at members that stand at the same entry."""
        return digest(self.snapshot())
