"""A member's disk as the node uses it: asked in the loop, done in a thread, told in the loop, in order.

What is asked while a write is out goes together in the next one.  After a write or fsync that failed nothing
is trusted to be on the disk: all of the log that counts, which is kept here as well, goes into files of their
own, again and again until that has worked."""

from __future__ import annotations

import enum
from collections.abc import Callable

from ...errors import error_fields
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import Deadline, EventLoop
from ...net.worker_thread import WorkerThread
from ..raft.interfaces import (
    HardState,
    Input,
    Members,
    RecoveredState,
    Snapshot,
    SnapshotCompleted,
    StorageFailed,
    StorageRecovered,
    WriteCompleted,
    WriteEntries,
)
from ..types import MemberId
from .files import FileSystem
from .folder import Folder
from .records import LogWrite
from .recovery import RecoveredLog, RecoveryResult
from .segments import Segments

# After a write that failed: often enough that a freed disk is used soon, rarely enough not to add to the load
# of one that is in trouble.
RETRY_INTERVAL = SECOND // 2


class StorageState(enum.Enum):
    CLOSED = "closed"
    FRESH = "fresh"  # the folder is ours, and nothing is on it yet
    IDLE = "idle"
    BUSY = "busy"  # one job is with the thread
    FAILED = "failed"  # nothing is promised; waits to try again
    MENDING = "mending"  # tries


class Storage:
    """`open`, `found` and `met` raise; what fails later is told as `DiskFailed`."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        folder: str,
        fleet: str,
        name: str,
        told: Callable[[Input], None],
        files: FileSystem | None = None,
    ) -> None:
        self.loop, self.log, self.told = loop, log, told
        self.files = files or FileSystem()
        self.folder = Folder(self.files, folder, fleet, name)
        self.state, self.why = StorageState.CLOSED, ""
        self.worker: WorkerThread | None = None
        self.segments: Segments | None = None
        self.recent, self.latest_snapshot, self.hard_state = (
            RecoveredLog(0),
            Snapshot(0, 0, Members(()), b""),
            HardState(0),
        )
        self.waiting: list[tuple[int, LogWrite] | tuple[Snapshot, bool]] = []
        self.again: Deadline | None = None
        self.syncs = self.failures = 0

    @property
    def identity(self):
        return self.folder.identity

    # ---- the start and the end ---------------------------------------------------------------------

    def open(self) -> RecoveredState | None:
        """What it holds; None for a folder with nothing in it.  Raises NotNow (another process holds it),
        Unreadable, CorruptStorageError, OSError."""
        self.folder.take()
        try:
            found = self.folder.read()
            self.worker = WorkerThread(self.loop)
            if found is None:
                self.state = StorageState.FRESH
                return None
            self.stood(found)
        except BaseException:
            self.close()
            raise
        return RecoveredState(self.hard_state, self.latest_snapshot, list(self.recent.entries))

    def stood(self, found: RecoveryResult) -> None:
        if found.torn_tail is not None:
            path, good = found.torn_tail
            self.log.warning("torn_tail_cut", file=path, at=good, remedy="none needed: nothing hung on it")
            self.files.truncate(path, good)
        for path in found.void:
            self.files.remove(path)
        self.begin(found, self.identity.number)

    def initialize(self, number: int, founders: tuple[str, ...], members: Members) -> RecoveredState:
        """The disk is this member's from here on, with an empty state machine.  Raises OSError."""
        held = RecoveredState(HardState(0), Snapshot(0, 0, members, b""))
        self.begin(RecoveryResult(held), number)
        self.segments.put(held.snapshot)
        self.folder.set_number(number, founders)
        return held

    def begin(self, found: RecoveryResult, number: int) -> None:
        held, identity = found.recovered_state, self.identity
        self.latest_snapshot, self.hard_state = held.snapshot, held.hard_state
        self.recent = RecoveredLog(held.snapshot.index)
        self.recent.entries = list(held.entries)
        self.segments = Segments(
            self.files,
            self.folder.path,
            identity.fleet,
            MemberId(identity.name, number),
            found.segments,
            found.snapshots,
        )
        if found.follows:
            self.segments.open(held.hard_state, self.recent.last)
        else:
            self.segments.rewrite(held.snapshot, held.hard_state, ())
        self.state = StorageState.IDLE

    def close(self) -> None:
        """What was asked for is done first; then the folder may be another process'."""
        if self.again is not None:
            self.again.cancel()
        if self.worker is not None:
            self.worker.settle()
            while self.state is StorageState.BUSY:
                self.worker.settle()
            self.worker.close()
            self.worker = None
        self.state = StorageState.CLOSED
        if self.segments is not None:
            self.segments.close()
        self.folder.leave()

    # ---- asked by the machine's driver -------------------------------------------------------------

    def write(self, write: WriteEntries) -> None:
        """`Written` comes once it is on the disk."""
        base, cut = self.recent.base, write.truncate_from
        entries = tuple(entry for entry in write.entries if entry.index > base)  # else: in the snapshot
        if entries and entries[0].index <= self.recent.last:
            cut = min(cut or entries[0].index, entries[0].index)
        one = LogWrite(write.hard_state, max(cut, base + 1) if cut else 0, entries)
        self.hard_state = write.hard_state or self.hard_state
        self.recent.write(one)
        self.ask((write.number, one))

    def snapshot(self, snap: Snapshot, follows: bool) -> None:
        """Of our own, which the log `follows`, or the leader's in place of it.  `Snapped` comes once it is on
        the disk."""
        if snap.index < self.recent.base:
            return
        self.recent.entries = self.recent.after(snap) if follows else []
        self.recent.base, self.latest_snapshot = snap.index, snap
        self.ask((snap, follows))

    def ask(self, job: tuple) -> None:
        if self.state in (StorageState.IDLE, StorageState.BUSY, StorageState.MENDING):
            self.waiting.append(job)
            self.go()

    def go(self) -> None:
        if self.state is not StorageState.IDLE or not self.waiting:
            return
        self.state = StorageState.BUSY
        first, follows = self.waiting[0]
        if isinstance(first, Snapshot):
            del self.waiting[0]
            self.do(
                lambda: self.segments.snapshot(first, follows), lambda: self.told(SnapshotCompleted(first))
            )
            return
        count = next(
            (n for n, job in enumerate(self.waiting) if isinstance(job[0], Snapshot)), len(self.waiting)
        )
        writes, self.waiting = self.waiting[:count], self.waiting[count:]
        self.do(
            lambda: self.segments.write([one for _, one in writes]),
            lambda: self.told(WriteCompleted(writes[-1][0])),
        )

    def do(self, job: Callable[[], None], worked: Callable[[], None] = lambda: None) -> None:
        self.syncs += 1

        def done(result: object, broken: BaseException | None) -> None:
            if broken is not None:
                if not isinstance(broken, OSError):
                    self.loop.failed(broken)
                self.fail(broken)
                return
            mending, self.state = self.state is StorageState.MENDING, StorageState.IDLE
            if mending:
                self.log.event("disk_back", folder=self.folder.path)
                self.told(StorageRecovered())
            else:
                worked()
            self.go()

        self.worker.submit(job, done)

    # ---- what goes wrong ---------------------------------------------------------------------------

    def fail(self, broken: BaseException) -> None:
        first = self.state is not StorageState.MENDING
        self.state, self.why = StorageState.FAILED, str(broken)
        self.waiting.clear()  # all of it is kept, and goes when it can
        self.failures += 1
        self.log.warning(
            "disk_failed",
            folder=self.folder.path,
            **error_fields(broken, "mend the disk: it is tried again by itself"),
        )
        if first:
            self.told(StorageFailed(self.why))
        self.again = self.loop.call_after(RETRY_INTERVAL, self.mend)

    def mend(self) -> None:
        if self.state is not StorageState.FAILED:
            return
        self.state = StorageState.MENDING
        snap, ballot, entries = self.latest_snapshot, self.hard_state, tuple(self.recent.entries)
        self.do(lambda: self.segments.rewrite(snap, ballot, entries))

    def figures(self) -> dict:
        return {
            "state": self.state.value,
            "syncs": self.syncs,
            "failures": self.failures,
            "segments": len(self.segments.segments) if self.segments else 0,
            "snapshot": self.latest_snapshot.index,
            "entries": len(self.recent.entries),
            **({"why": self.why} if self.why else {}),
        }
