"""Recovery of the log and the latest snapshot from the files in a folder, when the process starts."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...encoding.rows import Row
from ..raft.interfaces import HardState, Members, RecoveredState, Snapshot
from ..types import LogEntry
from . import snapshots
from .files import FileSystem
from .records import CorruptStorageError, LogWrite, SegmentHeader, WriteBatch, read_records

# Names of files in the folder; a file with the suffix was being written when a crash came.
SEGMENT_PREFIX = "log-"
SNAPSHOT_PREFIX = "book-"
PARTIAL_SUFFIX = ".part"


def segment_name(number: int) -> str:
    """Returns the file name of a segment."""
    return f"{SEGMENT_PREFIX}{number:012}"


def snapshot_name(index: int) -> str:
    """Returns the file name of a snapshot."""
    return f"{SNAPSHOT_PREFIX}{index:012}"


@dataclass(slots=True)
class Segment:
    """A segment on the disk.

    `highest`: the highest index of an entry in it, also of a truncated one, or its base; `size`: in bytes.
    """

    number: int
    path: str
    highest: int
    size: int = 0


@dataclass(slots=True)
class RecoveryResult:
    """The recovered state, and the files that it was read from.

    `snapshots`: paths, the last one is the latest; `torn_tail`: path of a segment, and how many of its bytes
    are good; `void`: paths of segments that a later one has replaced; `follows`: the log continues the
    snapshot.
    """

    recovered_state: RecoveredState
    segments: list[Segment] = field(default_factory=list)
    snapshots: list[str] = field(default_factory=list)
    torn_tail: tuple[str, int] | None = None
    void: list[str] = field(default_factory=list)
    follows: bool = True


@dataclass(slots=True)
class SegmentContent:
    """Content of a segment: its records with their offsets, and in `size` how many bytes are good."""

    number: int
    path: str
    rows: list[tuple[int, Row]]
    size: int

    @property
    def header(self) -> SegmentHeader:
        """The first record; raises CorruptStorageError if it is not a header."""
        if not self.rows or not isinstance(self.rows[0][1], SegmentHeader):
            raise CorruptStorageError("segment has no header", self.path)
        return self.rows[0][1]


class RecoveredLog:
    """The entries after index `base`, to which writes are applied in order."""

    def __init__(self, base: int) -> None:
        self.base = base
        self.entries: list[LogEntry] = []

    @property
    def last(self) -> int:
        """Index of the last entry, or `base` if there is none."""
        return self.entries[-1].index if self.entries else self.base

    def write(self, write: LogWrite, where: str = "in memory") -> None:
        """Applies a write; raises CorruptStorageError if its entries do not continue the log."""
        if write.truncate_from > self.base:
            del self.entries[write.truncate_from - self.base - 1 :]
        elif write.truncate_from:  # it truncates entries that a later snapshot covers
            self.base = write.truncate_from - 1
            self.entries = []
        for entry in write.entries:
            if entry.index != self.last + 1:
                raise CorruptStorageError(f"entry {entry.index} follows entry {self.last}", where)
            self.entries.append(entry)

    def agrees(self, snapshot: Snapshot) -> bool:
        """Returns whether the log continues the snapshot (Ongaro and Ousterhout 2014, section 7)."""
        if self.base >= snapshot.index:
            return True
        position = snapshot.index - self.base - 1
        return position < len(self.entries) and self.entries[position].term == snapshot.term

    def after(self, snapshot: Snapshot) -> list[LogEntry]:
        """Returns the entries after the snapshot if the log continues it, else none."""
        return self.entries[max(0, snapshot.index - self.base) :] if self.agrees(snapshot) else []


def recover(files: FileSystem, folder: str) -> RecoveryResult:
    """Reads a folder without changing it; raises OSError, CorruptStorageError."""
    names = [name for name in files.list_names(folder) if not name.endswith(PARTIAL_SUFFIX)]
    result = RecoveryResult(RecoveredState(HardState(0), Snapshot(0, 0, Members(()), b"")))
    result.snapshots = [f"{folder}/{name}" for name in names if name.startswith(SNAPSHOT_PREFIX)]
    if result.snapshots:
        path = result.snapshots[-1]
        result.recovered_state.snapshot = snapshots.decode(files.read(path), path)
    paths = [
        (int(name[len(SEGMENT_PREFIX) :]), f"{folder}/{name}")
        for name in names
        if name.startswith(SEGMENT_PREFIX)
    ]
    contents = _read_segments(files, paths, result)
    _replay(result, contents)
    return result


def _read_segments(
    files: FileSystem, paths: list[tuple[int, str]], result: RecoveryResult
) -> list[SegmentContent]:
    """Returns the segments that are not void in order; reads them from the last one back."""
    contents: list[SegmentContent] = []
    while paths:
        number, path = paths.pop()
        if contents and number != contents[0].number - 1:
            paths.append((number, path))  # a crash interrupted the removal of those before the gap
            break
        data = files.read(path)
        rows, size = read_records(data, path, not contents)
        content = SegmentContent(number, path, rows, size)
        header = content.header
        if size < len(data):
            result.torn_tail = (path, size)
        contents.insert(0, content)
        if header.replaces_all:  # a crash came before older ones were removed
            break
    result.void = [path for _, path in paths]
    return contents


def _replay(result: RecoveryResult, contents: list[SegmentContent]) -> None:
    """Replays segments in order; raises CorruptStorageError if entries after the snapshot are missing."""
    state = result.recovered_state
    snapshot = state.snapshot
    log: RecoveredLog | None = None
    if not contents and snapshot.index:
        raise CorruptStorageError("the snapshot is present, but its log is missing", result.snapshots[-1])
    for content in contents:
        base = content.header.base
        if log is None:
            if base > snapshot.index:
                raise CorruptStorageError(
                    f"entries {snapshot.index + 1} to {base} before this segment are missing", content.path
                )
            log = RecoveredLog(base)
        elif base != log.last:
            raise CorruptStorageError(
                f"segment starts after entry {base}, but the previous one ends with entry {log.last}",
                content.path,
            )
        result.segments.append(_replay_segment(content, log, state))
    if log is not None:
        state.entries = log.after(snapshot)
        result.follows = log.agrees(snapshot)


def _replay_segment(content: SegmentContent, log: RecoveredLog, state: RecoveredState) -> Segment:
    highest = content.header.base
    state.hard_state = content.header.hard_state
    for offset, row in content.rows[1:]:
        where = f"{content.path}, byte {offset}"
        if not isinstance(row, WriteBatch):
            raise CorruptStorageError("segment has a second header", where)
        for write in row.writes:
            log.write(write, where)
            state.hard_state = write.hard_state or state.hard_state
            highest = max(highest, log.last)
    return Segment(content.number, content.path, highest, content.size)
