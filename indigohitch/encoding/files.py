"""Files written whole or not at all."""

from __future__ import annotations

import os


def write_atomically(path: str, data: bytes) -> None:
    """What stood there before stays until all of the new one is on the disk.  Raises OSError."""
    part = f"{path}.{os.getpid()}.part"
    try:
        fd = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(part, path)
    except OSError:
        try:
            os.unlink(part)
        except OSError:
            pass
        raise
    sync_folder(os.path.dirname(os.path.abspath(path)))


def sync_folder(path: str) -> None:
    """Names made or taken away in it last from here on.  Raises OSError."""
    folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
