"""What a folder gives back at a start."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..raft.interfaces import HardState, Members, RecoveredState, Snapshot
from ..types import LogEntry
from . import snapshots
from .files import FileSystem
from .records import CorruptStorageError, LogWrite, SegmentHeader, WriteBatch, read_records

SEGMENT, SNAPSHOT, PART = "log-", "book-", ".part"


def segment_name(number: int) -> str:
    return f"{SEGMENT}{number:012}"


def snapshot_name(index: int) -> str:
    return f"{SNAPSHOT}{index:012}"


@dataclass(slots=True)
class Segment:
    number: int
    path: str
    highest: int  # of the entries that it holds, or its base
    size: int = 0


@dataclass(slots=True)
class RecoveryResult:
    held: RecoveredState
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[str] = field(default_factory=list)  # paths; the last one is in force
    torn_tail: tuple[str, int] | None = None  # a file, and how many of its bytes are good
    void: list[str] = field(default_factory=list)  # segments that a later one has replaced
    follows: bool = True  # the log agrees with the snapshot, and goes on there


class RecoveredLog:
    """Entries after the snapshot, as the records tell them one after the other."""

    def __init__(self, base: int) -> None:
        self.base, self.entries = base, []

    @property
    def last(self) -> int:
        return self.entries[-1].index if self.entries else self.base

    def write(self, one: LogWrite, where: str = "in memory") -> None:
        """Raises CorruptStorageError where the entries do not follow."""
        if one.truncate_from > self.base:
            del self.entries[one.truncate_from - self.base - 1 :]
        elif one.truncate_from:  # back into a segment that a snapshot has covered since
            self.base, self.entries = one.truncate_from - 1, []
        for entry in one.entries:
            if entry.index != self.last + 1:
                raise CorruptStorageError(f"entry {entry.index} stands after {self.last}", where)
            self.entries.append(entry)

    def agrees(self, snap: Snapshot) -> bool:
        """Whether it goes on at the snapshot's end (Ongaro and Ousterhout 2014, 7)."""
        if self.base >= snap.index:
            return True
        place = snap.index - self.base - 1
        return place < len(self.entries) and self.entries[place].term == snap.term

    def after(self, snap: Snapshot) -> list[LogEntry]:
        """What follows the snapshot: all, if the log agrees with it, else nothing."""
        return self.entries[max(0, snap.index - self.base) :] if self.agrees(snap) else []


def recover(files: FileSystem, folder: str) -> RecoveryResult:
    """Reads only.  Raises OSError, CorruptStorageError."""
    names = files.list_names(folder)
    found = RecoveryResult(RecoveredState(HardState(0), Snapshot(0, 0, Members(()), b"")))
    found.snapshots = [
        f"{folder}/{name}" for name in names if name.startswith(SNAPSHOT) and not name.endswith(PART)
    ]
    if found.snapshots:
        found.held.snapshot = snapshots.decode(files.read(found.snapshots[-1]), found.snapshots[-1])
    paths = [
        (int(name[len(SEGMENT) :]), f"{folder}/{name}")
        for name in names
        if name.startswith(SEGMENT) and not name.endswith(PART)
    ]
    read: list[tuple] = []
    while paths:
        number, path = paths.pop()
        if read and number != read[0][0] - 1:
            paths.append((number, path))  # what lies before a gap was taken away, and not for good yet
            break
        data = files.read(path)
        rows, good = read_records(data, path, not read)
        if not rows or not isinstance(rows[0][1], SegmentHeader):
            raise CorruptStorageError("a segment has no beginning", path)
        if good < len(data):
            found.torn_tail = (path, good)
        read.insert(0, (number, path, rows, good))
        if rows[0][1].anew:  # a crash came before the older ones were taken away
            break
    found.void = [path for _, path in paths]
    replay(found, read)
    return found


def replay(found: RecoveryResult, read: list) -> None:
    """Replays segments in order.  Raises CorruptStorageError where they do not go back to the snapshot."""
    snap, log = found.held.snapshot, None
    if not read and snap.index:
        raise CorruptStorageError("the log is missing beside its snapshot", found.snapshots[-1])
    for number, path, rows, good in read:
        begin = rows[0][1]
        if log is None:
            if begin.base > snap.index:
                raise CorruptStorageError(
                    f"entries {snap.index + 1} to {begin.base} are missing before it", path
                )
            log = RecoveredLog(begin.base)
        elif begin.base != log.last:
            raise CorruptStorageError(
                f"it goes on after entry {begin.base}, the one before ends at {log.last}", path
            )
        highest = begin.base
        found.held.hard_state = begin.hard_state
        for at, row in rows[1:]:
            where = f"{path}, byte {at}"
            if not isinstance(row, WriteBatch):
                raise CorruptStorageError("a segment begins twice", where)
            for one in row.writes:
                log.write(one, where)
                found.held.hard_state = one.hard_state or found.held.hard_state
                highest = max(highest, log.last)
        found.segments.append(Segment(number, path, highest, good))
    if log is not None:
        found.held.entries, found.follows = log.after(snap), log.agrees(snap)
