"""A simulated member of the ledger: machine, state machine, disk and clock of one process."""

from __future__ import annotations

import zlib

import msgspec

from indigohitch.encoding.rows import Row
from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.raft.interfaces import Snapshot
from indigohitch.fleet.raft.node import RaftNode
from indigohitch.fleet.state_machine import ReplicatedStateMachine
from proofs.ledger_disk import Disk

BOOTSTRAP = {
    "election": 2400,
    "beat": 600,
    "log_most": 2500,
    "append_most": 300,
    "piece": 400,
    "inflight": 3,
    "proposals_most": 24,
}
DRIFT = 0.02  # of a member's clock, at most; more than real, so that it matters


class Add(Row):
    number: int


class Name(Row):
    name: str


class ToyRow(Row):
    chain: int
    count: int
    holder: str
    shut: bool


class Toy:
    """A part of the state: a chain over all that was added, and where; and one thing that a member holds,
    which goes to another only after it was shut."""

    name, kinds = "toy", {"add": Add, "shut": Name, "hold": Name}

    def __init__(self) -> None:
        self.restore(msgspec.msgpack.encode(ToyRow(0, 0, "", True)))

    def apply(self, at, word, body) -> int:
        if word == "shut":
            self.shut = self.shut or body.name == self.holder
        elif word == "hold":
            if not self.shut:
                raise InvalidRequestError("it is held")
            self.holder, self.shut = body.name, False
        else:
            self.chain = zlib.crc32(b"%d %d" % (body.number, at.index), self.chain)
            self.count += 1
        return self.count

    def row(self) -> ToyRow:
        return ToyRow(self.chain, self.count, self.holder, self.shut)

    def restore(self, row) -> None:
        row = msgspec.msgpack.decode(row, type=ToyRow)
        self.chain, self.count, self.holder, self.shut = row.chain, row.count, row.holder, row.shut


class Station:
    def __init__(self, me, members, bootstrap, chance) -> None:
        self.me, self.bootstrap, self.chance = me, bootstrap, chance
        self.rate = 1 + DRIFT * (2 * chance() - 1)
        self.offset = int(chance() * 1e6)
        self.disk = Disk(Snapshot(0, 0, members, b""))
        self.machine = self.state_machine = None  # None while it doesn't run
        self.epoch = 0  # counts its starts: what was under way before is void
        self.stopped_until = 0
        self.slow = 1  # times as long for the disk
        self.due_at = 0  # the `Due` that is in the queue
        self.heard = None  # local time at which a leader was heard

    def local(self, now: int) -> int:
        return self.offset + int(now * self.rate)

    def when(self, local: int) -> int:
        """Of the world's time, not before it is that of this clock."""
        return int((local - self.offset) / self.rate) + 1

    def hears_leader(self, local: int) -> bool:
        return self.heard is not None and local - self.heard < BOOTSTRAP["election"]

    def start(self, now: int) -> None:
        held = self.disk.held()
        self.state_machine = ReplicatedStateMachine([Toy()])
        if held.snapshot.state:
            self.state_machine.restore(held.snapshot.state)
        self.machine = RaftNode(self.me, held, self.bootstrap, self.chance, self.local(now))
        self.epoch += 1
        self.heard, self.due_at, self.stopped_until = None, 0, 0
        self.lease = None  # until when, by its own clock, it may act
        self.given = {}  # as leader: until when each member may, by this clock

    def crash(self) -> None:
        """Memory is lost, and of what was asked of the disk what it hadn't confirmed, or some of it."""
        self.machine = self.state_machine = None
        self.epoch += 1
        self.disk.lose(self.chance)
        self.disk.failed = False
