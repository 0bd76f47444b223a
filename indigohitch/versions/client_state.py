"""What a client holds, and what it may hold while messages to it are unanswered. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence

from .tables import Root
from .terms import Claim, Message, Version, VersionId, applied


def distinct(roots: Iterable[Root]) -> list[Root]:
    """Returns the roots without repetitions, in order."""
    return list(dict.fromkeys(roots))


def after_each(roots: Sequence[Root], in_flight: Sequence[Message]) -> list[Root]:
    """Returns each of `roots` after the first 0, 1, ... messages in flight.

    A client takes messages in order or not at all.
    """
    contents = []
    for root in roots:
        contents.append(root)
        for message in in_flight:
            root = applied(root, message)
            contents.append(root)
    return distinct(contents)


def after_all(roots: Sequence[Root], in_flight: Sequence[Message]) -> list[Root]:
    """Returns each of `roots` after all messages in flight."""
    for message in in_flight:
        roots = [applied(root, message) for root in roots]
    return distinct(roots)


def claimed_content(claim: Claim, find: Callable[[bytes], Root | None]) -> Root | None:
    """Returns the kept version that the claim names, or one with the lines set since, or None.

    A content is believed only if its digest is that of the claim.
    """
    root = find(claim.digest)
    if root is None and claim.base and (base := find(claim.base)) is not None:
        root = applied(base, Message(0, 0, 0, VersionId(0, claim.digest), claim.since))
    return root if root is not None and root.digest == claim.digest else None


class ClientState:
    """What one client holds, may hold, and has to reach."""

    def __init__(self) -> None:
        self.target: Version | None = None
        self.confirmed: Root | None = None  # acknowledged
        self.in_flight: deque[Message] = deque()  # sent after that, unanswered
        self.candidates: list[Root] = []  # the client holds one of these, if nothing is confirmed

    def answered_contents(self) -> list[Root]:
        """Returns what the client held at its last answer: one content, or one of several."""
        return [self.confirmed] if self.confirmed is not None else list(self.candidates)

    def possible_contents(self) -> list[Root]:
        """Returns all contents that the client may hold now; if empty, it may hold anything."""
        return after_each(self.answered_contents(), self.in_flight)

    def expected_contents(self) -> list[Root]:
        """Returns what the client holds once it has taken all messages in flight."""
        return after_all(self.answered_contents(), self.in_flight)

    def digests(self) -> set[bytes]:
        """Returns the digests of contents that the client holds, may hold or has to reach."""
        held = {root.digest for root in (self.confirmed, *self.candidates) if root is not None}
        held.update(message.version_id.digest for message in self.in_flight)
        return held | ({self.target.root.digest} if self.target is not None else set())

    def take_from_flight(self, sequence: int) -> None:
        """Applies and removes all messages in flight up to that sequence, which the client has taken."""
        while self.in_flight and self.in_flight[0].sequence <= sequence:
            message = self.in_flight.popleft()
            if self.confirmed is not None:
                self.confirmed = applied(self.confirmed, message)
            elif self.candidates:
                self.candidates = distinct(applied(root, message) for root in self.candidates)

    def confirm_if_single(self) -> None:
        """Confirms the content if only one candidate is left."""
        if len(self.candidates) == 1:
            self.confirmed, self.candidates = self.candidates[0], []
