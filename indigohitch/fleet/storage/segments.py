"""Segments on the disk: appended to, begun, taken away.  Called from the disk's thread, one call at a time.

A segment is made whole, with its first record, before anything is appended; so a torn record is never the
first one."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..raft.interfaces import HardState, Snapshot
from ..types import LogEntry, MemberId
from . import snapshots
from .files import FileSystem
from .records import RECORDS, LogWrite, SegmentHeader, WriteBatch
from .recovery import Segment, segment_name, snapshot_name

# Of a segment: large enough that making one (two fsyncs more) is rare, small enough that little lies beside a
# snapshot that covers it.
SEGMENT_BYTES = 4 << 20
# Of entries in one record: an eighth of what a frame takes, so that one larger entry still fits.
MAX_BATCH_BYTES = 1 << 20


def entry_size(entry: LogEntry) -> int:
    """About how many bytes it takes."""
    return len(entry.body) + 64 + len(entry.kind) + len(entry.proposer)


def batch_writes(writes: Iterable[LogWrite]) -> Iterable[WriteBatch]:
    """As few records as fit their bound, in order; a write too large for one goes in several, its ballot and
    cut in the first."""
    waiting, size = [], 0
    for one in writes:
        part: list[LogEntry] = []
        for entry in one.entries:
            if part and size + entry_size(entry) > MAX_BATCH_BYTES:
                yield WriteBatch((*waiting, LogWrite(one.hard_state, one.truncate_from, tuple(part))))
                one, waiting, part, size = LogWrite(None, 0, ()), [], [], 0
            part.append(entry)
            size += entry_size(entry)
        waiting.append(msgspec.structs.replace(one, entries=tuple(part)))
        if size > MAX_BATCH_BYTES:
            yield WriteBatch(tuple(waiting))
            waiting, size = [], 0
    if waiting:
        yield WriteBatch(tuple(waiting))


class Segments:
    def __init__(
        self,
        files: FileSystem,
        folder: str,
        fleet: str,
        who: MemberId,
        stood: list[Segment],
        read: list[str],
        size: int = SEGMENT_BYTES,
    ) -> None:
        """`stood`: segments found at the start, in order; `read`: paths of snapshots found."""
        self.files, self.folder, self.fleet, self.who, self.size = files, folder, fleet, who, size
        self.stood, self.snapshots = stood, read
        self.fd = -1
        self.hard_state, self.last = HardState(0), 0  # as the records so far tell them

    def open(self, ballot: HardState, last: int) -> None:
        """Go on after what was found; raises OSError."""
        self.hard_state, self.last = ballot, last
        if self.stood:
            self.fd = self.files.open_for_append(self.stood[-1].path)
        else:
            self.begin(b"")

    def begin(self, rest: bytes, base: int | None = None, anew: bool = False) -> None:
        base = self.last if base is None else base
        number = self.stood[-1].number + 1 if self.stood else 1
        path = f"{self.folder}/{segment_name(number)}"
        data = RECORDS.frame(SegmentHeader(self.fleet, self.who, base, self.hard_state, anew)) + rest
        self.files.write_atomically(path, data)
        self.close()
        self.fd = self.files.open_for_append(path)
        self.stood.append(Segment(number, path, max(base, self.last), len(data)))

    def write(self, writes: list[LogWrite]) -> None:
        """On the disk when it returns.  Raises OSError: then nothing of these is known to be there, and
        `anew` is the only way on."""
        for group in batch_writes(writes):
            self.append(RECORDS.frame(group))
            self.took(group.writes)
            if self.stood[-1].size > self.size:
                self.begin(b"")

    def append(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self.files.write(self.fd, view) :]
        self.files.fsync(self.fd)
        self.stood[-1].size += len(data)

    def took(self, writes: Iterable[LogWrite]) -> None:
        for one in writes:
            self.hard_state = one.hard_state or self.hard_state
            if one.truncate_from:
                self.last = min(self.last, one.truncate_from - 1)
            if one.entries:
                self.last = one.entries[-1].index
                self.stood[-1].highest = max(self.stood[-1].highest, self.last)

    def snapshot(self, snap: Snapshot, follows: bool) -> None:
        """Written; then what it covers is taken away, if the log `follows` it, else all.  Raises OSError."""
        if not follows:
            self.anew(snap, self.hard_state, ())
            return
        self.put(snap)
        if self.stood[-1].size > self.size // 4:
            self.begin(b"")  # so that the next snapshot covers what stands now
        self.drop_snapshots(snap)
        while len(self.stood) > 1 and self.stood[0].highest <= snap.index:
            self.drop(self.stood.pop(0))

    def put(self, snap: Snapshot) -> None:
        path = f"{self.folder}/{snapshot_name(snap.index)}"
        self.files.write_atomically(path, snapshots.encode(snap))
        if path not in self.snapshots:
            self.snapshots.append(path)

    def anew(self, snap: Snapshot, ballot: HardState, entries: tuple[LogEntry, ...]) -> None:
        """All of it into files of their own, trusting none that stands; then those go.  Raises OSError."""
        self.close()
        old, self.hard_state, self.last = (
            list(self.stood),
            ballot,
            entries[-1].index if entries else snap.index,
        )
        self.put(snap)
        frames = b"".join(RECORDS.frame(group) for group in batch_writes([LogWrite(ballot, 0, entries)]))
        self.begin(frames, snap.index, True)
        self.stood = self.stood[-1:]
        for segment in old:
            self.drop(segment)
        self.drop_snapshots(snap)

    def drop(self, segment: Segment) -> None:
        """One that stays, because it can't be removed, is passed over at the next start."""
        try:
            self.files.remove(segment.path)
        except OSError:
            pass

    def drop_snapshots(self, kept: Snapshot) -> None:
        for path in [path for path in self.snapshots if path != f"{self.folder}/{snapshot_name(kept.index)}"]:
            try:
                self.files.remove(path)
                self.snapshots.remove(path)
            except OSError:
                pass

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.files.close_quietly(fd)
