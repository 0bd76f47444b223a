"""Tracks which writes of a member are on its disk, and which messages wait for them.  No I/O.

Nothing counts before it is on the disk: neither a vote, for itself or for another member, nor an entry, which
includes those that a leader counts for itself.
"""

from __future__ import annotations

from collections import deque

from ..types import LogEntry
from .interfaces import HardState, Output, SendMessage, WriteEntries


class DurabilityTracker:
    """Tracks the writes that were put out, and up to which one they are known to be on the disk."""

    def __init__(self, stable: int) -> None:
        self.number = 0  # number of the last write that was put out
        self.stable = stable  # entries up to here are on the disk
        self.failed = False
        self.hard_state_write = 0  # number of the last write that contains the hard state
        self.done = 0  # number of the last completed write
        self.installing = 0  # index of a snapshot that is being written in place of the log
        self.pending: deque[list[int]] = deque()  # [write number, index of the last entry it makes stable]
        self.promises: deque[tuple[int, SendMessage]] = deque()  # (write number, message)

    @property
    def is_hard_state_durable(self) -> bool:
        """Returns whether the term and the vote in memory are on the disk."""
        return not self.failed and self.done >= self.hard_state_write

    @property
    def match_index(self) -> int:
        """Returns the index up to which entries may be acknowledged."""
        return 0 if self.installing or self.failed else self.stable

    def write(
        self, hard_state: HardState | None, truncate_from: int, entries: tuple[LogEntry, ...], last: int
    ) -> list[Output]:
        """Returns the output for a write after which the log ends at `last`.

        Returns nothing while the disk has failed; `RaftState.on_storage_recovered` writes everything later.
        """
        if truncate_from:
            self.stable = min(self.stable, truncate_from - 1)
            for write in self.pending:
                write[1] = min(write[1], truncate_from - 1)
        if self.failed:
            return []
        self.number += 1
        if hard_state is not None:
            self.hard_state_write = self.number
        self.pending.append([self.number, last])
        return [WriteEntries(self.number, hard_state, truncate_from, entries)]

    def on_write_completed(self, number: int) -> list[Output]:
        """Records a completed write; returns the messages that were waiting for it."""
        if self.failed or number > self.number:
            return []
        self.done = max(self.done, number)
        while self.pending and self.pending[0][0] <= number:
            self.stable = max(self.stable, self.pending.popleft()[1])
        outputs: list[Output] = []
        while self.promises and self.promises[0][0] <= number:
            outputs.append(self.promises.popleft()[1])
        return outputs

    def fail(self) -> None:
        """Records a failed write; drops all pending writes and the messages that wait for them."""
        self.failed = True
        self.pending.clear()
        self.promises.clear()

    def start_install(self, index: int) -> None:
        """Records that a snapshot replaces the log, which makes earlier writes irrelevant."""
        self.installing = index
        self.stable = 0
        self.pending.clear()

    def on_snapshot_written(self, index: int) -> None:
        """Records that a snapshot at `index` is on the disk."""
        self.stable = max(self.stable, index)
        if self.installing and index >= self.installing:
            self.installing = 0
