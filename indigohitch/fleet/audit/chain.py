"""Hash chain of action records.  No I/O.

Each record holds the digest of the one before, so that a record that is changed, removed or moved is detected
by the next one.
"""

from __future__ import annotations

import msgspec

from ...encoding.rows import Row, digest
from ..types import Stamp

SALT = 0x4155  # "AU"; keeps the digests of records apart from those of other types


class Record(Row, frozen=True):
    """One action of a member."""

    previous_digest: bytes  # digest of the record before; in the first record that of member and incarnation
    stamp: Stamp
    kind: str  # such as `seats.given`
    about: bytes  # what the action is about, encoded as its kind defines
    at: int  # fleet time of the action as this member estimated it, tenths of a ms
    left: int  # how long the lease still ran then, tenths of a ms

    def digest(self) -> bytes:
        """Returns the 16-byte digest of this record, which the next one holds."""
        return digest(msgspec.msgpack.encode(self), SALT)


def root_digest(member: str, incarnation: int) -> bytes:
    """Returns the digest that the first record of a chain holds; it differs for each chain."""
    return digest(f"{member} {incarnation}".encode(), SALT)


class Chain:
    """Number and digest of the last record of one incarnation of a member."""

    def __init__(self, member: str, incarnation: int) -> None:
        self.member = member
        self.incarnation = incarnation
        self.number = 0
        self.head = root_digest(member, incarnation)

    def make_record(self, term: int, version: int, kind: str, about: bytes, at: int, left: int) -> Record:
        """Returns the record of the next action; the caller writes it, then passes it to `append`."""
        return Record(
            self.head,
            Stamp(self.member, self.incarnation, term, version, self.number + 1),
            kind,
            about,
            at,
            left,
        )

    def append(self, record: Record) -> None:
        """Makes a record that was written the last one of the chain."""
        self.number = record.stamp.number
        self.head = record.digest()
