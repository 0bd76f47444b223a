"""Atomic replacement of files."""

from __future__ import annotations

import contextlib
import os


def write_atomically(path: str, data: bytes) -> None:
    """Replaces a file; the old content stays until all of the new one is on the disk.

    Raises:
        OSError: The file could not be written; the old one is unchanged.
    """
    part = f"{path}.{os.getpid()}.part"
    try:
        descriptor = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(part, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(part)
        raise
    sync_folder(os.path.dirname(os.path.abspath(path)))


def sync_folder(path: str) -> None:
    """Makes created and removed names in a folder durable.

    Raises:
        OSError: The folder could not be synced.
    """
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
