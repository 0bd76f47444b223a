"""A disk in a loop of its own, and faults at its calls to the operating system."""

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
    """Room for so many bytes; fsyncs fail while `stuck`."""

    def __init__(self):
        self.room, self.stuck, self.written = 1 << 60, False, 0

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
    def __init__(self, folder, files=None):
        self.failed = []
        clock = Clock()
        self.loop = EventLoop(clock, self.failed.append)
        self.told = []
        self.disk = Storage(
            self.loop, Log(clock, output_fd=NOWHERE), str(folder), "whk", "a", self.told.append, files
        )

    def founded(self):
        assert self.disk.open() is None
        self.disk.initialize(1, ("a", "b", "c"), MEMBERS)
        return self

    def until(self, holds):
        end = time.monotonic() + 30
        while not holds():
            assert time.monotonic() < end, (self.told, self.failed)
            self.loop.call_after(100, lambda: None)
            self.loop.turn()

    def wrote(self, write):
        self.disk.write(write)
        self.until(lambda: WriteCompleted(write.number) in self.told)

    def close(self):
        self.disk.close()
        self.loop.close()
        assert not self.failed


def entry(index, term=1, body=b"x"):
    return LogEntry(index, term, "t.add", body, "a", 1, index)


def held(folder):
    bench = Bench(folder)
    found = bench.disk.open()
    bench.close()
    return found
