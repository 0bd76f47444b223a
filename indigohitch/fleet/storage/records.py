"""Segments as bytes: records with checksums, and what a harmed one is taken for.  No I/O.

One group of writes is one record, and the next is begun only once that one is on the disk.  So what a crash
can leave unfinished is the last record alone: anything else that can't be read was harmed later."""

from __future__ import annotations

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
    """First in a segment.  `base`: the last entry before its first; `ballot`: as it stood, so that older
    segments can go; `anew`: what older segments say is void."""

    fleet: str
    who: MemberId
    base: int
    hard_state: HardState
    anew: bool = False


class LogWrite(Row, frozen=True):
    """A write: ports.Write without its number."""

    hard_state: HardState | None
    truncate_from: int
    entries: tuple[LogEntry, ...]


class WriteBatch(Row, frozen=True):
    """What went to the disk together."""

    writes: tuple[LogWrite, ...]


RECORDS = MessageTypes(MAGIC, 1, [SegmentHeader, WriteBatch])


class CorruptStorageError(InvalidDataError):
    """A file of a member's disk is not what was written there."""

    remedy = REMEDY


def read_records(data: bytes, where: str, last: bool) -> tuple[list[tuple[int, Row]], int]:
    """Records with their offsets, and how much of `data` is good: less than all only in the last segment,
    whose torn tail is to be cut.  Raises CorruptStorageError."""
    found, at = [], 0
    while at < len(data):
        try:
            row, end = read_record(data, at)
        except BrokenFrameError as broken:
            if not (last and is_torn_write(data, at)):
                raise CorruptStorageError(
                    f"a record can't be read: {broken.problem}", f"{where}, byte {at}"
                ) from None
            break
        found.append((at, row))
        at = end
    return found, at


def read_record(data: bytes, at: int) -> tuple[Row, int]:
    """The record that begins there, and where it ends; raises Broken."""
    if len(data) - at < HEADER_BYTES:
        raise BrokenFrameError("it ends within its head")
    protocol, number, descriptors, length, checksum = RECORDS.head(data, at)
    if descriptors:
        raise BrokenFrameError(
            "its head was changed"
        )  # records have none; the checksum does not cover their number
    end = at + HEADER_BYTES + length
    if end > len(data):
        raise BrokenFrameError(f"it ends {end - len(data)} bytes early")
    return RECORDS.body(data[at + HEADER_BYTES : end], protocol, number, checksum), end


def is_torn_write(data: bytes, at: int) -> bool:
    """Whether the bad record there may be one that a crash left unfinished: nothing was begun after it."""
    if len(data) - at < HEADER_BYTES:
        return True
    try:
        length = RECORDS.head(data, at)[3]
    except BrokenFrameError:
        pass  # its head did not all reach the disk, or was harmed
    else:
        if at + HEADER_BYTES + length < len(data):
            return False
    place = data.find(MAGIC, at + 1)
    while place >= 0:
        try:
            read_record(data, place)
            return False
        except BrokenFrameError:
            place = data.find(MAGIC, place + 1)
    return True
