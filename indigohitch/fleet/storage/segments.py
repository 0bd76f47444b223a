"""The segments of the write-ahead log on the disk.  Called from the storage thread, one call at a time.

A segment is created atomically with its first record, before anything is appended, so the first record is
never torn.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator

import msgspec

from ..raft.interfaces import HardState, Snapshot
from ..types import LogEntry, MemberId
from . import snapshots
from .files import FileSystem
from .records import RECORDS, LogWrite, SegmentHeader, WriteBatch
from .recovery import Segment, segment_name, snapshot_name

# Size at which a segment is followed by a new one: large enough that creating one, which takes two more
# fsyncs, is rare; small enough that few entries remain on the disk after a snapshot that covers them.
SEGMENT_BYTES = 4 << 20
# Size of the entries in one record: an eighth of the limit of a frame, so that one larger entry still fits.
MAX_BATCH_BYTES = 1 << 20
ENTRY_OVERHEAD_BYTES = 64  # size of the other fields of an entry, rounded up


def entry_size(entry: LogEntry) -> int:
    """Returns the approximate size of an encoded entry in bytes."""
    return len(entry.body) + ENTRY_OVERHEAD_BYTES + len(entry.kind) + len(entry.proposer)


def batch_writes(writes: Iterable[LogWrite]) -> Iterator[WriteBatch]:
    """Groups writes, in order, into as few records as `MAX_BATCH_BYTES` allows.

    A write that is too large for one record is split; its hard state and truncation go into the first part.
    """
    pending: list[LogWrite] = []
    size = 0
    for write in writes:
        rest = write
        part: list[LogEntry] = []
        for entry in write.entries:
            if part and size + entry_size(entry) > MAX_BATCH_BYTES:
                yield WriteBatch((*pending, LogWrite(rest.hard_state, rest.truncate_from, tuple(part))))
                rest = LogWrite(None, 0, ())
                pending = []
                part = []
                size = 0
            part.append(entry)
            size += entry_size(entry)
        pending.append(msgspec.structs.replace(rest, entries=tuple(part)))
        if size > MAX_BATCH_BYTES:
            yield WriteBatch(tuple(pending))
            pending = []
            size = 0
    if pending:
        yield WriteBatch(tuple(pending))


class Segments:
    """Writes segments and snapshots of one member; `found` and `snapshot_paths` were there at the start."""

    def __init__(
        self,
        files: FileSystem,
        folder: str,
        fleet: str,
        member: MemberId,
        found: list[Segment],
        snapshot_paths: list[str],
        size: int = SEGMENT_BYTES,
    ) -> None:
        self.files = files
        self.folder = folder
        self.fleet = fleet
        self.member = member
        self.size = size
        self.segments = found
        self.snapshot_paths = snapshot_paths
        self.fd = -1
        self.hard_state = HardState(0)  # according to the records written so far
        self.last = 0

    def open(self, hard_state: HardState, last: int) -> None:
        """Continues the recovered log, whose last entry has index `last`; raises OSError."""
        self.hard_state = hard_state
        self.last = last
        if self.segments:
            self.fd = self.files.open_for_append(self.segments[-1].path)
        else:
            self._create_segment(b"", self.last)

    def _create_segment(self, records: bytes, base: int, replaces_all: bool = False) -> None:
        number = self.segments[-1].number + 1 if self.segments else 1
        path = f"{self.folder}/{segment_name(number)}"
        header = SegmentHeader(self.fleet, self.member, base, self.hard_state, replaces_all)
        data = RECORDS.frame(header) + records
        self.files.write_atomically(path, data)
        self.close()
        self.fd = self.files.open_for_append(path)
        self.segments.append(Segment(number, path, max(base, self.last), len(data)))

    def write(self, writes: list[LogWrite]) -> None:
        """Writes to the log, with fsync.

        Raises OSError: then none of the writes is known to be on the disk, and only `rewrite` may follow.
        """
        for batch in batch_writes(writes):
            self._append(RECORDS.frame(batch))
            self._track(batch.writes)
            if self.segments[-1].size > self.size:
                self._create_segment(b"", self.last)

    def _append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.files.write(self.fd, view) :]
        self.files.fsync(self.fd)
        self.segments[-1].size += len(data)

    def _track(self, writes: Iterable[LogWrite]) -> None:
        for write in writes:
            self.hard_state = write.hard_state or self.hard_state
            if write.truncate_from:
                self.last = min(self.last, write.truncate_from - 1)
            if write.entries:
                self.last = write.entries[-1].index
                self.segments[-1].highest = max(self.segments[-1].highest, self.last)

    def snapshot(self, snapshot: Snapshot, follows: bool) -> None:
        """Writes a snapshot and removes the segments that it covers, all of them unless the log `follows` it.

        Raises OSError.
        """
        if not follows:
            self.rewrite(snapshot, self.hard_state, ())
            return
        self.put(snapshot)
        if self.segments[-1].size > self.size // 4:
            self._create_segment(b"", self.last)  # so that the next snapshot covers the current one
        self._remove_old_snapshots(snapshot)
        while len(self.segments) > 1 and self.segments[0].highest <= snapshot.index:
            self._remove_segment(self.segments.pop(0))

    def put(self, snapshot: Snapshot) -> None:
        """Writes a snapshot file; raises OSError."""
        path = f"{self.folder}/{snapshot_name(snapshot.index)}"
        self.files.write_atomically(path, snapshots.encode(snapshot))
        if path not in self.snapshot_paths:
            self.snapshot_paths.append(path)

    def rewrite(self, snapshot: Snapshot, hard_state: HardState, entries: tuple[LogEntry, ...]) -> None:
        """Writes the given state to new files, without use of the old ones, and removes those.

        Raises OSError.
        """
        self.close()
        old = list(self.segments)
        self.hard_state = hard_state
        self.last = entries[-1].index if entries else snapshot.index
        self.put(snapshot)
        batches = batch_writes([LogWrite(hard_state, 0, entries)])
        self._create_segment(b"".join(RECORDS.frame(batch) for batch in batches), snapshot.index, True)
        self.segments = self.segments[-1:]
        for segment in old:
            self._remove_segment(segment)
        self._remove_old_snapshots(snapshot)

    def _remove_segment(self, segment: Segment) -> None:
        """Removes a segment; one that can't be removed is handled by the next recovery."""
        with contextlib.suppress(OSError):
            self.files.remove(segment.path)

    def _remove_old_snapshots(self, kept: Snapshot) -> None:
        kept_path = f"{self.folder}/{snapshot_name(kept.index)}"
        for path in [path for path in self.snapshot_paths if path != kept_path]:
            with contextlib.suppress(OSError):
                self.files.remove(path)
                self.snapshot_paths.remove(path)

    def close(self) -> None:
        """Closes the file of the current segment."""
        if self.fd >= 0:
            fd = self.fd
            self.fd = -1
            self.files.close_quietly(fd)
