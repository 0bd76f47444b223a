"""Scrubs this member's own folder: reads it over and over, a chunk at each turn, and checks its chains.

Records that are changed, removed or damaged after they were written are thus reported while the fleet runs.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ...net.clock import SECOND
from .check import ChainChecker, Finding
from .files import ChainStore, chain_files, decode_records
from .heads import AuditState, KnownIncarnation

# Read at each turn: some 300 records, 2 ms.  All files of a folder take some minutes.
CHUNK_BYTES = 64 << 10
PAUSE_BETWEEN_ROUNDS = 10 * SECOND  # so that a small folder isn't read at each turn
MAX_FINDINGS = 16  # kept; the first ones tell the most


class Scrubber:
    """Reads the files of one member in rounds."""

    def __init__(self, member: str, store: ChainStore, facts: Callable[[], AuditState]) -> None:
        """Creates a scrubber; `facts()` returns the current state of the part `audit`."""
        self.member = member
        self.store = store
        self.facts = facts
        self.rounds = 0  # completed ones that have read any record
        self.records = 0  # read in the current round
        self.found: list[Finding] = []
        self.files: list[tuple[tuple[int, int], Path]] = []  # still to be read in this round
        self.checker: ChainChecker | None = None  # of the chain that is being read
        self.offset = 0  # in the first of `files`
        self.next_round_at = 0

    def step(self, now: int) -> list[Finding]:
        """Reads the next chunk and returns the findings that are new; raises OSError."""
        if not self.files and now < self.next_round_at:
            return []
        self.next_round_at = now + PAUSE_BETWEEN_ROUNDS
        new = [one for one in self._read_chunk() if one not in self.found]
        self.found += new[: MAX_FINDINGS - len(self.found)]
        return new

    def _read_chunk(self) -> list[Finding]:
        if not self.files:
            return self._start_round()
        (incarnation, first), path = self.files[0]
        try:
            with open(path, "rb") as file:
                file.seek(self.offset)
                data = file.read(CHUNK_BYTES)
        except FileNotFoundError:  # deleted meanwhile; the replicated state knows the first record kept
            self.files.pop(0)
            self.checker = None
            self.offset = 0
            return []
        found: list[Finding] = []
        if self.checker is None or self.checker.incarnation != incarnation:
            found += self._end_chain()
            known = self._known_incarnations()
            # An incarnation that the replicated state has dropped may begin with any record.
            dropped = (
                KnownIncarnation(incarnation, first=first) if incarnation < min(known, default=0) else None
            )
            self.checker = ChainChecker(self.member, incarnation, known.get(incarnation, dropped))
        elif not self.offset and self.checker.last is not None and first <= self.checker.last.stamp.number:
            # This file replaces records of the one before, whose fsync had failed (files.py).
            self.checker = ChainChecker(self.member, incarnation, KnownIncarnation(incarnation, first=first))
        records, end, spoilt = decode_records(data)
        for record in records:
            found += self.checker.check_next(record)
        self.records = self.records + len(records)
        self.offset = self.offset + end
        if spoilt:
            found.append(
                Finding(
                    "spoilt", self.member, incarnation, first, f"{path.name}, byte {self.offset}: {spoilt}"
                )
            )
        if spoilt or not records or len(data) < CHUNK_BYTES:
            self.files.pop(0)
            self.offset = 0
        return found

    def _known_incarnations(self) -> dict[int, KnownIncarnation]:
        return {one.incarnation: one for one in self.facts().incarnations.get(self.member, ())}

    def _end_chain(self) -> list[Finding]:
        """Ends the check of the chain that was read, and returns what is missing at its end.

        The chain that is being written is not checked for that: its head may be ahead of what was read.
        """
        checker = self.checker
        self.checker = None
        return (
            []
            if checker is None or checker.incarnation == self.store.incarnation
            else list(checker.check_end())
        )

    def _start_round(self) -> list[Finding]:
        """Lists the files for a new round, and returns a finding for each known chain without files."""
        found = self._end_chain()
        self.rounds += bool(self.records)
        self.records = 0
        self.files = chain_files(self.store.folder)
        present = {incarnation for (incarnation, _), _ in self.files}
        for incarnation, known in self._known_incarnations().items():
            if incarnation not in present and incarnation != self.store.incarnation:
                found += ChainChecker(self.member, incarnation, known).check_end()
        return found
