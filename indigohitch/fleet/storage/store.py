"""The storage of a member: the event loop requests jobs, a thread runs them in order, the loop gets results.

Writes requested while another one runs share one fsync.  After a failed write or fsync nothing is trusted to
be on the disk: all of the log that counts, also kept in memory, goes to new files, retried until that works.
"""

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
from .identity import Identity
from .records import LogWrite
from .recovery import RecoveredLog, RecoveryResult
from .segments import Segments

# After a failed write: soon enough to use freed space, rare enough not to add to the load of a failing disk.
RETRY_INTERVAL = SECOND // 2


class StorageState(enum.Enum):
    """The state of a `Storage`, as `status` shows it."""

    CLOSED = "closed"
    FRESH = "fresh"  # the folder is locked by this process and holds no member yet
    IDLE = "idle"
    BUSY = "busy"  # the thread runs one job
    FAILED = "failed"  # nothing is reported as written; waits for the next retry
    REWRITING = "mending"  # the thread writes all of the log to new files


class Storage:
    """The log, snapshots and hard state of one member on its disk.

    `open`, `initialize` and `folder` raise their errors; other failures are delivered as `StorageFailed`.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        folder: str,
        fleet: str,
        name: str,
        deliver: Callable[[Input], None],
        files: FileSystem | None = None,
    ) -> None:
        self.loop, self.log, self.deliver = loop, log, deliver
        self.files = files or FileSystem()
        self.folder = Folder(self.files, folder, fleet, name)
        self.state, self.failure = StorageState.CLOSED, ""  # `failure`: text of the last error
        self.worker: WorkerThread | None = None
        self.segments: Segments | None = None
        self.recent_log = RecoveredLog(0)  # all entries after the latest snapshot
        self.latest_snapshot, self.hard_state = Snapshot(0, 0, Members(()), b""), HardState(0)
        self.pending: list[tuple[int, LogWrite] | tuple[Snapshot, bool]] = []
        self.retry_timer: Deadline | None = None
        self.syncs = self.failures = 0

    @property
    def identity(self) -> Identity:
        """The member that the folder belongs to; `number` 0 before `initialize`."""
        return self.folder.identity

    def open(self) -> RecoveredState | None:
        """Locks the folder and returns what it holds; None for a folder without a member.

        Raises UnavailableError (locked by another process), InvalidDataError, CorruptStorageError, OSError.
        """
        self.folder.take()
        try:
            found = self.folder.read()
            self.worker = WorkerThread(self.loop)
            if found is None:
                self.state = StorageState.FRESH
                return None
            self._start_recovered(found)
        except BaseException:
            self.close()
            raise
        return RecoveredState(self.hard_state, self.latest_snapshot, list(self.recent_log.entries))

    def _start_recovered(self, found: RecoveryResult) -> None:
        if found.torn_tail is not None:
            path, size = found.torn_tail
            self.log.warning("torn_tail_cut", file=path, at=size, remedy="none needed: never acknowledged")
            self.files.truncate(path, size)
        for path in found.void:
            self.files.remove(path)
        self._start(found, self.identity.number)

    def initialize(self, number: int, founders: tuple[str, ...], members: Members) -> RecoveredState:
        """Writes an empty log and snapshot for member `number` and returns that state; raises OSError."""
        initial = RecoveredState(HardState(0), Snapshot(0, 0, members, b""))
        self._start(RecoveryResult(initial), number)
        self.segments.put(initial.snapshot)
        self.folder.set_number(number, founders)  # last: after a crash before it the folder counts as empty
        return initial

    def _start(self, found: RecoveryResult, number: int) -> None:
        recovered, identity = found.recovered_state, self.identity
        self.latest_snapshot, self.hard_state = recovered.snapshot, recovered.hard_state
        self.recent_log = RecoveredLog(recovered.snapshot.index)
        self.recent_log.entries = list(recovered.entries)
        self.segments = Segments(
            self.files,
            self.folder.path,
            identity.fleet,
            MemberId(identity.name, number),
            found.segments,
            found.snapshots,
        )
        if found.follows:
            self.segments.open(recovered.hard_state, self.recent_log.last)
        else:
            self.segments.rewrite(recovered.snapshot, recovered.hard_state, ())
        self.state = StorageState.IDLE

    def close(self) -> None:
        """Completes what was requested, then unlocks the folder for other processes."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
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

    def write(self, write: WriteEntries) -> None:
        """Requests a write; `WriteCompleted` is delivered once it is on the disk."""
        base, cut = self.recent_log.base, write.truncate_from
        entries = tuple(entry for entry in write.entries if entry.index > base)  # others: in the snapshot
        if entries and entries[0].index <= self.recent_log.last:
            cut = min(cut or entries[0].index, entries[0].index)
        log_write = LogWrite(write.hard_state, max(cut, base + 1) if cut else 0, entries)
        self.hard_state = write.hard_state or self.hard_state
        self.recent_log.write(log_write)
        self._enqueue((write.number, log_write))

    def snapshot(self, snapshot: Snapshot, follows: bool) -> None:
        """Requests to write a snapshot; `SnapshotCompleted` is delivered once it is on the disk.

        `follows`: the log continues it; else it replaces the log.  One older than the latest is ignored.
        """
        if snapshot.index < self.recent_log.base:
            return
        self.recent_log.entries = self.recent_log.after(snapshot) if follows else []
        self.recent_log.base, self.latest_snapshot = snapshot.index, snapshot
        self._enqueue((snapshot, follows))

    def _enqueue(self, job: tuple) -> None:
        if self.state in (StorageState.IDLE, StorageState.BUSY, StorageState.REWRITING):
            self.pending.append(job)
            self._start_next()

    def _start_next(self) -> None:
        if self.state is not StorageState.IDLE or not self.pending:
            return
        self.state = StorageState.BUSY
        first, follows = self.pending[0]
        if isinstance(first, Snapshot):
            del self.pending[0]
            self._submit(
                lambda: self.segments.snapshot(first, follows), lambda: self.deliver(SnapshotCompleted(first))
            )
            return
        count = next(
            (n for n, job in enumerate(self.pending) if isinstance(job[0], Snapshot)), len(self.pending)
        )
        writes, self.pending = self.pending[:count], self.pending[count:]
        self._submit(
            lambda: self.segments.write([log_write for _, log_write in writes]),
            lambda: self.deliver(WriteCompleted(writes[-1][0])),
        )

    def _submit(self, job: Callable[[], None], on_success: Callable[[], None] = lambda: None) -> None:
        self.syncs += 1

        def done(result: object, error: BaseException | None) -> None:
            if error is not None:
                if not isinstance(error, OSError):
                    self.loop.failed(error)
                self._on_failure(error)
                return
            was_rewriting, self.state = self.state is StorageState.REWRITING, StorageState.IDLE
            if was_rewriting:
                self.log.event("disk_back", folder=self.folder.path)
                self.deliver(StorageRecovered())
            else:
                on_success()
            self._start_next()

        self.worker.submit(job, done)

    def _on_failure(self, error: BaseException) -> None:
        is_first = self.state is not StorageState.REWRITING
        self.state, self.failure = StorageState.FAILED, str(error)
        self.pending.clear()  # `recent_log` has all of it and is written as a whole
        self.failures += 1
        self.log.warning(
            "disk_failed", folder=self.folder.path, **error_fields(error, "fix the disk; writes are retried")
        )
        if is_first:
            self.deliver(StorageFailed(self.failure))
        self.retry_timer = self.loop.call_after(RETRY_INTERVAL, self._rewrite)

    def _rewrite(self) -> None:
        if self.state is not StorageState.FAILED:
            return
        self.state = StorageState.REWRITING
        snapshot, hard_state, entries = self.latest_snapshot, self.hard_state, tuple(self.recent_log.entries)
        self._submit(lambda: self.segments.rewrite(snapshot, hard_state, entries))

    def figures(self) -> dict:
        """Returns the figures for `status`: `syncs` counts jobs, `failures` those of them that failed."""
        return {
            "state": self.state.value,
            "syncs": self.syncs,
            "failures": self.failures,
            "segments": len(self.segments.segments) if self.segments else 0,
            "snapshot": self.latest_snapshot.index,
            "entries": len(self.recent_log.entries),
            **({"why": self.failure} if self.failure else {}),
        }
