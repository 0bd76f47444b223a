"""Versions kept: the last ones, the named ones, and those that some relay holds or may hold. No I/O.

Memory is bounded by `last` versions, `MAX_NAMED_VERSIONS` names, and one version for each content that a
relay holds (versions share what they have in common; relays that hold the same content count once).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from ..errors import InvalidRequestError
from .tables import Root
from .terms import Version

VERSIONS_KEPT = 64  # about an hour of a busy module; a version with one changed line takes some kB
MAX_NAMED_VERSIONS = 32  # given by operators; each may keep a whole table in memory


class VersionHistory:
    """The kept versions, found by number, name or digest."""

    def __init__(self, last: int = VERSIONS_KEPT) -> None:
        self.last = last
        self.by_number: dict[int, Version] = {}  # by number, oldest first
        self.names: dict[str, int] = {}
        self.holders: Counter[bytes] = Counter()  # digest: how many relays hold or may hold that content
        self.by_digest: dict[bytes, Version] = {}
        self.pinned: set[int] = set()  # pinned, or baseline of a staged rollout: kept without a name
        self.retains_all = False  # after a start, until relays have had time to reconnect

    @property
    def newest(self) -> Version | None:
        """The version of the highest number, or None."""
        return next(reversed(self.by_number.values()), None)

    def add(self, version: Version) -> list[Version]:
        """Adds a version and returns those forgotten; raises InvalidRequestError if its number is not new."""
        if self.newest is not None and version.number <= self.newest.number:
            raise InvalidRequestError(
                f"version {version.number} after {self.newest.number}", "", "numbers only grow"
            )
        self.by_number[version.number] = version
        self.by_digest[version.root.digest] = version
        return self.forget()

    def name(self, name: str, number: int) -> None:
        """Names a kept version; raises InvalidRequestError if it is not kept or too many have names."""
        if number not in self.by_number:
            raise InvalidRequestError(
                f"version {number} is not kept", "", "`show` what is kept, and name one of those"
            )
        if name not in self.names and len(self.names) >= MAX_NAMED_VERSIONS:
            raise InvalidRequestError(
                f"{MAX_NAMED_VERSIONS} versions have names", name, "take one of the names away"
            )
        self.names[name] = number

    def unname(self, name: str) -> list[Version]:
        """Removes a name and returns the versions forgotten."""
        self.names.pop(name, None)
        return self.forget()

    def get(self, which: str | int) -> Version:
        """Returns a version by name, number or VersionId.text(); raises InvalidRequestError if not kept."""
        text = str(which)
        number = self.names.get(text)
        if number is None and (head := text.partition("-")[0]).isdigit():
            number = int(head)
        found = self.by_number.get(number) if number is not None else None
        if found is None or "-" in text and text not in self.names and found.version_id.text() != text:
            raise InvalidRequestError(f"no version {text}", "", "list those that are kept")
        return found

    def find(self, digest: bytes) -> Root | None:
        """Returns the kept content of that digest, or None."""
        found = self.by_digest.get(digest)
        return found.root if found is not None else None

    def count_holder(self, before: Iterable[bytes], now: Iterable[bytes]) -> list[Version]:
        """Records that a relay that held, or may have held, contents `before` may now hold `now`.

        Both are digests. Returns the versions forgotten.
        """
        self.holders.update(now)
        for digest in before:
            self.holders[digest] -= 1
            if self.holders[digest] <= 0:
                del self.holders[digest]
        return self.forget()

    def forget(self) -> list[Version]:
        """Drops versions that are no longer needed and returns them.

        Of versions with equal content that relays hold, the newest is kept.
        """
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
        # An older version, kept by its name, may have the same content: the digest then leads to that one.
        lost = {version.root.digest for version in gone if self.by_digest[version.root.digest] is version}
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
    """Where versions are stored before they are sent. Calls raise OSError, and then keep nothing."""

    history: VersionHistory
    pinned: PinRecord | None

    def add(self, version: Version) -> None:
        """Stores the version and adds it to the history."""

    def name(self, name: str, number: int) -> None:
        """Names a version; number 0 removes the name. Raises InvalidRequestError as VersionHistory does."""

    def pin(self, number: int, by: str, at: int) -> None:
        """Stores a pin; number 0 removes it."""


class MemoryStore:
    """A VersionStore for a process that keeps nothing on disk."""

    def __init__(self, last: int = VERSIONS_KEPT) -> None:
        self.history, self.pinned = VersionHistory(last), None

    def add(self, version: Version) -> None:
        """Adds the version to the history."""
        self.history.add(version)

    def pin(self, number: int, by: str, at: int) -> None:
        """Keeps that version in the history while it is pinned; number 0 ends this."""
        self.history.pinned = {number} if number else set()
