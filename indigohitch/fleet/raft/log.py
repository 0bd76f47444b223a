"""The log as a member holds it in memory: entries from a snapshot on, and a stretch before it.  No I/O.

What stays before the snapshot saves a member that lags a little from being sent the whole state machine."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from ..types import LogEntry
from .interfaces import Snapshot

# What an entry weighs beside its body and kind: its numbers in msgpack, rounded up.
ENTRY_OVERHEAD_BYTES = 64


def entry_size(entry: LogEntry) -> int:
    """Bytes, nearly."""
    return len(entry.body) + len(entry.kind) + ENTRY_OVERHEAD_BYTES


class Log:
    """Entries `base` + 1 .. `last` without a gap; `snap` stands at `base` or after it."""

    def __init__(self, snap: Snapshot, entries: Sequence[LogEntry] = ()) -> None:
        self.replace(snap)
        self.append(entries)

    def replace(self, snap: Snapshot) -> None:
        """All of it by a snapshot."""
        self.snapshot, self.base, self.base_term = snap, snap.index, snap.term
        self.entries: list[LogEntry] = []
        self.grown = 0  # bytes of entries after the snapshot

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int | None:
        """Of the entry there; None where it is not known (any more, or yet)."""
        at = index - self.base
        if 0 < at <= len(self.entries):
            return self.entries[at - 1].term
        return self.base_term if at == 0 else None

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Raises ValueError where a gap would be: a defect of the machine."""
        if not entries:
            return
        if entries[0].index != self.last + 1:
            raise ValueError(f"entry {entries[0].index} after {self.last}")
        self.entries.extend(entries)
        self.grown += sum(map(entry_size, entries))

    def cut(self, index: int) -> None:
        """Entries from `index` on are void."""
        at = index - self.base - 1
        self.grown -= sum(map(entry_size, self.entries[at:]))
        del self.entries[at:]

    def some(self, first: int, last: int) -> tuple[LogEntry, ...]:
        return tuple(self.entries[first - self.base - 1 : last - self.base])

    def up_to(self, first: int, most: int) -> tuple[LogEntry, ...]:
        """From `first` on, as many as weigh `most` bytes, at least one if there is any."""
        at = first - self.base - 1
        end, left = at, most
        while end < len(self.entries):
            left -= entry_size(self.entries[end])
            if left < 0 and end > at:
                break
            end += 1
        return tuple(self.entries[at:end])

    def hint(self, index: int, term: int) -> tuple[int, int]:
        """The last place at or before `index` whose entry is of `term` or older, and its term: nothing after
        it can be as one has it whose entry at `index` is of `term`."""
        index = min(index, self.last)
        if index <= self.base:
            return index, min(term, self.base_term)
        at = bisect_right(self.entries, term, 0, index - self.base, key=lambda entry: entry.term)
        return self.base + at, self.entries[at - 1].term if at else self.base_term

    def snapped(self, snap: Snapshot, keep: int) -> None:
        """A snapshot of this log stands on the disk: of what lies before it `keep` bytes stay here."""
        at = snap.index - self.base
        self.grown = sum(map(entry_size, self.entries[at:]))
        while at and (keep := keep - entry_size(self.entries[at - 1])) >= 0:
            at -= 1
        if at:
            self.base, self.base_term = self.base + at, self.entries[at - 1].term
            del self.entries[:at]
        self.snapshot = snap
