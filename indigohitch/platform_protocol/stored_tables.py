"""What stands in the store for the slices in charge: as the relay told it, changed by the orders that
it has answered since."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .. import interface as face


@dataclass(slots=True)
class StoredTable:
    lines: dict[str, float] = field(default_factory=dict)
    level: face.SetAdmission | None = None  # the level of its own, where it has one


StoredTables = dict[int, StoredTable]


def apply_orders(tables: StoredTables, orders: Iterable[face.Order]) -> None:
    """What these orders make of the tables; an order for a slice not in charge changes nothing."""
    for order in orders:
        table = tables.get(getattr(order, "table", face.ALL_TABLES))
        if table is None:
            continue
        if isinstance(order, face.SetRoute):
            table.lines.pop(order.backend, None)
            if order.weight:
                table.lines[order.backend] = order.weight
        elif isinstance(order, face.ClearTable):
            table.lines, table.level = {}, None
        elif isinstance(order, face.SetAdmission):
            table.level = order


def copy_tables(tables: StoredTables) -> StoredTables:
    return {number: StoredTable(dict(table.lines), table.level) for number, table in tables.items()}


def changed_tables(orders: Iterable[face.Order]) -> set[int]:
    return {o.table for o in orders if isinstance(o, (face.SetRoute, face.ClearTable, face.SetAdmission))}


def ownership_events(number: int, table: StoredTable) -> list[face.Event]:
    """A slice with its lines, as the module hears of it."""
    return [
        face.SliceOwnership(number, True),
        *(face.StoredRoute(number, b, w) for b, w in table.lines.items()),
    ]


def admission_resets(numbers: Iterable[int], tables: StoredTables) -> list[face.Order]:
    """A slice given comes without a level: where one stands, this makes it true."""
    return [
        replace(tables[n].level, methods=(), admission_ratio=1.0)
        for n in numbers
        if tables[n].level is not None and tables[n].level.admission_ratio != 1.0
    ]
