"""The calls to the operating system that the disk's files hang on, in one object: faults are put in here."""

from __future__ import annotations

import fcntl
import os

from ...encoding.files import sync_folder, write_atomically


class FileSystem:
    """Each raises OSError."""

    def make_folder(self, path: str) -> None:
        os.makedirs(path, 0o700, exist_ok=True)

    def list_names(self, folder: str) -> list[str]:
        return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        with open(path, "rb") as file:
            return file.read()

    def write_atomically(self, path: str, data: bytes) -> None:
        """There whole and on the disk, or not there."""
        write_atomically(path, data)

    def open_for_append(self, path: str) -> int:
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes) -> int:
        return os.write(fd, data)

    def fsync(self, fd: int) -> None:
        os.fsync(fd)

    def close(self, fd: int) -> None:
        os.close(fd)

    def close_quietly(self, fd: int) -> None:
        """Raises nothing: what was written there is synced or given up, nothing hangs on the close."""
        try:
            self.close(fd)
        except OSError:
            pass

    def truncate(self, path: str, size: int) -> None:
        fd = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, path: str) -> None:
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        sync_folder(folder)

    def lock_file(self, path: str) -> int:
        """A descriptor that holds the lock until it is closed, also by the process' death; BlockingIOError
        where another process holds it."""
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd
