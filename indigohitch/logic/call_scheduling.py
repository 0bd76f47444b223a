"""The sequence in which pending orders are sent, and when a call with an unknown outcome is retried.

The orders of one batch make one call; while calls wait, as the relay is unreachable or a limit is reached,
later ones queue behind them. An order with a time limit must not wait behind one without: the calls are
merged, and urgent orders are sent first. Which orders are urgent is decided just before a call is sent, by
the list of that moment, as a backend may begin to drain after the removal of its routes was ordered.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

from .. import interface
from ..interface import SECOND
from .state import DEPARTING_STATES, CoordinatorState

# Delays after the last attempt at a call, once the relay is known to be reachable.
RETRY_DELAYS = (SECOND // 20, SECOND // 10, SECOND // 5, SECOND // 2)
# Delays of a call that was certainly not sent; the first retry is immediate, as it costs nothing.
RESEND_DELAYS = (0, *RETRY_DELAYS)
# The delay while it is unknown whether the relay is reachable. Not more often than the rate limit releases
# messages: a long outage must not use up those that are needed after it.
BLIND_RETRY_DELAY = SECOND * 3 // 2


class StoredRoutes(Protocol):
    """The routes of a table in the store, by backend."""

    lines: Mapping[str, float]


def retry_delay(attempts: int) -> int:
    """Return the ticks after so many attempts to the next one, where the relay is reachable."""
    return RETRY_DELAYS[min(attempts, len(RETRY_DELAYS)) - 1]


def resend_delay(unsent: int) -> int:
    """Return the ticks to the next attempt after so many in a row that were not sent."""
    return RESEND_DELAYS[min(unsent, len(RESEND_DELAYS)) - 1]


def urgent_tables(
    state: CoordinatorState, orders: Iterable[interface.Order], stored: Mapping[int, StoredRoutes]
) -> Collection[int]:
    """Return the tables among these orders that have a time limit, by the routes that are stored now."""
    urgent: set[int] = set()
    tables: set[int] = set()
    for order in orders:
        match order:
            case interface.SetRoute(table, backend, weight):
                tables.add(table)
                if weight == 0 and must_go(state, backend):
                    urgent.add(table)
            case interface.SetAdmission(table) if table != interface.ALL_TABLES:
                tables.add(table)
    for table in tables - urgent:
        closed = table in state.slices and state.slices[table].closed_methods is not None
        if closed or table in stored and must_change(state, stored[table].lines):
            urgent.add(table)
    return urgent


def must_go(state: CoordinatorState, backend: str) -> bool:
    """Return whether a removed route to a backend is urgent: the backend departs, or is cold."""
    known = state.backends.get(backend)
    return known is None or known.state in DEPARTING_STATES or known.warmup_fraction < 1


def must_change(state: CoordinatorState, lines: Collection[str]) -> bool:
    """Return whether a table with these routes has none, or one to a departing backend."""
    return not lines or any(
        backend in state.backends and state.backends[backend].state in DEPARTING_STATES for backend in lines
    )


def is_urgent(order: interface.Order, urgent: Collection[int]) -> bool:
    """Return whether an order is sent before the others.

    Urgent orders eject or readmit a backend, are for an urgent table, or hold one entry for all tables.
    """
    table = getattr(order, "table", interface.ALL_TABLES)
    return not isinstance(order, interface.UpdateMarker) and (
        table == interface.ALL_TABLES or table in urgent
    )


def urgent_orders_first(orders: Sequence[interface.Order], urgent: Collection[int]) -> list[interface.Order]:
    """Return the orders with urgent ones first and markers last; orders of one table keep their sequence."""
    first: list[interface.Order] = []
    later: list[interface.Order] = []
    markers: list[interface.Order] = []
    for order in orders:
        if isinstance(order, interface.UpdateMarker):
            markers.append(order)
        elif is_urgent(order, urgent):
            first.append(order)
        else:
            later.append(order)
    return first + later + markers
