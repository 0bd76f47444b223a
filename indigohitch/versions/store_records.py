"""The records of a file of versions: their rows, and how they are written and read.  No I/O.

A record is a frame with a checksum (packed/frames)."""

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
    """A version, as slices that differ from those of the version before it (in a file's first: from none)."""

    number: int
    parent: VersionId | None
    cause: str
    at: int
    digest: bytes
    changes: tuple[SliceLines, ...]


class More(Row, frozen=True):
    """Changes that come before those of the next Made: no record is larger than a frame takes."""

    changes: tuple[SliceLines, ...]


class Named(Row, frozen=True):
    """Number 0 takes the name away."""

    name: str
    number: int


class Pinned(Row, frozen=True):
    """Number 0: unpinned."""

    number: int
    by: str
    at: int


class Begun(Row, frozen=True):
    """First in a file; `records`: of the snapshot that follows, which was written with it."""

    records: int


RECORDS = MessageTypes(MAGIC, 1, [Begun, Made, More, Named, Pinned])


class Harmed(InvalidDataError):
    remedy = "take the file away: relays are then set whole once, and the named versions are lost"


@dataclass(slots=True, frozen=True)
class Contents:
    """What was read of a file; `good`: the bytes up to the end of the last whole record."""

    rows: list[Row]
    good: int


@dataclass(slots=True, frozen=True)
class Record:
    row: Row
    end: int  # where it ends in the file


def frames(rows: Iterable[Row]) -> bytes:
    return b"".join(RECORDS.frame(row) for row in rows)


def version_rows(version: Version, before: Root) -> list[Row]:
    """The records of a version, as its difference from `before`."""
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
    """Raises Harmed for a bad record that is not the last one."""
    rows, at = [], 0
    while at < len(data):
        try:
            found = record(data, at)
        except BrokenFrameError as broken:
            if record_follows(data, at):
                raise Harmed(broken.problem, f"{where}, byte {at}") from None
            break
        rows.append(found.row)
        at = found.end
    return Contents(rows, at)


def record(data: bytes, at: int) -> Record:
    """The one that begins there; raises Broken."""
    if len(data) - at < HEADER_BYTES:
        raise BrokenFrameError("it ends within its head")
    protocol, kind, descriptors, length, checksum = RECORDS.decode_header(data, at)
    end = at + HEADER_BYTES + length
    if end > len(data) or descriptors:
        raise BrokenFrameError("it ends early, or its head was changed")
    return Record(RECORDS.decode_body(data[at + HEADER_BYTES : end], protocol, kind, checksum), end)


def record_follows(data: bytes, at: int) -> bool:
    """Whether a record that can be read begins after the bad one: then it was no crash."""
    while (at := data.find(MAGIC, at + 1)) >= 0:
        try:
            if len(data) - at < HEADER_BYTES:
                return False
            record(data, at)
            return True
        except BrokenFrameError:
            pass
    return False
