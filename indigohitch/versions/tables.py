"""Tables of all slices as one immutable trie; a change shares all nodes that it does not touch. No I/O.

The trie has four levels of 16 children each and no empty nodes, so the same lines always give the same trie
and the same digest, whatever changes led there (a Merkle tree over the numbers of the slices).
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator, Mapping

from ..encoding.rows import digest
from ..errors import InvalidRequestError

SLICES = 1 << 16  # slices are the table numbers of the module's orders
FAN_OUT, LEVELS = 16, 4
PARTS = 256  # nodes of the second level, whose digests a relay may report
SLICES_PER_PART = 256
EMPTY_DIGEST = bytes(16)

Lines = Mapping[str, float]


class Table:
    """The lines of one slice, ordered by backend; never empty."""

    __slots__ = ("lines", "digest")

    def __init__(self, lines: Lines) -> None:
        """Raises InvalidRequestError for a weight that is not a finite number above 0."""
        for backend, weight in lines.items():
            if not (math.isfinite(weight) and weight > 0):
                raise InvalidRequestError(
                    f"a weight of {weight}", backend, "give a number above 0, or leave the line out"
                )
        self.lines = dict(sorted(lines.items()))
        encoded = [
            f"{backend}\0".encode() + struct.pack("!d", weight) for backend, weight in self.lines.items()
        ]
        self.digest = digest(b"".join(encoded), 1)


class Node:
    """An inner node of the trie, with the digest and the counts of all below it; never empty."""

    __slots__ = ("digest", "below", "slices", "lines")

    def __init__(self, below: tuple) -> None:
        self.below = below
        self.digest = digest(b"".join(EMPTY_DIGEST if one is None else one.digest for one in below), 2)
        children = [one for one in below if one is not None]
        self.slices = sum(one.slices if isinstance(one, Node) else 1 for one in children)
        self.lines = sum(one.lines if isinstance(one, Node) else len(one.lines) for one in children)


def updated_node(node: Node | None, level: int, changes: list[tuple[int, Table | None]]) -> Node | None:
    """Returns the node with these tables replaced (None removes one), or None if nothing is left."""
    below = list(node.below) if node is not None else [None] * FAN_OUT
    shift = 4 * (LEVELS - 1 - level)
    by_place: dict[int, list] = {}
    for change in changes:
        by_place.setdefault(change[0] >> shift & FAN_OUT - 1, []).append(change)
    for place, place_changes in by_place.items():
        below[place] = (
            place_changes[-1][1]
            if level == LEVELS - 1
            else updated_node(below[place], level + 1, place_changes)
        )
    return Node(tuple(below)) if any(one is not None for one in below) else None


class Root:
    """The content of all slices; equal if the digests are."""

    __slots__ = ("node",)

    def __init__(self, node: Node | None = None) -> None:
        self.node = node

    @property
    def digest(self) -> bytes:
        """Digest of the whole content; 16 zero bytes if there is none."""
        return self.node.digest if self.node is not None else EMPTY_DIGEST

    @property
    def slices(self) -> int:
        """Number of slices that have lines."""
        return self.node.slices if self.node is not None else 0

    @property
    def lines(self) -> int:
        """Number of lines in all slices."""
        return self.node.lines if self.node is not None else 0

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Root) and self.digest == other.digest

    def __hash__(self) -> int:
        return hash(self.digest)

    def get(self, slice: int) -> Table | None:
        """Returns the slice's table, or None if it has no lines."""
        node = self.node
        for level in range(LEVELS):
            if node is None:
                return None
            node = node.below[slice >> 4 * (LEVELS - 1 - level) & FAN_OUT - 1]
        return node

    def lines_of(self, slice: int) -> Lines:
        """Returns the slice's weights by backend; empty if it has no lines."""
        table = self.get(slice)
        return table.lines if table is not None else {}

    def changed(self, changes: Mapping[int, Lines]) -> Root:
        """Returns a root with the lines of these slices replaced; empty lines remove the slice.

        Raises InvalidRequestError for a slice number out of range or an invalid weight.
        """
        for slice in changes:
            if not 0 <= slice < SLICES:
                raise InvalidRequestError(f"slice {slice}", "", f"slices have numbers below {SLICES}")
        made = [(slice, Table(lines) if lines else None) for slice, lines in changes.items()]
        return Root(updated_node(self.node, 0, made)) if made else self

    def with_line(self, slice: int, backend: str, weight: float) -> Root:
        """Returns a root with this one line set; weight 0 removes it."""
        lines = {name: old_weight for name, old_weight in self.lines_of(slice).items() if name != backend}
        return self.changed({slice: lines | {backend: weight} if weight else lines})

    def without(self, first: int, last: int) -> Root:
        """Returns a root without the slices from `first` to `last`."""
        return self.changed({slice: {} for slice, _ in self.items(first, last)})

    def items(self, first: int = 0, last: int = SLICES - 1) -> Iterator[tuple[int, Table]]:
        """Yields the slices from `first` to `last` that have lines, in the order of their numbers."""
        for slice, _, table in differing_slices(None, self.node, 0, 0, first, last):
            yield slice, table

    def parts(self) -> tuple[bytes, ...]:
        """Returns the digests of the 256 parts, each of 256 slices."""
        top = self.node.below if self.node is not None else (None,) * FAN_OUT
        return tuple(
            EMPTY_DIGEST if below is None else below.digest
            for node in top
            for below in (node.below if node is not None else (None,) * FAN_OUT)
        )


def differing_slices(
    a: Node | Table | None,
    b: Node | Table | None,
    level: int,
    base: int,
    first: int = 0,
    last: int = SLICES - 1,
) -> Iterator[tuple[int, Table | None, Table | None]]:
    """Yields slices whose lines differ, with both tables, by number; subtrees of equal digest are skipped."""
    span = 1 << 4 * (LEVELS - level)
    if a is b or base + span <= first or base > last:
        return
    if a is not None and b is not None and a.digest == b.digest:
        return
    if level == LEVELS:
        yield base, a, b
        return
    span //= FAN_OUT
    for place in range(FAN_OUT):
        yield from differing_slices(
            a.below[place] if a is not None else None,
            b.below[place] if b is not None else None,
            level + 1,
            base + place * span,
            first,
            last,
        )


def difference(a: Root, b: Root) -> Iterator[tuple[int, Table | None, Table | None]]:
    """Yields each slice whose lines differ, with its table in `a` and in `b` (None: no lines), by number."""
    yield from differing_slices(a.node, b.node, 0, 0)


def root_of(tables: Mapping[int, Lines] | Iterable[tuple[int, Lines]]) -> Root:
    """Returns a root of these lines by slice; raises InvalidRequestError as Root.changed does."""
    return Root().changed(dict(tables))
