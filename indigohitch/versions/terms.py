"""The words between the parts: versions, messages to a relay and its answers.  No I/O.

Times are whole tenths of a ms.  A `VersionId` names a version and acknowledges it: it goes out with the
messages and comes back in the answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..encoding.rows import Row
from ..net.clock import SECOND
from .tables import Root


class VersionId(Row, frozen=True):
    """Numbers alone say nothing: two programs may both have made a version 7."""

    number: int
    digest: bytes

    def text(self) -> str:
        return f"{self.number}-{self.digest.hex()[:12]}"


@dataclass(slots=True, frozen=True, eq=False)
class Version:
    number: int
    root: Root
    parent: VersionId | None
    cause: str  # which decision, or which operator
    at: int

    @property
    def version_id(self) -> VersionId:
        return VersionId(self.number, self.root.digest)


class LineUpdate(Row, frozen=True):
    """One line; weight 0 removes it."""

    slice: int
    backend: str
    weight: float


class SliceLines(Row, frozen=True):
    """All lines of one slice: weights by backend."""

    slice: int
    lines: dict[str, float]


class RangeReplacement(Row, frozen=True):
    """All lines of the slices from `first` to `last`, in one step: what is not listed goes."""

    first: int
    last: int
    tables: tuple[SliceLines, ...]

    def lines(self) -> int:
        return sum(len(table.lines) for table in self.tables)


Step = LineUpdate | RangeReplacement


class Message(Row, frozen=True):
    """`sequence` only grows on a connection, from 1; `after`: of the message that it must follow, so that a
    relay that missed one takes none after it.  Without steps it only asks."""

    connection: int
    sequence: int
    after: int
    version_id: VersionId
    updates: tuple[LineUpdate, ...] = ()
    replacements: tuple[RangeReplacement, ...] = ()

    def lines(self) -> int:
        return len(self.updates) + sum(one.lines() for one in self.replacements)


class Claim(Row, frozen=True):
    """What a relay says that it holds.  `parts`: Root.parts, or nothing; `heard`: messages that came to it in
    the last 10 s, so that a program that was restarted does not fill the window twice.  `base`: digest of the
    last version that it held whole, and `since` the lines set after that, if they are few: by these a program
    that was killed within a delta knows what its relays hold."""

    digest: bytes
    parts: tuple[bytes, ...] = ()
    heard: int = 0
    base: bytes = b""
    since: tuple[LineUpdate, ...] = ()


class Ack(Row, frozen=True):
    connection: int
    sequence: int
    version_id: VersionId
    digest: bytes  # of all that it holds now; empty: this relay tells none


class Nack(Row, frozen=True):
    """`refused`: sequence of the message; `sequence`: the last one taken.  `gap`: one between is missing;
    else the relay won't take what it was sent."""

    connection: int
    refused: int
    sequence: int
    gap: bool
    claim: Claim
    why: str = ""


@dataclass(slots=True, frozen=True)
class Guard:
    """What is forbidden on the way.  `cold`: the most weight, over all slices, that a cold backend may have;
    `warm`: backends that may stand in for a moment."""

    draining: frozenset[str] = frozenset()
    cold: dict[str, float] = field(default_factory=dict)
    warm: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Channel:
    """To one relay.  The window is the platform's: so many messages in 10 s."""

    messages: int = 40
    lines: int = 200  # most in one message
    queue: int = 1000  # most lines that wait unanswered
    stall: int = 1  # for each line, the relay answers nothing else that long
    WINDOW = 10 * SECOND


def applied(root: Root, message: Message) -> Root:
    """What a relay holds after it; raises Unfit."""
    for one in message.replacements:
        changes: dict[int, dict] = {slice: {} for slice, _ in root.items(one.first, one.last)}
        root = root.changed(changes | {table.slice: table.lines for table in one.tables})
    changes = {}
    for update in message.updates:
        if update.slice not in changes:
            changes[update.slice] = dict(root.lines_of(update.slice))
        changes[update.slice].pop(update.backend, None)
        if update.weight:
            changes[update.slice][update.backend] = update.weight
    return root.changed(changes)
