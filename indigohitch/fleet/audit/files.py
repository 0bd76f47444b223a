"""A member's chains in its folder: append-only files `chain-<incarnation>-<first number>` of frames."""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from pathlib import Path

from ...encoding.files import sync_folder, write_atomically
from ...encoding.frames import HEADER_BYTES, BrokenFrameError, MessageTypes
from ...errors import InvalidDataError
from ...net.worker_thread import WorkerThread
from .chain import Record

KINDS = MessageTypes(b"IHAU", 1, [Record])
MAX_FILE_BYTES = 1 << 20  # some 8,000 records, read within 50 ms; then the next file begins
MAX_FILES = 64  # kept; the replicated state is told which records remain before older files are deleted
FILENAME = re.compile(r"chain-(\d+)-(\d+)$")


class ChainStore:
    """The chain files of a member; the files of an incarnation are only written by one process."""

    def __init__(
        self,
        folder: str | os.PathLike,
        max_file_bytes: int = MAX_FILE_BYTES,
        max_files: int = MAX_FILES,
        start_worker: Callable[[], WorkerThread] | None = None,
    ) -> None:
        """Touches no file yet: another process may still own this member's disk.

        The limits are the size of a file in bytes and the number of files kept.  If no function is given that
        makes a worker thread for fsync, the caller waits for the disk itself.
        """
        self.start_worker, self.worker, self.is_syncing = start_worker, None, False
        self.folder, self.max_bytes, self.max_files = Path(folder), max_file_bytes, max_files
        self.fd, self.size, self.incarnation = -1, 0, 0
        self.last_number = 0  # of the records of this chain
        self.unsynced: list[bytes] = []  # frames that may not be on the disk
        self.torn_bytes_cut = -1  # bytes of torn tails that were cut; -1: not looked at yet

    def _cut_torn_tails(self) -> int:
        """Cuts torn tails, left by processes that died in the last file of an incarnation; returns the bytes.

        Damage elsewhere is left as it is, as evidence.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        cut = 0
        last = {incarnation: path for (incarnation, _), path in chain_files(self.folder)}
        for path in last.values():
            data = path.read_bytes()
            _, end, spoilt = decode_records(data)
            if end < len(data) and not spoilt:
                os.truncate(path, end)
                cut += len(data) - end
        return cut

    def append(self, record: Record, durable: bool) -> None:
        """Writes a record; with `durable` it is synced when this returns, else by the next `sync`.

        Raises OSError; then the record is not in the chain: what was written of it is cut off, or the next
        record goes to a new file.
        """
        frame, stamp = KINDS.frame(record), record.stamp
        if self.fd < 0 or self.size + len(frame) > self.max_bytes or stamp.incarnation != self.incarnation:
            self.sync()
            self._start_file(stamp.incarnation, stamp.number)
        try:
            self._write(frame)
        except OSError:
            try:
                os.ftruncate(self.fd, self.size)
            except OSError:
                self._close_file()  # it ends in a torn record; the chain continues in the next file
            raise
        self.size += len(frame)
        self.last_number = stamp.number
        self.unsynced.append(frame)
        if durable:
            try:
                self.sync()
            except OSError:
                self.unsynced.pop()
                self.last_number -= 1
                raise

    def _write(self, frame: bytes) -> None:
        view = memoryview(frame)
        while view:
            view = view[os.write(self.fd, view) :]

    def _start_file(self, incarnation: int, number: int) -> None:
        self._close_file()
        if self.torn_bytes_cut < 0:
            self.torn_bytes_cut = self._cut_torn_tails()
        path = self.folder / f"chain-{incarnation}-{number}"
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self.size, self.incarnation = 0, incarnation
        sync_folder(str(self.folder))

    def sync(self) -> None:
        """Syncs all records to the disk; raises OSError, and the next call tries again.

        After a failed fsync it is unknown what of the file is on the disk: records that may be lost are
        written again into another file, which replaces them when the chain is read.
        """
        if not self.unsynced:
            return
        try:
            if self.fd < 0:
                self._start_file(self.incarnation, self.last_number - len(self.unsynced) + 1)
                for frame in self.unsynced:
                    self._write(frame)
                    self.size += len(frame)
            os.fsync(self.fd)
        except OSError:
            self._close_file()
            raise
        self.unsynced.clear()

    def start_sync(self, done: Callable[[OSError | None], None]) -> None:
        """Starts to sync all records in the worker thread, unless it is syncing; calls `done` at the end."""
        if self.is_syncing:
            return
        if self.start_worker is None or self.fd < 0 or not self.unsynced:
            try:
                self.sync()  # nothing to do, or records that may be lost have to be written again
            except OSError as error:
                done(error)
            else:
                done(None)
            return
        self.is_syncing, fd, chain, target = True, os.dup(self.fd), self.incarnation, self.last_number

        def call() -> None:
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

        def finished(result: object, error: BaseException | None) -> None:
            self.is_syncing = False
            if chain == self.incarnation:
                if error is not None:
                    self._close_file()
                else:  # records that were appended meanwhile wait for the next sync
                    del self.unsynced[: max(0, len(self.unsynced) - (self.last_number - target))]
            done(error)

        self.worker = self.worker or self.start_worker()
        self.worker.submit(call, finished)

    def close(self) -> None:
        """Waits for a sync that runs, and closes the file."""
        if self.worker is not None:
            self.worker.settle()
            self.worker.close()
        self._close_file()

    def _close_file(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    def retained_range(self) -> tuple[int, int]:
        """Returns the first record of this chain and the oldest incarnation to keep; for a head."""
        (oldest, first), _ = (chain_files(self.folder)[-self.max_files :] or [((self.incarnation, 1), None)])[
            0
        ]
        return (first if oldest == self.incarnation else 1), oldest

    def delete_released(self, first: int, oldest: int) -> None:
        """Deletes files before these limits, once the replicated state has a head with the limits."""
        listed = chain_files(self.folder)
        for position, ((incarnation, _), path) in enumerate(listed[: -self.max_files]):
            end = listed[position + 1][0]
            if incarnation < oldest or incarnation == self.incarnation and end <= (incarnation, first):
                path.unlink()

    def save_evidence(self, name: str, data: bytes) -> None:
        """Writes the file `evidence-<name>` atomically, unless it exists; raises OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"evidence-{name}"
        if not path.exists():
            write_atomically(str(path), data)


def chain_files(folder: Path) -> list[tuple[tuple[int, int], Path]]:
    """Returns incarnation and first number of each chain file, in this order, with its path."""
    return sorted(
        ((int(m[1]), int(m[2])), path) for path in folder.glob("chain-*") if (m := FILENAME.search(path.name))
    )


def decode_records(data: bytes) -> tuple[list[Record], int, str]:
    """Decodes records; returns them, the end of the last whole one, and what is damaged there.

    The last is "" if all was decoded, or if the rest is a frame whose write was not completed.
    """
    found, at = [], 0
    # A header of zeros is space that was never written.
    while at + HEADER_BYTES <= len(data) and any(data[at : at + HEADER_BYTES]):
        try:
            protocol, number, descriptors, length, checksum = KINDS.decode_header(data, at)
            if descriptors:  # the one field that the checksum doesn't cover
                raise BrokenFrameError("a frame with descriptors")
            if at + HEADER_BYTES + length > len(data):
                break
            body = data[at + HEADER_BYTES : at + HEADER_BYTES + length]
            found.append(KINDS.decode_body(body, protocol, number, checksum))
        except BrokenFrameError as error:
            return found, at, error.problem
        at += HEADER_BYTES + length
    return found, at, "a length that can't be" if _has_later_frame(data, at) else ""


def _has_later_frame(data: bytes, at: int) -> bool:
    """Returns whether a whole frame follows anywhere after `at`; then what begins there is no torn tail."""
    while (at := data.find(KINDS.magic, at + 1)) >= 0 and at + HEADER_BYTES <= len(data):
        try:
            protocol, number, _, length, checksum = KINDS.decode_header(data, at)
            body = data[at + HEADER_BYTES : at + HEADER_BYTES + length]
            KINDS.decode_body(body, protocol, number, checksum)
            return True
        except BrokenFrameError:
            continue
    return False


def read_chains(folder: str | os.PathLike) -> tuple[dict[int, list[Record]], list[InvalidDataError]]:
    """Returns the chains by incarnation, and an error for each file damaged in the middle; raises OSError."""
    found: dict[int, list[Record]] = {}
    errors = []
    for (incarnation, first), path in chain_files(Path(folder)):
        records, end, spoilt = decode_records(path.read_bytes())  # up to the damage
        chain = found.setdefault(incarnation, [])
        while chain and chain[-1].stamp.number >= first:
            chain.pop()  # this file replaces them, as an fsync of the one before had failed
        chain += records
        if spoilt:
            errors.append(
                InvalidDataError(
                    spoilt,
                    f"{path.name}, byte {end}",
                    "changed or damaged on the disk: keep the file, and compare it with the replicated heads",
                )
            )
    return found, errors
