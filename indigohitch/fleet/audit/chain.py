"""A chain of records: each holds the digest of the one before, so that none is changed, taken out or put
elsewhere without the next telling.  No I/O."""

from __future__ import annotations

import msgspec

from ...encoding.rows import Row, digest
from ..types import Stamp

SALT = 0x4155  # "AU": a record's digest is never taken for another thing's


class Record(Row, frozen=True):
    """One act.  `at`: when, by the actor's reckoning; `left`: of its lease then."""

    before: bytes  # digest of the record before; of the first: `root`
    stamp: Stamp
    kind: str  # as `seats.given`
    about: bytes
    at: int
    left: int

    def digest(self) -> bytes:
        return digest(msgspec.msgpack.encode(self), SALT)


def root(member: str, incarnation: int) -> bytes:
    """What the first record of a chain holds: no chain begins as another one does."""
    return digest(f"{member} {incarnation}".encode(), SALT)


class Chain:
    """That of one incarnation."""

    def __init__(self, member: str, incarnation: int) -> None:
        self.member = member
        self.incarnation = incarnation
        self.number = 0
        self.head = root(member, incarnation)

    def next(self, term: int, version: int, kind: str, about: bytes, at: int, left: int) -> Record:
        """The record of an act to come; it belongs to the chain once it is written: `take`."""
        return Record(
            self.head,
            Stamp(self.member, self.incarnation, term, version, self.number + 1),
            kind,
            about,
            at,
            left,
        )

    def take(self, record: Record) -> None:
        self.number = record.stamp.number
        self.head = record.digest()
