"""What stands in the store for the slices in charge: as the relay told it, changed by the orders that
it has answered since."""
from __future__ import annotations

from typing import Iterable

from .. import interface as face

Lines = dict[int, dict[str, float]]


def carry_out(lines: Lines, orders: Iterable[face.Order]) -> None:
    """What these orders make of the lines; an order for a slice not in charge changes nothing."""
    for order in orders:
        if isinstance(order, face.SetLine) and order.table in lines:
            if order.weight:
                lines[order.table][order.backend] = order.weight
            else:
                lines[order.table].pop(order.backend, None)
        elif isinstance(order, face.ClearTable) and order.table in lines:
            lines[order.table] = {}


def copy(lines: Lines) -> Lines:
    return {number: dict(table) for number, table in lines.items()}


def touched(orders: Iterable[face.Order]) -> set[int]:
    return {o.table for o in orders if isinstance(o, (face.SetLine, face.ClearTable, face.SetLevel))
            and o.table != face.ALL_TABLES}


def given(number: int, lines: dict[str, float]) -> list[face.Event]:
    """A slice with its lines, as the module hears of it."""
    return [face.Charge(number, True), *(face.StoredLine(number, b, w) for b, w in lines.items())]
