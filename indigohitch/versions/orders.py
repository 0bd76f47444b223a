"""Converts the decision module's orders to changes of a root. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from .. import interface as face
from .tables import Root

Changes = dict[int, dict[str, float]]


def changed_lines(root: Root, orders: Iterable[face.Order]) -> Changes:
    """Returns the new lines of each slice that the orders touch.

    Weights are taken as ordered; checks.weights validates them.
    """
    changes: Changes = {}
    for order in orders:
        if isinstance(order, face.SetRoute):
            lines = changes.setdefault(order.table, dict(root.lines_of(order.table)))
            if order.weight == 0:
                lines.pop(order.backend, None)
            else:
                lines[order.backend] = order.weight
        elif isinstance(order, face.ClearTable):
            changes[order.table] = {}
    return changes
