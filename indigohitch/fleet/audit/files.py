"""A member's chains in its folder: `chain-<incarnation>-<first number>`, one frame a record, only added
to."""

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
FILE = 1 << 20  # bytes, then the next one: some 8,000 records, read within 50 ms
FILES = 64  # kept; the ledger is told which records lie there before those go
NAME = re.compile(r"chain-(\d+)-(\d+)$")


class Store:
    """Of one process.  An incarnation's files are written by one process only; a new one begins others."""

    def __init__(
        self,
        folder: str | os.PathLike,
        file: int = FILE,
        files: int = FILES,
        begun: Callable[[], WorkerThread] | None = None,
    ) -> None:
        """Touches nothing yet: as long as another process has this member's disk, the folder is its own.
        `begun`: the thread that waits for the disk; without one the caller does."""
        self.begun, self.worker, self.syncing = begun, None, False
        self.folder, self.file, self.files = Path(folder), file, files
        self.fd, self.size, self.incarnation = -1, 0, 0
        self.written = 0  # the last number of this chain
        self.unsynced: list[bytes] = []  # frames that may not be on the disk
        self.cut = -1  # bytes of torn tails that were; -1: not looked at yet

    def mend(self) -> int:
        """Cut torn tails of processes that died, each in the last file of its incarnation; how many bytes.
        What is spoilt elsewhere stays as it is: it is evidence."""
        self.folder.mkdir(parents=True, exist_ok=True)
        cut = 0
        last = {incarnation: path for (incarnation, _), path in chains(self.folder)}
        for path in last.values():
            data = path.read_bytes()
            _, end, spoilt = frames(data)
            if end < len(data) and not spoilt:
                os.truncate(path, end)
                cut += len(data) - end
        return cut

    def append(self, record: Record, firm: bool) -> None:
        """`firm`: on the disk when it returns; else with the next `sync`.  Raises OSError; then the record is
        not in the chain: what was half written is taken back, or the file is left for a new one."""
        frame, stamp = KINDS.frame(record), record.stamp
        if self.fd < 0 or self.size + len(frame) > self.file or stamp.incarnation != self.incarnation:
            self.sync()
            self.begin(stamp.incarnation, stamp.number)
        try:
            self.write(frame)
        except OSError:
            try:
                os.ftruncate(self.fd, self.size)
            except OSError:
                self.shut()  # a torn tail in mid-chain: the next file goes on after it
            raise
        self.size += len(frame)
        self.written = stamp.number
        self.unsynced.append(frame)
        if firm:
            try:
                self.sync()
            except OSError:
                self.unsynced.pop()
                self.written -= 1
                raise

    def write(self, frame: bytes) -> None:
        view = memoryview(frame)
        while view:
            view = view[os.write(self.fd, view) :]

    def begin(self, incarnation: int, number: int) -> None:
        self.shut()
        if self.cut < 0:
            self.cut = self.mend()
        path = self.folder / f"chain-{incarnation}-{number}"
        self.fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self.size, self.incarnation = 0, incarnation
        sync_folder(str(self.folder))

    def sync(self) -> None:
        """All that was appended is on the disk when it returns.  After an fsync that failed nobody can tell
        what of a file is: what may be lost is written again into another, which stands for both (`read`).
        Raises OSError; the next call tries again."""
        if not self.unsynced:
            return
        try:
            if self.fd < 0:
                self.begin(self.incarnation, self.written - len(self.unsynced) + 1)
                for frame in self.unsynced:
                    self.write(frame)
                    self.size += len(frame)
            os.fsync(self.fd)
        except OSError:
            self.shut()
            raise
        self.unsynced.clear()

    def sync_soon(self, done: Callable[[OSError | None], None]) -> None:
        """All that was appended so far; the process goes on meanwhile.  Not while one is out."""
        if self.syncing:
            return
        if self.begun is None or self.fd < 0 or not self.unsynced:
            try:
                self.sync()  # nothing to do, or what may be lost is to be written again
            except OSError as bad:
                done(bad)
            else:
                done(None)
            return
        self.syncing, fd, chain, upto = True, os.dup(self.fd), self.incarnation, self.written

        def call() -> None:
            try:
                os.fsync(fd)
            finally:
                os.close(fd)

        def over(result: object, bad: BaseException | None) -> None:
            self.syncing = False
            if chain == self.incarnation:
                if bad is not None:
                    self.shut()
                else:  # what came meanwhile waits for the next
                    del self.unsynced[: max(0, len(self.unsynced) - (self.written - upto))]
            done(bad)

        self.worker = self.worker or self.begun()
        self.worker.submit(call, over)

    def close(self) -> None:
        if self.worker is not None:
            self.worker.settle()
            self.worker.close()
        self.shut()

    def shut(self) -> None:
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    # ---- giving up the oldest ------------------------------------------------------------------------

    def wanted(self) -> tuple[int, int]:
        """What is kept of this chain, and the oldest incarnation kept: for a head, before anything goes."""
        (incarnation, first), _ = (chains(self.folder)[-self.files :] or [((self.incarnation, 1), None)])[0]
        return (first if incarnation == self.incarnation else 1), incarnation

    def give_up(self, first: int, oldest: int) -> None:
        """The ledger knows that what lies before is kept no more."""
        listed = chains(self.folder)
        for n, ((incarnation, _), path) in enumerate(listed[: -self.files]):
            until = listed[n + 1][0]
            if incarnation < oldest or incarnation == self.incarnation and until <= (incarnation, first):
                path.unlink()

    def keep(self, name: str, data: bytes) -> None:
        """Evidence, written whole, never over what lies there.  Raises OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"evidence-{name}"
        if not path.exists():
            write_atomically(str(path), data)


def chains(folder: Path) -> list[tuple[tuple[int, int], Path]]:
    """Incarnation and first number of each file, in order."""
    return sorted(
        ((int(m[1]), int(m[2])), path) for path in folder.glob("chain-*") if (m := NAME.search(path.name))
    )


def frames(data: bytes) -> tuple[list[Record], int, str]:
    """The records, where the last whole one ends, and what is spoilt there ("": all was read, or the rest is
    a frame that was never finished)."""
    found, at = [], 0
    while at + HEADER_BYTES <= len(data) and any(
        data[at : at + HEADER_BYTES]
    ):  # zeros: space that was never written
        try:
            protocol, number, descriptors, length, checksum = KINDS.decode_header(data, at)
            if descriptors:  # the one field that the checksum doesn't hold
                raise BrokenFrameError("a frame with descriptors")
            if at + HEADER_BYTES + length > len(data):
                break
            found.append(
                KINDS.decode_body(
                    data[at + HEADER_BYTES : at + HEADER_BYTES + length], protocol, number, checksum
                )
            )
        except BrokenFrameError as bad:
            return found, at, bad.problem
        at += HEADER_BYTES + length
    return found, at, "a length that can't be" if followed(data, at) else ""


def followed(data: bytes, at: int) -> bool:
    """A whole frame lies somewhere after: what begins there is no torn tail."""
    while (at := data.find(KINDS.magic, at + 1)) >= 0 and at + HEADER_BYTES <= len(data):
        try:
            protocol, number, _, length, checksum = KINDS.decode_header(data, at)
            KINDS.decode_body(
                data[at + HEADER_BYTES : at + HEADER_BYTES + length], protocol, number, checksum
            )
            return True
        except BrokenFrameError:
            continue
    return False


def read(folder: str | os.PathLike) -> tuple[dict[int, list[Record]], list[InvalidDataError]]:
    """All chains that lie there, by incarnation, and what can't be read of them.  A file with a spoilt place
    is read up to it.  Raises OSError."""
    found: dict[int, list[Record]] = {}
    troubles = []
    for (incarnation, first), path in chains(Path(folder)):
        records, end, spoilt = frames(path.read_bytes())
        chain = found.setdefault(incarnation, [])
        while chain and chain[-1].stamp.number >= first:
            chain.pop()  # after an fsync that failed this file stands for them
        chain += records
        if spoilt:
            troubles.append(
                InvalidDataError(
                    spoilt,
                    f"{path.name}, byte {end}",
                    "it was changed or harmed on the "
                    "disk: keep the file, and compare with the heads in the ledger",
                )
            )
    return found, troubles
