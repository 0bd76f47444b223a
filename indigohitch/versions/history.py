"""Versions kept: the last ones, the named ones, and what some relay holds or may hold.  No I/O.

Memory is bounded by what is said of it: `last` versions, `NAMED` names, and one version for each content that
a relay holds (they share what they have in common; relays that hold the same count once)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from ..errors import InvalidRequestError
from .tables import Root
from .terms import Version

LAST = 64  # about an hour of a busy module; a version of one line takes some kB
NAMED = 32  # an operator's; each may hold a whole table alive


class VersionHistory:
    def __init__(self, last: int = LAST) -> None:
        self.last = last
        self.by_number: dict[int, Version] = {}  # by number, oldest first
        self.names: dict[str, int] = {}
        self.holders: Counter[bytes] = Counter()  # digests, by how many relays hold or may hold it
        self.by_digest: dict[bytes, Version] = {}
        self.pinned: set[int] = set()  # pinned, or pushed in stages: kept without a name
        self.retains_all = False  # after a start, until relays have had time to come back

    @property
    def newest(self) -> Version | None:
        return next(reversed(self.by_number.values()), None)

    def add(self, version: Version) -> list[Version]:
        """Returns those forgotten for it.  Raises Unfit for a number that is not new."""
        if self.newest is not None and version.number <= self.newest.number:
            raise InvalidRequestError(
                f"version {version.number} after {self.newest.number}", "", "numbers only grow"
            )
        self.by_number[version.number] = version
        self.by_digest[version.root.digest] = version
        return self.forget()

    def name(self, name: str, number: int) -> None:
        """Raises Unfit."""
        if number not in self.by_number:
            raise InvalidRequestError(
                f"version {number} is not kept", "", "`show` what is kept, and name one of those"
            )
        if name not in self.names and len(self.names) >= NAMED:
            raise InvalidRequestError(f"{NAMED} versions have names", name, "take one of the names away")
        self.names[name] = number

    def unname(self, name: str) -> list[Version]:
        self.names.pop(name, None)
        return self.forget()

    def get(self, which: str | int) -> Version:
        """By name, number or VersionId.text().  Raises Unfit."""
        text = str(which)
        number = self.names.get(text)
        if number is None and (head := text.partition("-")[0]).isdigit():
            number = int(head)
        found = self.by_number.get(number) if number is not None else None
        if found is None or "-" in text and text not in self.names and found.version_id.text() != text:
            raise InvalidRequestError(f"no version {text}", "", "list those that are kept")
        return found

    def find(self, digest: bytes) -> Root | None:
        found = self.by_digest.get(digest)
        return found.root if found is not None else None

    def count_holder(self, before: Iterable[bytes], now: Iterable[bytes]) -> list[Version]:
        """A relay held, or may have held, contents of those digests, and now of these."""
        self.holders.update(now)
        for digest in before:
            self.holders[digest] -= 1
            if self.holders[digest] <= 0:
                del self.holders[digest]
        return self.forget()

    def forget(self) -> list[Version]:
        """The newest with a content is the one that relays are counted at."""
        if self.retains_all or len(self.by_number) <= self.last:
            return []
        named = self.pinned.union(self.names.values())
        gone = [
            version
            for version in list(self.by_number.values())[: -self.last]
            if version.number not in named
            and not (self.holders[version.root.digest] and self.by_digest[version.root.digest] is version)
        ]
        for version in gone:
            del self.by_number[version.number]
        # A content may stand in an older version too, kept by its name: it is found there from now on.
        lost = {v.root.digest for v in gone if self.by_digest[v.root.digest] is v}
        for digest in lost:
            del self.by_digest[digest]
        for version in self.by_number.values() if lost else ():
            if version.root.digest in lost:
                self.by_digest[version.root.digest] = version
        return gone


class PinRecord(Protocol):
    """A pin as the store keeps it."""

    number: int
    by: str
    at: int


class VersionStore(Protocol):
    """Where versions are written down before they are sent.  Calls raise OSError; then nothing is kept."""

    history: VersionHistory
    pinned: PinRecord | None

    def add(self, version: Version) -> None: ...

    def name(self, name: str, number: int) -> None:
        """Number 0 takes the name away.  Raises Unfit."""

    def pin(self, number: int, by: str, at: int) -> None:
        """Number 0 takes the pin away."""


class MemoryStore:
    """A store for a process that keeps nothing on a disk (VersionStore)."""

    def __init__(self, last: int = LAST) -> None:
        self.history, self.pinned = VersionHistory(last), None

    def add(self, version: Version) -> None:
        self.history.add(version)

    def pin(self, number: int, by: str, at: int) -> None:
        self.history.pinned = {number} if number else set()
