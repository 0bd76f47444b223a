"""Replaces files atomically."""

from __future__ import annotations

import contextlib
import os


def write_atomically(path: str, data: bytes) -> None:
    """Replaces a file; the old content stays until all of the new content is on disk.

    Raises:
        OSError: The write failed and the old file is unchanged, or the folder could not be synced.
    """
    temporary_path = f"{path}.{os.getpid()}.part"
    try:
        descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary_path, path)
    except OSError:
        with contextlib.suppress(OSError):
            os.unlink(temporary_path)
        raise
    sync_folder(os.path.dirname(os.path.abspath(path)))


def sync_folder(path: str) -> None:
    """Syncs a folder, which makes created and removed names in it durable.

    Raises:
        OSError: The folder could not be synced.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
