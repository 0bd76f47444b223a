"""The state machine part `notes`: texts that operators add and every member can read.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..state_machine import ReplicatedStateMachine

MAX_NOTES = 4096  # some months of notes; older ones are dropped
MAX_CHARACTERS = 1024


class Add(Row, frozen=True):
    """An entry that adds a note."""

    text: str


class NotesRow(Row):
    """A snapshot of the notes, each with the index of its entry; `count` includes dropped notes."""

    texts: list[tuple[int, str]]
    count: int = 0


class Notes:
    """Keeps the last notes (interfaces.StateMachinePart)."""

    name = "notes"
    kinds: Mapping[str, type[Row]] = {"add": Add}
    state_machine: ReplicatedStateMachine

    def __init__(self) -> None:
        """Creates a part without notes."""
        self.texts: deque[tuple[int, str]] = deque(maxlen=MAX_NOTES)  # index of the entry, text
        self.count = 0

    def apply(self, at: EntryContext, word: str, body: Add) -> int:
        """Adds a note and returns how many were ever added; raises InvalidRequestError if it is too long."""
        if len(body.text) > MAX_CHARACTERS:
            raise InvalidRequestError(
                f"a note of {len(body.text)} characters", remedy=f"{MAX_CHARACTERS} at most"
            )
        self.texts.append((at.index, body.text))
        self.count += 1
        return self.count

    def row(self) -> NotesRow:
        """Returns a snapshot of the notes."""
        return NotesRow(list(self.texts), self.count)

    def restore(self, row: bytes) -> None:
        """Restores an encoded snapshot; raises InvalidDataError if it can't be decoded."""
        try:
            snapshot = msgspec.msgpack.decode(row, type=NotesRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"not notes: {error}") from None
        self.texts = deque(snapshot.texts, MAX_NOTES)
        self.count = snapshot.count
