"""Types shared by the modules of this package: versions, messages to a relay and its answers. No I/O.

Times are in ticks of 0.1 ms. A `VersionId` identifies a version and acknowledges it: messages carry it, and
the answers return it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..encoding.rows import Row
from ..net.clock import SECOND
from .tables import Root


class VersionId(Row, frozen=True):
    """Number and digest of a version; a number is ambiguous, as two programs may both make a version 7."""

    number: int
    digest: bytes

    def text(self) -> str:
        """Returns the number and the first 12 hex digits of the digest, as operators give it in commands."""
        return f"{self.number}-{self.digest.hex()[:12]}"


@dataclass(slots=True, frozen=True, eq=False)
class Version:
    """An immutable version of all slices; `at` is when it was made, in ticks."""

    number: int
    root: Root
    parent: VersionId | None
    cause: str  # the decision or the operator that made it
    at: int

    @property
    def version_id(self) -> VersionId:
        """Its number with the digest of its content."""
        return VersionId(self.number, self.root.digest)


class LineUpdate(Row, frozen=True):
    """Sets one line of a slice; weight 0 removes it."""

    slice: int
    backend: str
    weight: float


class SliceLines(Row, frozen=True):
    """All lines of one slice: weights by backend."""

    slice: int
    lines: dict[str, float]


class RangeReplacement(Row, frozen=True):
    """Replaces all lines of the slices from `first` to `last` in one step; slices not listed lose theirs."""

    first: int
    last: int
    tables: tuple[SliceLines, ...]

    def lines(self) -> int:
        """Returns the number of lines that it sets."""
        return sum(len(table.lines) for table in self.tables)


Step = LineUpdate | RangeReplacement


class Message(Row, frozen=True):
    """Steps for a relay; a message without steps only asks for an answer.

    `sequence` counts from 1 on each connection. `after` is the sequence of the message that this one must
    follow, so that a relay that missed a message takes none after it.
    """

    connection: int
    sequence: int
    after: int
    version_id: VersionId
    updates: tuple[LineUpdate, ...] = ()
    replacements: tuple[RangeReplacement, ...] = ()

    def lines(self) -> int:
        """Returns the number of lines of all steps, which the channel's limits count."""
        return len(self.updates) + sum(one.lines() for one in self.replacements)


class Claim(Row, frozen=True):
    """What a relay reports that it holds.

    `parts`: Root.parts, or empty. `heard`: messages received in the last 10 s, so that a restarted program
    does not fill the window twice. `base`: digest of the last version that the relay held whole, and `since`
    the lines set after it, if they are few: they tell a program that was killed within a delta what its
    relays hold.
    """

    digest: bytes
    parts: tuple[bytes, ...] = ()
    heard: int = 0
    base: bytes = b""
    since: tuple[LineUpdate, ...] = ()


class Ack(Row, frozen=True):
    """A relay's answer that it has taken all messages up to `sequence`."""

    connection: int
    sequence: int
    version_id: VersionId
    digest: bytes  # of all that it holds now; empty: this relay reports none


class Nack(Row, frozen=True):
    """A relay's refusal of a message.

    `refused` is the sequence of that message, `sequence` that of the last one taken. With `gap`, a message
    before it is missing; otherwise the relay rejects what it was sent.
    """

    connection: int
    refused: int
    sequence: int
    gap: bool
    claim: Claim
    why: str = ""


@dataclass(slots=True, frozen=True)
class Guard:
    """Restrictions on the intermediate steps of a delta.

    `cold`: the largest weight, over all slices, that each cold backend may have; `warm`: backends that may
    serve as temporary stand-ins.
    """

    draining: frozenset[str] = frozenset()
    cold: dict[str, float] = field(default_factory=dict)
    warm: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Channel:
    """Limits of the connection to one relay; the platform sets the window of so many messages in 10 s."""

    messages: int = 40
    lines: int = 200  # maximum in one message
    queue: int = 1000  # maximum of unanswered lines
    stall: int = 1  # ticks for each line, during which the relay answers nothing else
    WINDOW = 10 * SECOND


def applied(root: Root, message: Message) -> Root:
    """Returns what a relay holds after the message; raises InvalidRequestError as Root.changed does."""
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
