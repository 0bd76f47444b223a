"""Run first by a member (Fleet(patch=...)): its disk is full while a file `full` stands in its folder, and
FLEET_DISK=lying makes it say that all is on the disk, and write nothing; FLEET_DISK=unsynced leaves out the
fsync, for benchmarks."""

import errno
import os
from pathlib import Path

from indigohitch.fleet.storage.files import FileSystem

_write, _fsync, _whole = FileSystem.write, FileSystem.fsync, FileSystem.write_atomically
_FULL = Path(os.environ.get("FLEET_FOLDER", "/nowhere")) / "full"
HOW = os.environ.get("FLEET_DISK", "")


def checked() -> None:
    if _FULL.exists():
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def write(self: FileSystem, fd: int, data: bytes) -> int:
    return len(data) if HOW == "lying" else _write(self, fd, data)


def fsync(self: FileSystem, fd: int) -> None:
    checked()
    if HOW != "unsynced":
        _fsync(self, fd)


def whole(self: FileSystem, path: str, data: bytes) -> None:
    checked()
    _whole(self, path, data)


FileSystem.write, FileSystem.fsync, FileSystem.write_atomically = write, fsync, whole
