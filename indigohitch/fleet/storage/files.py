"""The file operations that the write-ahead log uses, in one object, so that tests can inject faults."""

from __future__ import annotations

import contextlib
import fcntl
import os

from ...encoding import files as encoding_files


class FileSystem:
    """File operations of the operating system; each raises OSError if it fails."""

    def make_folder(self, path: str) -> None:
        """Creates a folder, with its parents, unless it exists."""
        os.makedirs(path, 0o700, exist_ok=True)

    def list_names(self, folder: str) -> list[str]:
        """Returns the names in a folder, sorted."""
        return sorted(os.listdir(folder))

    def read(self, path: str) -> bytes:
        """Returns the content of a file."""
        with open(path, "rb") as file:
            return file.read()

    def write_atomically(self, path: str, data: bytes) -> None:
        """Writes a file with fsync; after a crash it holds either all of `data` or its old content."""
        encoding_files.write_atomically(path, data)

    def open_for_append(self, path: str) -> int:
        """Opens an existing file and returns a descriptor that appends to it."""
        return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def write(self, fd: int, data: bytes) -> int:
        """Writes data and returns how many bytes were written, which may be fewer than it has."""
        return os.write(fd, data)

    def fsync(self, fd: int) -> None:
        """Returns once all data written to the descriptor is on the disk."""
        os.fsync(fd)

    def close(self, fd: int) -> None:
        """Closes a descriptor."""
        os.close(fd)

    def close_quietly(self, fd: int) -> None:
        """Closes a descriptor and ignores errors: its data has been synced or given up before."""
        with contextlib.suppress(OSError):
            self.close(fd)

    def truncate(self, path: str, size: int) -> None:
        """Truncates a file to `size` bytes, with fsync."""
        fd = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, size)
            os.fsync(fd)
        finally:
            os.close(fd)

    def remove(self, path: str) -> None:
        """Removes a file."""
        os.unlink(path)

    def sync_folder(self, folder: str) -> None:
        """Returns once the names of the files in a folder are on the disk."""
        encoding_files.sync_folder(folder)

    def lock_file(self, path: str) -> int:
        """Locks a file and returns a descriptor, which holds the lock until it is closed or the process ends.

        Raises BlockingIOError if another process holds the lock.
        """
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(fd)
            raise
        return fd
