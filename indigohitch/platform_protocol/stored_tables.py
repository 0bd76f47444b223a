"""Stored tables of the owned slices: as the relay sent them, with the orders acknowledged since."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .. import interface as face


@dataclass(slots=True)
class StoredTable:
    """Routes and admission level of one table."""

    routes: dict[str, float] = field(default_factory=dict)  # routes: weight by backend
    level: face.SetAdmission | None = None  # None: the table has no level of its own


StoredTables = dict[int, StoredTable]


def apply_orders(tables: StoredTables, orders: Iterable[face.Order]) -> None:
    """Apply orders to the tables in place; orders for slices that are not owned are ignored."""
    for order in orders:
        table = tables.get(getattr(order, "table", face.ALL_TABLES))
        if table is None:
            continue
        if isinstance(order, face.SetRoute):
            table.routes.pop(order.backend, None)
            if order.weight:
                table.routes[order.backend] = order.weight
        elif isinstance(order, face.ClearTable):
            table.routes = {}
            table.level = None
        elif isinstance(order, face.SetAdmission):
            table.level = order


def copy_tables(tables: StoredTables) -> StoredTables:
    """Return a copy whose tables can be changed independently."""
    return {number: StoredTable(dict(table.routes), table.level) for number, table in tables.items()}


def changed_tables(orders: Iterable[face.Order]) -> set[int]:
    """Return the numbers of the tables that these orders change."""
    return {
        order.table
        for order in orders
        if isinstance(order, (face.SetRoute, face.ClearTable, face.SetAdmission))
    }


def is_in_transfer(table: StoredTable) -> bool:
    """Return whether the table is closed, by its admission level or without a route, to change its owner."""
    return not table.routes or table.level is not None and table.level.admission_ratio == 0


def orders_for_routes(orders: Iterable[face.Order], numbers: set[int]) -> list[face.Order]:
    """Return the orders for these slices without admission levels, which are reset separately."""
    return [
        order
        for order in orders
        if getattr(order, "table", None) in numbers and not isinstance(order, face.SetAdmission)
    ]


def ownership_events(number: int, table: StoredTable) -> list[face.Event]:
    """Return the events that report an owned slice and its routes to the module."""
    return [
        face.SliceOwnership(number, True),
        *(face.StoredRoute(number, backend, weight) for backend, weight in table.routes.items()),
    ]


def admission_resets(numbers: Iterable[int], tables: StoredTables) -> list[face.Order]:
    """Return orders that reset admission levels, as a newly acquired slice has to start without one."""
    return [
        replace(tables[number].level, methods=(), admission_ratio=1.0)
        for number in numbers
        if tables[number].level is not None and tables[number].level.admission_ratio != 1.0
    ]
