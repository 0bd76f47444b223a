"""The module's orders as changes to a root.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as face
from .tables import Root

Changes = dict[int, dict[str, float]]


def carried(root: Root, orders: Iterable[face.Order]) -> Changes:
    """New lines of the slices that these orders touch; weights as ordered (checks.weights looks at them)."""
    found: Changes = {}
    for order in orders:
        if isinstance(order, face.SetRoute):
            lines = found.setdefault(order.table, dict(root.lines_of(order.table)))
            if order.weight == 0:
                lines.pop(order.backend, None)
            else:
                lines[order.backend] = order.weight
        elif isinstance(order, face.ClearTable):
            found[order.table] = {}
    return found
