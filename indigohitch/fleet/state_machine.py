"""The replicated state machine: it applies entries in order to its parts, each proposal once.  No I/O.

It is deterministic: the same entries give the same digest at every member
(tests/test_fleet_state_machine.py).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..encoding.rows import Row, digest
from ..errors import InvalidDataError, InvalidRequestError
from .interfaces import EntryContext, StateMachinePart
from .types import LogEntry, Outcome

# How many proposals of one incarnation may be pending at a time, and how many outcomes are kept to answer
# duplicates.  The works of a member make a few proposals a second, and a proposal is given up after the time
# that some elections take.
WINDOW = 256
FORMAT_VERSION = 1  # version of the encoding of snapshots


class ProposerState(Row):
    """Outcomes of one proposer's proposals: of its last incarnation only, as older ones have ended."""

    incarnation: int
    highest: int  # proposal number
    outcomes: dict[int, Outcome]  # by proposal number, within `WINDOW` of the highest


class StateMachineRow(Row):
    """A snapshot of the state machine; `parts` holds the msgpack of each part's row."""

    index: int
    term: int
    proposers: dict[str, ProposerState]
    parts: dict[str, bytes]
    form: int = FORMAT_VERSION


class ReplicatedStateMachine:
    """The state of one member after entry `index`; it starts empty."""

    def __init__(self, parts: Iterable[StateMachinePart]) -> None:
        self.parts = {part.name: part for part in parts}
        for part in self.parts.values():
            part.state_machine = self
        self.index = 0  # of the last entry applied
        self.term = 0  # of that entry
        self.proposers: dict[str, ProposerState] = {}

    @property
    def time(self) -> int:
        """Fleet time at the last entry; 0 before any was agreed on."""
        fleet_clock = self.parts.get("hours")
        return fleet_clock.time if fleet_clock is not None else 0

    def apply(self, entry: LogEntry) -> Outcome:
        """Applies the next entry and returns its outcome, that of the first time for a duplicate.

        Raises ValueError for an entry that is not the next one, which is a defect of the log's driver.
        """
        if entry.index != self.index + 1:
            raise ValueError(f"entry {entry.index} does not follow the last applied entry {self.index}")
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
        """Has the entry applied by its part; a kind or body that is unknown or invalid is rejected.

        The texts of rejections are part of the replicated state: all members need the same ones.
        """
        name, _, word = entry.kind.partition(".")
        part = self.parts.get(name)
        kind = part.kinds.get(word) if part is not None else None
        if kind is None:
            return Outcome(entry.index, f"no such kind: {entry.kind}")
        try:
            body = msgspec.msgpack.decode(entry.body, type=kind)
        except msgspec.MsgspecError as error:
            return Outcome(entry.index, f"{entry.kind}: {error}")
        try:
            result = part.apply(
                EntryContext(entry.index, entry.term, self.time, entry.proposer, entry.incarnation),
                word,
                body,
            )
        except InvalidRequestError as error:
            return Outcome(entry.index, error.problem)
        return Outcome(entry.index, "", msgspec.msgpack.encode(result))

    # ---- snapshots ---------------------------------------------------------------------------------

    def snapshot(self) -> bytes:
        """Returns the whole state as msgpack, from which `restore` makes an equal state machine."""
        parts = {name: msgspec.msgpack.encode(part.row()) for name, part in sorted(self.parts.items())}
        return msgspec.msgpack.encode(StateMachineRow(self.index, self.term, self.proposers, parts))

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot; a part that the snapshot lacks keeps its state.

        Raises InvalidDataError; then this state machine must not be used any more.
        """
        try:
            row = msgspec.msgpack.decode(data, type=StateMachineRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"state machine snapshot can't be decoded: {error}") from None
        if not FORMAT_VERSION - 1 <= row.form <= FORMAT_VERSION + 1:
            raise InvalidDataError(
                f"state machine snapshot has version {row.form}; "
                f"this program reads {FORMAT_VERSION - 1} to {FORMAT_VERSION + 1}",
                remedy="update this member's program to the version of the others",
            )
        self.index = row.index
        self.term = row.term
        self.proposers = row.proposers
        for name, part in self.parts.items():
            if name in row.parts:
                part.restore(row.parts[name])

    def digest(self) -> bytes:
        """Returns 16 bytes that are equal at members that have applied the same entries."""
        return digest(self.snapshot())
