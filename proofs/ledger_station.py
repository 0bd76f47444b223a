"""A simulated member of the ledger: machine, book, disk and clock of one process."""
from __future__ import annotations

import zlib

import msgspec

from indigohitch.fleet.book import Book
from indigohitch.fleet.ledger.machine import Machine
from indigohitch.fleet.ledger.ports import Snap
from indigohitch.packed.rows import Row
from proofs.ledger_disk import Disk

BOOTSTRAP = {"election": 2400, "beat": 600, "log_most": 2500, "append_most": 300, "piece": 400,
             "inflight": 3, "proposals_most": 24}
DRIFT = 0.001                   # of a member's clock, at most


class Add(Row):
    number: int
    count: int = 0


class Toy:
    """A part of the book: a chain over all that was added, and where."""
    name, kinds = "toy", {"add": Add}

    def __init__(self) -> None:
        self.chain, self.count = 0, 0

    def apply(self, at, word, body) -> int:
        self.chain = zlib.crc32(b"%d %d" % (body.number, at.index), self.chain)
        self.count += 1
        return self.count

    def row(self) -> Add:
        return Add(self.chain, self.count)

    def restore(self, row) -> None:
        row = msgspec.msgpack.decode(row, type=Add)
        self.chain, self.count = row.number, row.count


class Station:
    def __init__(self, me, members, bootstrap, chance) -> None:
        self.me, self.bootstrap, self.chance = me, bootstrap, chance
        self.rate = 1 + DRIFT * (2 * chance() - 1)
        self.offset = int(chance() * 1e6)
        self.disk = Disk(Snap(0, 0, members, b""))
        self.machine = self.book = None         # None while it doesn't run
        self.epoch = 0                          # counts its starts: what was under way before is void
        self.stopped_until = 0
        self.slow = 1                           # times as long for the disk
        self.due_at = 0                         # the `Due` that is in the queue
        self.heard = None                       # local time at which a leader was heard

    def local(self, now: int) -> int:
        return self.offset + int(now * self.rate)

    def when(self, local: int) -> int:
        """Of the world's time, not before it is that of this clock."""
        return int((local - self.offset) / self.rate) + 1

    def hears_leader(self, local: int) -> bool:
        return self.heard is not None and local - self.heard < BOOTSTRAP["election"]

    def start(self, now: int) -> None:
        held = self.disk.held()
        self.book = Book([Toy()])
        if held.snap.book:
            self.book.restore(held.snap.book)
        self.machine = Machine(self.me, held, self.bootstrap, self.chance, self.local(now))
        self.epoch += 1
        self.heard, self.due_at, self.stopped_until = None, 0, 0

    def crash(self) -> None:
        """Memory is lost, and of what was asked of the disk what it hadn't confirmed, or some of it."""
        self.machine = self.book = None
        self.epoch += 1
        self.disk.lose(self.chance)
        self.disk.failed = False
