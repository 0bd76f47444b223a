"""Withholds orders for slices that another coordinator may have owned since the orders were decided.

The store alone knows the owner of a slice. While no event stream is open, a slice may change hands and come
back unnoticed; the next snapshot of the store confirms who owns it now, not who has owned it meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import EventLoop
from . import stored_tables


class OwnershipGuard:
    """Knows the slices whose ownership is unconfirmed, and those on which the module's view is outdated."""

    CALL_SETTLE_TIME = SECOND // 20  # a call is applied within this time of being sent, or never

    def __init__(self, loop: EventLoop, log: Log, requires_continuity: bool) -> None:
        """With `requires_continuity` an interrupted stream makes orders for all slices invalid."""
        self.loop = loop
        self.log = log
        self.request_snapshot: Callable[[], None] = lambda: None  # requests a new stream
        self.requires_continuity = requires_continuity
        self.unconfirmed: set[int] = set()  # no snapshot has shown since that they are owned
        # To be reported to the module again; withheld until then if continuity is required.
        self.outdated: set[int] = set()
        self.is_snapshot_too_old = False  # the next snapshot may lack the effect of a call

    def suspend(self, tables: stored_tables.StoredTables, pending: Iterable[face.Order]) -> None:
        """Withhold orders for these tables until a snapshot confirms them.

        Those that are closed for a transfer, or have orders pending, are outdated: the transfer begins anew.
        """
        self.unconfirmed |= tables.keys()
        self.outdated |= stored_tables.changed_tables(pending) & tables.keys()
        self.outdated.update(
            number for number, table in tables.items() if stored_tables.is_in_transfer(table)
        )

    def on_revoked_applied(self, orders: list[face.Order], tables: stored_tables.StoredTables) -> None:
        """Request a snapshot, as revoked orders may have changed tables in their present ownership.

        `tables` are the present ones, whose levels are set to those of the orders, to be reset.
        """
        changed = stored_tables.changed_tables(orders) & tables.keys()
        for order in orders:
            if isinstance(order, face.SetAdmission) and order.table in changed:
                tables[order.table].level = order
        self.suspend({number: tables[number] for number in changed}, orders)
        if not self.is_snapshot_too_old and (changed or self.requires_continuity):
            self.is_snapshot_too_old = True
            self.loop.call_after(self.CALL_SETTLE_TIME, self._read_again)

    def _read_again(self) -> None:
        self.is_snapshot_too_old = False
        self.request_snapshot()

    def on_confirmed(self, numbers: Iterable[int]) -> set[int]:
        """Record that a snapshot lists these slices; return the outdated ones, which are to be reported."""
        if self.is_snapshot_too_old:
            return set()
        self.unconfirmed.difference_update(numbers)
        return self.outdated.intersection(numbers)

    def on_reported(self, numbers: Iterable[int]) -> None:
        """Record that these slices were reported to the module as they are now."""
        self.outdated.difference_update(numbers)

    def forget(self, number: int) -> None:
        """Forget a slice that is no longer owned."""
        self.unconfirmed.discard(number)
        self.outdated.discard(number)

    def withhold(self, orders: list[face.Order]) -> list[face.Order]:
        """Return the orders that may be sent; the slices of the others are outdated."""
        withheld = self.unconfirmed | self.outdated if self.requires_continuity else self.unconfirmed
        if not withheld:
            return orders
        allowed = [order for order in orders if getattr(order, "table", None) not in withheld]
        if len(allowed) == len(orders):
            return orders
        self.log.count("orders_withheld", len(orders) - len(allowed))
        self.outdated |= stored_tables.changed_tables(orders) & withheld
        is_marker_alone = not any(
            isinstance(order, (face.SetRoute, face.ClearTable, face.SetAdmission, face.EjectBackend))
            for order in allowed
        )
        return [order for order in allowed if not (is_marker_alone and isinstance(order, face.UpdateMarker))]
