"""A disk that keeps what it said it kept, and at a crash sometimes more, in order; for simulated members."""

from __future__ import annotations

from collections import deque

from indigohitch.fleet.raft.interfaces import (
    HardState,
    RecoveredState,
    RestoreSnapshot,
    Snapshot,
    SnapshotCompleted,
    WriteCompleted,
    WriteEntries,
)


class Disk:
    def __init__(self, snap: Snapshot) -> None:
        self.hard_state, self.snapshot, self.entries = HardState(0), snap, []
        self.queue = deque()  # asked for, not yet confirmed: Write, Install or Snap
        self.failed = False

    def carry_out(self) -> WriteCompleted | SnapshotCompleted:
        """The next in order, wholly; returns what the member is told."""
        op = self.queue.popleft()
        if isinstance(op, WriteEntries):
            if op.hard_state is not None:
                self.hard_state = op.hard_state
            if op.truncate_from:
                del self.entries[max(0, op.truncate_from - self.snapshot.index - 1) :]
            fresh = [entry for entry in op.entries if entry.index > self.snapshot.index]
            if fresh and fresh[0].index != self.last + 1:
                raise ValueError(f"a gap on the disk: {fresh[0].index} after {self.last}")
            self.entries += fresh
            return WriteCompleted(op.number)
        snap = op.snapshot if isinstance(op, RestoreSnapshot) else op
        if snap.index > self.snapshot.index:
            keep = [] if isinstance(op, RestoreSnapshot) else self.entries[snap.index - self.snapshot.index :]
            self.snapshot, self.entries = snap, keep
        return SnapshotCompleted(snap)

    def lose(self, chance) -> None:
        """A crash or a failure: some of what was under way may have got there."""
        for _ in range(int(chance() * (len(self.queue) + 1))):
            self.carry_out()
        self.queue.clear()

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    def term(self, index: int) -> int | None:
        """Of the entry there; -1: within the snapshot."""
        at = index - self.snapshot.index
        if at <= 0:
            return -1
        return self.entries[at - 1].term if at <= len(self.entries) else None

    def held(self) -> RecoveredState:
        return RecoveredState(self.hard_state, self.snapshot, list(self.entries))
