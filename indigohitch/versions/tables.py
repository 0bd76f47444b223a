"""Tables of slices as one immutable trie: a change shares all that it does not touch.  No I/O.

Four levels of 16 places each; a node is never without content, so the same lines are always the same trie
and the same digest, whatever way led there (a Merkle tree over the numbers of the slices)."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator, Mapping

from ..encoding.rows import digest
from ..errors import InvalidRequestError

SLICES = 1 << 16  # numbers of tables in the module's orders
FAN, LEVELS = 16, 4
PARTS, PART = 256, 256  # of the second level: what a relay may tell the digests of; slices in each
NOTHING = bytes(16)

Lines = Mapping[str, float]


class Table:
    """The lines of one slice, ordered by backend; never empty."""

    __slots__ = ("lines", "digest")

    def __init__(self, lines: Lines) -> None:
        """Raises Unfit for a weight that is not a number above 0."""
        for backend, weight in lines.items():
            if not (math.isfinite(weight) and weight > 0):
                raise InvalidRequestError(
                    f"a weight of {weight}", backend, "give a number above 0, or leave the line out"
                )
        self.lines = dict(sorted(lines.items()))
        said = [f"{backend}\0".encode() + struct.pack("!d", weight) for backend, weight in self.lines.items()]
        self.digest = digest(b"".join(said), 1)


class Node:
    __slots__ = ("digest", "below", "slices", "lines")

    def __init__(self, below: tuple) -> None:
        self.below = below
        self.digest = digest(b"".join(NOTHING if one is None else one.digest for one in below), 2)
        there = [one for one in below if one is not None]
        self.slices = sum(one.slices if isinstance(one, Node) else 1 for one in there)
        self.lines = sum(one.lines if isinstance(one, Node) else len(one.lines) for one in there)


def grown(node: Node | None, level: int, changes: list[tuple[int, Table | None]]) -> Node | None:
    below = list(node.below) if node is not None else [None] * FAN
    shift = 4 * (LEVELS - 1 - level)
    parted: dict[int, list] = {}
    for change in changes:
        parted.setdefault(change[0] >> shift & FAN - 1, []).append(change)
    for place, some in parted.items():
        below[place] = some[-1][1] if level == LEVELS - 1 else grown(below[place], level + 1, some)
    return Node(tuple(below)) if any(one is not None for one in below) else None


class Root:
    """Content of all slices."""

    __slots__ = ("node",)

    def __init__(self, node: Node | None = None) -> None:
        self.node = node

    @property
    def digest(self) -> bytes:
        return self.node.digest if self.node is not None else NOTHING

    @property
    def slices(self) -> int:
        return self.node.slices if self.node is not None else 0

    @property
    def lines(self) -> int:
        return self.node.lines if self.node is not None else 0

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Root) and self.digest == other.digest

    def __hash__(self) -> int:
        return hash(self.digest)

    def get(self, slice: int) -> Table | None:
        node = self.node
        for level in range(LEVELS):
            if node is None:
                return None
            node = node.below[slice >> 4 * (LEVELS - 1 - level) & FAN - 1]
        return node

    def lines_of(self, slice: int) -> Lines:
        table = self.get(slice)
        return table.lines if table is not None else {}

    def changed(self, changes: Mapping[int, Lines]) -> Root:
        """With these slices' lines in place of theirs (none: the slice goes).  Raises Unfit."""
        for slice in changes:
            if not 0 <= slice < SLICES:
                raise InvalidRequestError(f"slice {slice}", "", f"slices have numbers below {SLICES}")
        made = [(slice, Table(lines) if lines else None) for slice, lines in changes.items()]
        return Root(grown(self.node, 0, made)) if made else self

    def with_line(self, slice: int, backend: str, weight: float) -> Root:
        """Weight 0 removes it."""
        lines = {name: w for name, w in self.lines_of(slice).items() if name != backend}
        return self.changed({slice: lines | {backend: weight} if weight else lines})

    def without(self, first: int, last: int) -> Root:
        return self.changed({slice: {} for slice, _ in self.items(first, last)})

    def items(self, first: int = 0, last: int = SLICES - 1) -> Iterator[tuple[int, Table]]:
        """By number."""
        for slice, _, table in differing(None, self.node, 0, 0, first, last):
            yield slice, table

    def parts(self) -> tuple[bytes, ...]:
        """Digests of its 256 parts, each of 256 slices."""
        top = self.node.below if self.node is not None else (None,) * FAN
        return tuple(
            NOTHING if below is None else below.digest
            for node in top
            for below in (node.below if node is not None else (None,) * FAN)
        )


def differing(
    a, b, level: int, base: int, first: int = 0, last: int = SLICES - 1
) -> Iterator[tuple[int, Table | None, Table | None]]:
    """Slices whose lines differ, with both tables, by number; subtrees of one digest are not entered."""
    span = 1 << 4 * (LEVELS - level)
    if a is b or base + span <= first or base > last:
        return
    if a is not None and b is not None and a.digest == b.digest:
        return
    if level == LEVELS:
        yield base, a, b
        return
    span //= FAN
    for place in range(FAN):
        yield from differing(
            a.below[place] if a is not None else None,
            b.below[place] if b is not None else None,
            level + 1,
            base + place * span,
            first,
            last,
        )


def difference(a: Root, b: Root) -> Iterator[tuple[int, Table | None, Table | None]]:
    yield from differing(a.node, b.node, 0, 0)


def root_of(tables: Mapping[int, Lines] | Iterable[tuple[int, Lines]]) -> Root:
    return Root().changed(dict(tables))
