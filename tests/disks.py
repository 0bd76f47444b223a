"""Test support: a `Storage` with an event loop of its own, and faults in its file operations."""

import os
import time

from indigohitch.fleet.raft.interfaces import Members, WriteCompleted
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.fleet.storage.store import Storage
from indigohitch.fleet.types import LogEntry, MemberId
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop

NOWHERE = os.open(os.devnull, os.O_WRONLY)
MEMBERS = Members((MemberId("a", 1), MemberId("b", 1), MemberId("c", 1)))


class Faulty(FileSystem):
    """Files on a disk that has `room` for so many bytes, and whose fsyncs fail while `stuck`."""

    def __init__(self):
        self.room = 1 << 60
        self.stuck = False
        self.written = 0

    def write(self, fd, data):
        if self.room <= 0:
            raise OSError(28, "No space left on device")
        count = super().write(fd, data[: self.room])
        self.room -= count
        return count

    def fsync(self, fd):
        if self.stuck:
            raise OSError(5, "Input/output error")
        super().fsync(fd)

    def write_atomically(self, path, data):
        if self.stuck or len(data) > self.room:
            raise OSError(28, "No space left on device")
        super().write_atomically(path, data)


class Bench:
    """The storage `disk` of member `a`; `told` has what it delivered, `failed` errors in the loop."""

    def __init__(self, folder, files=None):
        self.failed = []
        clock = Clock()
        self.loop = EventLoop(clock, self.failed.append)
        self.told = []
        self.disk = Storage(
            self.loop, Log(clock, output_fd=NOWHERE), str(folder), "whk", "a", self.told.append, files
        )

    def founded(self):
        """Initializes an empty folder as that of member 1."""
        assert self.disk.open() is None
        self.disk.initialize(1, ("a", "b", "c"), MEMBERS)
        return self

    def until(self, holds):
        """Runs the loop until `holds()` is true; fails after 30 s."""
        deadline = time.monotonic() + 30
        while not holds():
            assert time.monotonic() < deadline, (self.told, self.failed)
            self.loop.call_after(100, lambda: None)
            self.loop.turn()

    def wrote(self, write):
        """Writes and waits until the write is completed."""
        self.disk.write(write)
        self.until(lambda: WriteCompleted(write.number) in self.told)

    def close(self):
        self.disk.close()
        self.loop.close()
        assert not self.failed


def entry(index, term=1, body=b"x"):
    return LogEntry(index, term, "t.add", body, "a", 1, index)


def held(folder):
    """Returns what a new process would recover from the folder."""
    bench = Bench(folder)
    recovered = bench.disk.open()
    bench.close()
    return recovered
