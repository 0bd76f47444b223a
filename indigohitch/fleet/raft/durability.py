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
        self.last_write = 0  # number of the last write that was put out
        self.stable_index = stable  # entries up to here are on the disk
        self.failed = False
        self.hard_state_write = 0  # number of the last write that contains the hard state
        self.completed_write = 0  # number of the last completed write
        self.installing = 0  # index of a snapshot that is being written in place of the log
        self.pending: deque[list[int]] = deque()  # [write number, index of the last entry it makes stable]
        self.deferred_messages: deque[tuple[int, SendMessage]] = deque()  # (write number, message)

    @property
    def is_hard_state_durable(self) -> bool:
        """Returns whether the term and the vote in memory are on the disk."""
        return not self.failed and self.completed_write >= self.hard_state_write

    @property
    def match_index(self) -> int:
        """Returns the index up to which entries may be acknowledged."""
        return 0 if self.installing or self.failed else self.stable_index

    def write(
        self, hard_state: HardState | None, truncate_from: int, entries: tuple[LogEntry, ...], last: int
    ) -> list[Output]:
        """Returns the output for a write after which the log ends at `last`.

        Returns nothing while the disk has failed; `RaftState.on_storage_recovered` writes everything later.
        """
        if truncate_from:
            self.stable_index = min(self.stable_index, truncate_from - 1)
            for write in self.pending:
                write[1] = min(write[1], truncate_from - 1)
        if self.failed:
            return []
        self.last_write += 1
        if hard_state is not None:
            self.hard_state_write = self.last_write
        self.pending.append([self.last_write, last])
        return [WriteEntries(self.last_write, hard_state, truncate_from, entries)]

    def on_write_completed(self, number: int) -> list[Output]:
        """Records a completed write; returns the messages that were waiting for it."""
        if self.failed or number > self.last_write:
            return []
        self.completed_write = max(self.completed_write, number)
        while self.pending and self.pending[0][0] <= number:
            self.stable_index = max(self.stable_index, self.pending.popleft()[1])
        outputs: list[Output] = []
        while self.deferred_messages and self.deferred_messages[0][0] <= number:
            outputs.append(self.deferred_messages.popleft()[1])
        return outputs

    def fail(self) -> None:
        """Records a failed write; drops all pending writes and the messages that wait for them."""
        self.failed = True
        self.pending.clear()
        self.deferred_messages.clear()

    def start_install(self, index: int) -> None:
        """Records that a snapshot replaces the log, which makes earlier writes irrelevant."""
        self.installing = index
        self.stable_index = 0
        self.pending.clear()

    def on_snapshot_written(self, index: int) -> None:
        """Records that a snapshot at `index` is on the disk."""
        self.stable_index = max(self.stable_index, index)
        if self.installing and index >= self.installing:
            self.installing = 0
