"""The log that a member keeps in memory: entries from a snapshot on, and some before it.  No I/O.

The entries before the snapshot spare a member that is a little behind the transfer of the
whole state machine.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from ..types import LogEntry
from .interfaces import Snapshot

# Of an entry beside its body and kind: its numbers in msgpack, rounded up.
ENTRY_OVERHEAD_BYTES = 64


def entry_size(entry: LogEntry) -> int:
    """Returns about how many bytes an entry takes."""
    return len(entry.body) + len(entry.kind) + ENTRY_OVERHEAD_BYTES


class Log:
    """Entries `base` + 1 .. `last` without a gap; `snapshot` is at `base` or after it."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[LogEntry] = ()) -> None:
        self.replace(snapshot)
        self.append(entries)

    def replace(self, snapshot: Snapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.snapshot = snapshot
        self.base = snapshot.index
        self.base_term = snapshot.term
        self.entries: list[LogEntry] = []
        self.grown = 0  # bytes of entries after the snapshot

    @property
    def last(self) -> int:
        """Index of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Returns the term of an entry, None if it is not in the log (any more, or yet)."""
        position = index - self.base
        if 0 < position <= len(self.entries):
            return self.entries[position - 1].term
        return self.base_term if position == 0 else None

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Appends entries; raises ValueError where a gap would be, which is a defect of the node."""
        if not entries:
            return
        if entries[0].index != self.last + 1:
            raise ValueError(f"entry {entries[0].index} after {self.last}")
        self.entries.extend(entries)
        self.grown += sum(map(entry_size, entries))

    def truncate(self, index: int) -> None:
        """Drops the entries from `index` on."""
        position = index - self.base - 1
        self.grown -= sum(map(entry_size, self.entries[position:]))
        del self.entries[position:]

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Returns the entries `first` to `last`, both included."""
        return tuple(self.entries[first - self.base - 1 : last - self.base])

    def up_to_size(self, first: int, max_bytes: int) -> tuple[LogEntry, ...]:
        """Returns entries from `first` on, of at most `max_bytes`, but at least one if there is any."""
        start = first - self.base - 1
        end = start
        free_bytes = max_bytes
        while end < len(self.entries):
            free_bytes -= entry_size(self.entries[end])
            if free_bytes < 0 and end > start:
                break
            end += 1
        return tuple(self.entries[start:end])

    def conflict_hint(self, index: int, term: int) -> tuple[int, int]:
        """Returns the last index at or before `index` whose entry is of `term` or older, and its term.

        No entry after it can equal that of a log whose entry at `index` is of `term`.
        """
        index = min(index, self.last)
        if index <= self.base:
            return index, min(term, self.base_term)
        position = bisect_right(self.entries, term, 0, index - self.base, key=lambda entry: entry.term)
        return self.base + position, self.entries[position - 1].term if position else self.base_term

    def compact(self, snapshot: Snapshot, keep_bytes: int) -> None:
        """Takes a snapshot of this log that is on the disk; `keep_bytes` of the entries before it stay."""
        position = snapshot.index - self.base
        self.grown = sum(map(entry_size, self.entries[position:]))
        while position and (keep_bytes := keep_bytes - entry_size(self.entries[position - 1])) >= 0:
            position -= 1
        if position:
            self.base += position
            self.base_term = self.entries[position - 1].term
            del self.entries[:position]
        self.snapshot = snapshot
