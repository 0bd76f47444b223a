"""Sequence in which pending orders are sent, and the delays after which calls are retried.

The orders of one batch form one call. While calls wait because the relay is unreachable or a limit is
reached, later ones queue behind them. An order with a time limit must not wait behind one without, so waiting
calls are merged and urgent orders are sent first. Urgency is decided just before a call is sent, by the list
of backends at that time, as a backend may begin to drain after the removal of its routes was ordered.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

from .. import interface
from ..interface import SECOND
from .state import DEPARTING_STATES, CoordinatorState

# Delays in ticks after the last attempt at a call, while the relay is known to be reachable.
RETRY_DELAYS = (SECOND // 20, SECOND // 10, SECOND // 5, SECOND // 2)
# Delays in ticks of a call that is known not to have been sent. The first retry is immediate, as it costs
# nothing.
RESEND_DELAYS = (0, *RETRY_DELAYS)
# Delay in ticks while it is unknown whether the relay is reachable. It is no shorter than the refill interval
# of the rate limit: retries during a long outage must not use up the messages that are needed after it.
BLIND_RETRY_DELAY = SECOND * 3 // 2


class StoredRoutes(Protocol):
    """Weights of the routes of a table in the store, by backend."""

    routes: Mapping[str, float]


def retry_delay(attempts: int) -> int:
    """Returns the ticks from attempt number `attempts` to the next one, where the relay is reachable."""
    return RETRY_DELAYS[min(attempts, len(RETRY_DELAYS)) - 1]


def resend_delay(unsent: int) -> int:
    """Returns the ticks to the next attempt after `unsent` attempts in a row that were not sent."""
    return RESEND_DELAYS[min(unsent, len(RESEND_DELAYS)) - 1]


def urgent_tables(
    state: CoordinatorState, orders: Iterable[interface.Order], stored: Mapping[int, StoredRoutes]
) -> Collection[int]:
    """Returns the tables whose orders have a time limit, by the routes that are stored now."""
    urgent: set[int] = set()
    tables: set[int] = set()
    for order in orders:
        match order:
            case interface.SetRoute(table, backend, weight):
                tables.add(table)
                if weight == 0 and is_removal_urgent(state, backend):
                    urgent.add(table)
            case interface.SetAdmission(table) if table != interface.ALL_TABLES:
                tables.add(table)
    for table in tables - urgent:
        closed = table in state.slices and state.slices[table].closed_methods is not None
        if closed or table in stored and needs_urgent_change(state, stored[table].routes):
            urgent.add(table)
    return urgent


def is_removal_urgent(state: CoordinatorState, backend: str) -> bool:
    """Returns whether the removal of a route to a backend is urgent: the backend departs or is cold."""
    known = state.backends.get(backend)
    return known is None or known.state in DEPARTING_STATES or known.warmup_fraction < 1


def needs_urgent_change(state: CoordinatorState, lines: Collection[str]) -> bool:
    """Returns whether a table with these routes has no route, or one to a departing backend."""
    return not lines or any(
        backend in state.backends and state.backends[backend].state in DEPARTING_STATES for backend in lines
    )


def is_urgent(order: interface.Order, urgent: Collection[int]) -> bool:
    """Returns whether an order is sent before the others.

    An order is urgent if it ejects or readmits a backend, is for an urgent table, or applies to all tables.
    """
    table = getattr(order, "table", interface.ALL_TABLES)
    return not isinstance(order, interface.UpdateMarker) and (
        table == interface.ALL_TABLES or table in urgent
    )


def urgent_orders_first(orders: Sequence[interface.Order], urgent: Collection[int]) -> list[interface.Order]:
    """Returns the urgent orders first and the markers last; orders of one table keep their sequence."""
    urgent_orders: list[interface.Order] = []
    other_orders: list[interface.Order] = []
    markers: list[interface.Order] = []
    for order in orders:
        if isinstance(order, interface.UpdateMarker):
            markers.append(order)
        elif is_urgent(order, urgent):
            urgent_orders.append(order)
        else:
            other_orders.append(order)
    return urgent_orders + other_orders + markers
