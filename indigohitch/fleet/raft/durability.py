"""What of a member's words lies on its disk, and what waits for it.  No I/O.

Nothing is promised before it is there: votes, the member's own and others', and entries acknowledged, also
those that a leader counts for itself."""

from __future__ import annotations

from collections import deque

from .interfaces import Output, SendMessage, WriteEntries


class DurabilityTracker:
    def __init__(self, stable: int) -> None:
        self.number = 0  # of the last write that was put out
        self.stable = stable  # entries up to here lie on the disk
        self.failed = False
        self.ballot_at = 0  # the write that holds the ballot; done once `done` reaches it
        self.done = 0
        self.installing = 0  # index of a snapshot that is being written in place of the log
        self.pending: deque[list[int]] = deque()  # [number, last entry that it makes stable]
        self.promises: deque[tuple[int, SendMessage]] = deque()

    @property
    def safe(self) -> bool:
        """Term and vote as they stand in memory lie on the disk."""
        return not self.failed and self.done >= self.ballot_at

    @property
    def match_index(self) -> int:
        """Entries up to here may be acknowledged."""
        return 0 if self.installing or self.failed else self.stable

    def write(self, ballot, cut: int, entries: tuple, last: int) -> list[Output]:
        """`last`: where the log ends with it.  While the disk is out of order nothing is put out: `back` does
        it."""
        if cut:
            self.stable = min(self.stable, cut - 1)
            for one in self.pending:
                one[1] = min(one[1], cut - 1)
        if self.failed:
            return []
        self.number += 1
        if ballot is not None:
            self.ballot_at = self.number
        self.pending.append([self.number, last])
        return [WriteEntries(self.number, ballot, cut, entries)]

    def written(self, number: int) -> list[Output]:
        """What may be said now."""
        if self.failed or number > self.number:
            return []
        self.done = max(self.done, number)
        while self.pending and self.pending[0][0] <= number:
            self.stable = max(self.stable, self.pending.popleft()[1])
        out: list[Output] = []
        while self.promises and self.promises[0][0] <= number:
            out.append(self.promises.popleft()[1])
        return out

    def fail(self) -> None:
        self.failed = True
        self.pending.clear()
        self.promises.clear()

    def install(self, index: int) -> None:
        """A snapshot takes the log's place: what was to be written before counts for nothing."""
        self.installing, self.stable = index, 0
        self.pending.clear()

    def snapped(self, index: int) -> None:
        self.stable = max(self.stable, index)
        if self.installing and index >= self.installing:
            self.installing = 0
