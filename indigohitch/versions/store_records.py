"""The records of a file of versions: their rows, and how they are written and read. No I/O.

A record is a frame with a checksum (encoding/frames).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ..encoding.frames import HEADER_BYTES, BrokenFrameError, MessageTypes
from ..encoding.rows import Row
from ..errors import InvalidDataError
from .tables import Root, difference
from .terms import SliceLines, Version, VersionId

MAGIC = b"IHvt"
SLICES_IN_RECORD = 20_000


class Made(Row, frozen=True):
    """A version, as slices that differ from the previous version (for the first of a file: from no lines)."""

    number: int
    parent: VersionId | None
    cause: str
    at: int
    digest: bytes
    changes: tuple[SliceLines, ...]


class More(Row, frozen=True):
    """Changes that precede those of the next Made, so that no record exceeds the size of a frame."""

    changes: tuple[SliceLines, ...]


class Named(Row, frozen=True):
    """A name for a version; number 0 removes the name."""

    name: str
    number: int


class Pinned(Row, frozen=True):
    """A pin; number 0 removes it."""

    number: int
    by: str
    at: int


class Begun(Row, frozen=True):
    """The first record of a file; `records` counts those of the snapshot that was written with it."""

    records: int


RECORDS = MessageTypes(MAGIC, 1, [Begun, Made, More, Named, Pinned])


class InvalidVersionFileError(InvalidDataError):
    """The file is damaged other than by a crash during the last write."""

    remedy = "take the file away: relays are then set whole once, and the named versions are lost"


@dataclass(slots=True, frozen=True)
class Contents:
    """What was read of a file; `valid_bytes` is where its last whole record ends."""

    rows: list[Row]
    valid_bytes: int


@dataclass(slots=True, frozen=True)
class Record:
    """One record that was read."""

    row: Row
    end: int  # where it ends in the file


def frames(rows: Iterable[Row]) -> bytes:
    """Returns the rows as encoded records."""
    return b"".join(RECORDS.frame(row) for row in rows)


def version_rows(version: Version, before: Root) -> list[Row]:
    """Returns the records of a version, as its difference from `before`."""
    changes = [
        SliceLines(slice, table.lines if table is not None else {})
        for slice, _, table in difference(before, version.root)
    ]
    rows: list[Row] = []
    while len(changes) > SLICES_IN_RECORD:
        rows.append(More(tuple(changes[:SLICES_IN_RECORD])))
        changes = changes[SLICES_IN_RECORD:]
    last = Made(
        version.number, version.parent, version.cause, version.at, version.root.digest, tuple(changes)
    )
    return [*rows, last]


def read(data: bytes, where: str) -> Contents:
    """Returns the whole records; raises InvalidVersionFileError for a bad record that is not the last one."""
    rows, at = [], 0
    while at < len(data):
        try:
            whole = record(data, at)
        except BrokenFrameError as broken:
            if record_follows(data, at):
                raise InvalidVersionFileError(broken.problem, f"{where}, byte {at}") from None
            break
        rows.append(whole.row)
        at = whole.end
    return Contents(rows, at)


def record(data: bytes, at: int) -> Record:
    """Returns the record that begins at that byte; raises BrokenFrameError."""
    if len(data) - at < HEADER_BYTES:
        raise BrokenFrameError("it ends within its head")
    protocol, kind, descriptors, length, checksum = RECORDS.decode_header(data, at)
    end = at + HEADER_BYTES + length
    if end > len(data) or descriptors:
        raise BrokenFrameError("it ends early, or its head was changed")
    return Record(RECORDS.decode_body(data[at + HEADER_BYTES : end], protocol, kind, checksum), end)


def record_follows(data: bytes, at: int) -> bool:
    """Returns whether a readable record begins after the bad one, which a crash can't have caused."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        try:
            if len(data) - at < HEADER_BYTES:
                return False
            record(data, at)
            return True
        except BrokenFrameError:
            pass
    return False
