"""Which of the orders that wait go out next, and when a call goes again whose outcome is unclear.

The orders of one moment make one call; while calls wait, as the relay is out of reach or a bound is met,
later ones pile up behind them.  An order that a rule gives a time limit must not wait behind one that has
none: they are merged, and the urgent ones lead.  What is urgent is decided as a call is about to go, by what
the list says then, as a backend may begin to drain after its lines were ordered away."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

from .. import interface
from ..interface import SECOND
from .state import DEPARTING_STATES, CoordinatorState

# A call goes again once the relay has shown that it is in reach, after these waits from the last try on.
RETRY_DELAYS = (SECOND // 20, SECOND // 10, SECOND // 5, SECOND // 2)
# One that surely was not sent goes again after these, at first at once: it costs nobody anything.
RESEND_DELAYS = (0, *RETRY_DELAYS)
# Without such a sign it may still take calls.  Not oftener than messages come back (pacing.py): a long
# silence must not use up those that are needed after it.
BLIND_RETRY_DELAY = SECOND * 3 // 2


class StoredRoutes(Protocol):
    """A table as it stands in the store."""

    lines: Mapping[str, float]


def retry_delay(tries: int) -> int:
    """How long after the try of that number the next one may go, where the relay is in reach."""
    return RETRY_DELAYS[min(tries, len(RETRY_DELAYS)) - 1]


def resend_delay(unsent: int) -> int:
    """How long after so many tries in a row that were not sent the next one goes."""
    return RESEND_DELAYS[min(unsent, len(RESEND_DELAYS)) - 1]


def urgent_tables(
    state: CoordinatorState, orders: Iterable[interface.Order], stood: Mapping[int, StoredRoutes]
) -> Collection[int]:
    """Tables among these orders that have a time limit to keep, of those that stand as `stood` says."""
    found, tables = set(), set()
    for order in orders:
        match order:
            case interface.SetRoute(table, backend, weight):
                tables.add(table)
                if weight == 0 and must_go(state, backend):
                    found.add(table)
            case interface.SetAdmission(table) if table != interface.ALL_TABLES:
                tables.add(table)
    for table in tables - found:
        closed = table in state.slices and state.slices[table].closed_methods is not None
        if closed or table in stood and must_change(state, stood[table].lines):
            found.add(table)
    return found


def must_go(state: CoordinatorState, backend: str) -> bool:
    """Whether a line that is taken away there has to be gone soon: it leaves, or is cold."""
    known = state.backends.get(backend)
    return known is None or known.state in DEPARTING_STATES or known.warmup_fraction < 1


def must_change(state: CoordinatorState, lines: Collection[str]) -> bool:
    """Whether a table with these lines has none that serves, or one at a backend that leaves."""
    return not lines or any(
        backend in state.backends and state.backends[backend].state in DEPARTING_STATES for backend in lines
    )


def is_urgent(order: interface.Order, urgent: Collection[int]) -> bool:
    """Whether an order goes before those that can wait: it shuts a backend out or lets it back, is for an
    urgent table, or is one line for all tables."""
    table = getattr(order, "table", interface.ALL_TABLES)
    return not isinstance(order, interface.UpdateMarker) and (
        table == interface.ALL_TABLES or table in urgent
    )


def urgent_orders_first(orders: Sequence[interface.Order], urgent: Collection[int]) -> list[interface.Order]:
    """The same orders, first those that lead and last the mark.  Orders of one table stay in their order."""
    first, later, marks = [], [], []
    for order in orders:
        if isinstance(order, interface.UpdateMarker):
            marks.append(order)
        elif is_urgent(order, urgent):
            first.append(order)
        else:
            later.append(order)
    return first + later + marks
