"""Records of a segment, with checksums, and how a torn record is told from a damaged one.  No I/O.

One batch of writes is one record, and the next one is started only once that is on the disk.  So a crash can
leave only the last record incomplete: any other one that can't be read was damaged later.
"""

from __future__ import annotations

import contextlib

from ...encoding.frames import HEADER_BYTES, BrokenFrameError, MessageTypes
from ...encoding.rows import Row
from ...errors import InvalidDataError
from ..raft.interfaces import HardState
from ..types import LogEntry, MemberId

MAGIC = b"IHlg"
REMEDY = (
    "take the folder away and start the member without it: it is admitted anew under a new number; "
    "the others hold what it held"
)


class SegmentHeader(Row, frozen=True):
    """First record of a segment.

    `base`: index of the last entry before the segment; `hard_state`: the one in force when the segment was
    created, so that older segments can be removed; `replaces_all`: older segments are void.
    """

    fleet: str
    member: MemberId
    base: int
    hard_state: HardState
    replaces_all: bool = False


class LogWrite(Row, frozen=True):
    """A write to the log: `WriteEntries` without its number."""

    hard_state: HardState | None
    truncate_from: int
    entries: tuple[LogEntry, ...]


class WriteBatch(Row, frozen=True):
    """Writes that were written with one fsync."""

    writes: tuple[LogWrite, ...]


RECORDS = MessageTypes(MAGIC, 1, [SegmentHeader, WriteBatch])


class CorruptStorageError(InvalidDataError):
    """A file of a member's storage is damaged or missing."""

    remedy = REMEDY


def read_records(data: bytes, where: str, is_last: bool) -> tuple[list[tuple[int, Row]], int]:
    """Returns the records with their offsets, and how many bytes of `data` are good.

    Only the last segment can have fewer good bytes than all: its torn tail is to be cut.  Raises
    CorruptStorageError for any other record that can't be read.
    """
    records: list[tuple[int, Row]] = []
    offset = 0
    while offset < len(data):
        try:
            row, end = read_record(data, offset)
        except BrokenFrameError as broken:
            if not (is_last and is_torn_write(data, offset)):
                raise CorruptStorageError(
                    f"record can't be read: {broken.problem}", f"{where}, byte {offset}"
                ) from None
            break
        records.append((offset, row))
        offset = end
    return records, offset


def read_record(data: bytes, offset: int) -> tuple[Row, int]:
    """Returns the record at `offset`, and where it ends; raises BrokenFrameError."""
    if len(data) - offset < HEADER_BYTES:
        raise BrokenFrameError("its header is incomplete")
    protocol, number, descriptors, length, checksum = RECORDS.decode_header(data, offset)
    if descriptors:  # records have none, and the checksum does not cover this field
        raise BrokenFrameError("its header is damaged")
    end = offset + HEADER_BYTES + length
    if end > len(data):
        raise BrokenFrameError(f"its last {end - len(data)} bytes are missing")
    return RECORDS.decode_body(data[offset + HEADER_BYTES : end], protocol, number, checksum), end


def is_torn_write(data: bytes, offset: int) -> bool:
    """Returns whether a crash may have left the bad record at `offset` incomplete: no record follows it."""
    if len(data) - offset < HEADER_BYTES:
        return True
    with contextlib.suppress(BrokenFrameError):  # its header is incomplete or damaged
        length = RECORDS.decode_header(data, offset)[3]
        if offset + HEADER_BYTES + length < len(data):
            return False
    next_magic = data.find(MAGIC, offset + 1)
    while next_magic >= 0:
        try:
            read_record(data, next_magic)
        except BrokenFrameError:
            next_magic = data.find(MAGIC, next_magic + 1)
        else:
            return False
    return True
