"""What may be held after messages of which it is not known whether they were taken.  No I/O."""
from __future__ import annotations

from collections.abc import Iterable, Sequence

from .tables import Root
from .terms import Message, applied


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
