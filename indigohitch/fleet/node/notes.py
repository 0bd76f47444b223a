"""The part `notes` of the state machine: what operators write down for all members to see.  No I/O."""

from __future__ import annotations

from collections import deque

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext
from ..state_machine import ReplicatedStateMachine

KEPT = 4096  # some months of an operator's; what is older goes
LONGEST = 1024


class Add(Row, frozen=True):
    text: str


class NotesRow(Row):
    texts: list[tuple[int, str]]
    count: int = 0


class Notes:
    name = "notes"
    kinds = {"add": Add}
    state_machine: ReplicatedStateMachine

    def __init__(self) -> None:
        self.texts: deque[tuple[int, str]] = deque(maxlen=KEPT)  # entry, text
        self.count = 0

    def apply(self, at: EntryContext, word: str, body: Add) -> int:
        if len(body.text) > LONGEST:
            raise InvalidRequestError(f"a note of {len(body.text)} characters", remedy=f"{LONGEST} at most")
        self.texts.append((at.index, body.text))
        self.count += 1
        return self.count

    def row(self) -> NotesRow:
        return NotesRow(list(self.texts), self.count)

    def restore(self, row: bytes) -> None:
        try:
            found = msgspec.msgpack.decode(row, type=NotesRow)
        except msgspec.MsgspecError as bad:
            raise InvalidDataError(f"not notes: {bad}") from None
        self.texts, self.count = deque(found.texts, KEPT), found.count
