"""Operators' remarks in the record: who wrote what, when, at which entry.  No I/O.

    indigohitch note FILE "east: power works until 14:00"

The last of them are kept; a chain over all tells whether two members have heard the same."""
from __future__ import annotations

from collections import deque

import msgspec

from ..errors import Unfit
from ..packed.rows import Row, digest
from .ports import At

# Remarks kept: a year of ten a day; at their longest 16 MB, as they are under 100 bytes mostly 400 KB.
KEPT = 4096
LONGEST = 4096                  # bytes of one


class Note(Row):
    text: str


class Kept(Row, frozen=True):
    index: int
    time: int                   # fleet time, tenths of a ms
    member: str
    text: str


class NotesRow(Row):
    count: int
    chain: bytes
    kept: tuple[Kept, ...]


class Notes:
    name = "notes"
    kinds = {"note": Note}

    def __init__(self) -> None:
        self.count, self.chain = 0, b""
        self.kept: deque[Kept] = deque(maxlen=KEPT)

    def apply(self, at: At, word: str, body: Note) -> int:
        """Returns how many there are; raises Unfit for one that is empty or too long."""
        if not body.text or len(body.text.encode()) > LONGEST:
            raise Unfit(f"a note of {len(body.text.encode())} bytes; 1 to {LONGEST} are taken")
        self.count += 1
        self.chain = digest(self.chain + b"%d " % at.index + body.text.encode())
        self.kept.append(Kept(at.index, at.time, at.proposer, body.text))
        return self.count

    def row(self) -> NotesRow:
        return NotesRow(self.count, self.chain, tuple(self.kept))

    def restore(self, row: bytes) -> None:
        """Raises msgspec.MsgspecError."""
        found = msgspec.msgpack.decode(row, type=NotesRow)
        self.count, self.chain = found.count, found.chain
        self.kept = deque(found.kept, KEPT)

    def figures(self) -> dict:
        """For `status`."""
        return {"notes": self.count, "chain": self.chain.hex()}
