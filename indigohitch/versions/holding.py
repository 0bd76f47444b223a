"""What may be held after messages of which it is not known whether they were taken.  No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from .tables import Root
from .terms import Claim, Mark, Message, Version, applied


def unlike(roots: Iterable[Root]) -> list[Root]:
    return list(dict.fromkeys(roots))


def prefixes(roots: Sequence[Root], flight: Sequence[Message]) -> list[Root]:
    """Each of `roots` after the first 0, 1, ... of `flight`: taken in order, or not at all."""
    found = []
    for root in roots:
        found.append(root)
        for message in flight:
            found.append(root := applied(root, message))
    return unlike(found)


def ahead(roots: Sequence[Root], flight: Sequence[Message]) -> list[Root]:
    """After all of it."""
    for message in flight:
        roots = [applied(root, message) for root in roots]
    return unlike(roots)


def claimed(claim: Claim, find: Callable[[bytes], Root | None]) -> Root | None:
    """A kept version, or one with the lines set since; believed only if the digest is that of the claim."""
    root = find(claim.digest)
    if root is None and claim.base and (base := find(claim.base)) is not None:
        root = applied(base, Message(0, 0, 0, Mark(0, claim.digest), claim.since))
    return root if root is not None and root.digest == claim.digest else None


class Holding:
    """What one relay holds, may hold, and must come to."""

    def __init__(self) -> None:
        self.wanted: Version | None = None
        self.known: Root | None = None  # acknowledged
        self.flight: deque[Message] = deque()  # sent since, unanswered
        self.possible: list[Root] = []  # where it is not known which: one of these

    def may_hold(self) -> list[Root]:
        """All that it may hold now; empty: anything."""
        roots = [self.known] if self.known is not None else list(self.possible)
        return prefixes(roots, self.flight)

    def digests(self) -> set[bytes]:
        """Of versions that it holds, may hold or must come to."""
        held = {root.digest for root in (self.known, *self.possible) if root is not None}
        held.update(message.mark.digest for message in self.flight)
        return held | ({self.wanted.root.digest} if self.wanted is not None else set())

    def ahead(self) -> list[Root]:
        """What it holds once all that is in flight has been taken."""
        roots = [self.known] if self.known is not None else list(self.possible)
        return ahead(roots, self.flight)
