"""Reads this member's own folder over and over, a piece with each beat: what was changed, taken out or harmed
since it was written is told while the fleet runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ...net.clock import SECOND
from .check import Finding, Links
from .files import Store, chains, frames
from .heads import Facts, Kept

# Bytes a beat: some 300 records, 2 ms.  All files of a folder take some minutes.
PIECE = 64 << 10
PAUSE = 10 * SECOND  # from one round to the next: a small folder isn't read with every beat
FINDINGS = 16  # kept; the first ones tell the most


class Scrub:
    def __init__(self, member: str, store: Store, facts: Callable[[], Facts]) -> None:
        self.member = member
        self.store = store
        self.facts = facts
        self.rounds = 0
        self.records = 0  # whole rounds, and what the one under way has read
        self.found: list[Finding] = []
        self.files: list[tuple[tuple[int, int], Path]] = []  # still to be read in this round
        self.links: Links | None = None
        self.at = 0
        self.due = 0  # in the first of them; when the next round begins

    def step(self, now: int) -> list[Finding]:
        """The next piece; what is new that is wrong.  Raises OSError."""
        if not self.files and now < self.due:
            return []
        self.due = now + PAUSE
        new = [one for one in self.piece() if one not in self.found]
        self.found += new[: FINDINGS - len(self.found)]
        return new

    def piece(self) -> list[Finding]:
        if not self.files:
            return self.again()
        (incarnation, first), path = self.files[0]
        try:
            with open(path, "rb") as file:
                file.seek(self.at)
                data = file.read(PIECE)
        except FileNotFoundError:  # given up meanwhile, and the ledger knows from where on
            self.files.pop(0)
            self.links = None
            self.at = 0
            return []
        found: list[Finding] = []
        if self.links is None or self.links.incarnation != incarnation:
            found += self.ended()
            kept = self.kept()
            past = Kept(incarnation, first=first) if incarnation < min(kept, default=0) else None
            self.links = Links(self.member, incarnation, kept.get(incarnation, past))
        elif not self.at and self.links.last is not None and first <= self.links.last.stamp.number:
            self.links = Links(self.member, incarnation, Kept(incarnation, first=first))  # files.Store.sync
        records, end, spoilt = frames(data)
        for record in records:
            found += self.links.next(record)
        self.records = self.records + len(records)
        self.at = self.at + end
        if spoilt:
            found.append(
                Finding("spoilt", self.member, incarnation, first, f"{path.name}, byte {self.at}: {spoilt}")
            )
        if spoilt or not records or len(data) < PIECE:
            self.files.pop(0)
            self.at = 0
        return found

    def kept(self) -> dict[int, Kept]:
        return {one.incarnation: one for one in self.facts().kept.get(self.member, ())}

    def ended(self) -> list[Finding]:
        """The chain just read is over.  That which is written goes on: its head may be ahead of what was
        read."""
        links = self.links
        self.links = None
        return [] if links is None or links.incarnation == self.store.incarnation else list(links.end())

    def again(self) -> list[Finding]:
        found = self.ended()
        self.rounds += bool(self.records)
        self.records = 0
        self.files = chains(self.store.folder)
        there = {incarnation for (incarnation, _), _ in self.files}
        for incarnation, kept in self.kept().items():
            if incarnation not in there and incarnation != self.store.incarnation:
                found += Links(self.member, incarnation, kept).end()
        return found
