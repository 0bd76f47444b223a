"""Keeps a member's log in memory: the entries after the snapshot, and some before it.  No I/O.

The entries before the snapshot allow a leader to bring a member that lags a little up to date without
sending it the whole state machine.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from ..types import LogEntry
from .interfaces import Snapshot

# Size of the other fields of an entry, besides its body and kind, in msgpack, rounded up.
ENTRY_OVERHEAD_BYTES = 64


def entry_size(entry: LogEntry) -> int:
    """Returns the approximate size of an entry in bytes."""
    return len(entry.body) + len(entry.kind) + ENTRY_OVERHEAD_BYTES


class Log:
    """Holds the entries after the base index without a gap; the snapshot is at the base index or after it."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry] = ()) -> None:
        self.replace(snapshot)
        self.append(entries)

    def replace(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.snapshot = snapshot
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.entries: list[LogEntry] = []
        self.bytes_since_snapshot = 0

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in the log (discarded or not yet appended)."""
        position = index - self.base_index
        if 0 < position <= len(self.entries):
            return self.entries[position - 1].term
        return self.base_term if position == 0 else None

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends entries; raises ValueError for a gap, which would be a defect of the node."""
        if not entries:
            return
        if entries[0].index != self.last_index + 1:
            raise ValueError(f"entry {entries[0].index} does not follow entry {self.last_index}")
        self.entries.extend(entries)
        self.bytes_since_snapshot += sum(map(entry_size, entries))

    def truncate(self, index: int) -> None:
        """Removes the entries from `index` on."""
        position = index - self.base_index - 1
        self.bytes_since_snapshot -= sum(map(entry_size, self.entries[position:]))
        del self.entries[position:]

    def entries_between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Returns the entries `first` to `last`, both included."""
        return tuple(self.entries[first - self.base_index - 1 : last - self.base_index])

    def entries_up_to_size(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Returns entries from `first` on, at most `max_bytes` in total, but at least one if there is any."""
        start = first - self.base_index - 1
        end = start
        free_bytes = max_bytes
        while end < len(self.entries):
            free_bytes -= entry_size(self.entries[end])
            if free_bytes < 0 and end > start:
                break
            end += 1
        return tuple(self.entries[start:end])

    def conflict_hint(self, index: int, term: int) -> tuple[int, int]:
        """Returns the last index up to `index` whose entry has `term` or an older one, and that entry's term.

        After that index, up to `index`, this log differs from any log whose entry at `index` has `term`,
        because terms never decrease along a log.
        """
        index = min(index, self.last_index)
        if index <= self.base_index:
            return index, min(term, self.base_term)
        position = bisect_right(self.entries, term, 0, index - self.base_index, key=lambda entry: entry.term)
        return self.base_index + position, self.entries[position - 1].term if position else self.base_term

    def compact(self, snapshot: Snapshot, keep_bytes: int) -> None:
        """Sets a snapshot that is on the disk, and keeps up to `keep_bytes` of the entries before it."""
        position = snapshot.index - self.base_index
        self.bytes_since_snapshot = sum(map(entry_size, self.entries[position:]))
        while position and (keep_bytes := keep_bytes - entry_size(self.entries[position - 1])) >= 0:
            position -= 1
        if position:
            self.base_index += position
            self.base_term = self.entries[position - 1].term
            del self.entries[:position]
        self.snapshot = snapshot
