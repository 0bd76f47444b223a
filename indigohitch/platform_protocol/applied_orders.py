"""Acknowledged orders that a table or a snapshot on its way from the relay may not include yet."""

from __future__ import annotations

from .. import interface as face
from .initial_snapshot import InitialSnapshot


class AppliedOrders:
    """Records acknowledged orders while tables are unsettled, and since a stream was requested."""

    def __init__(self) -> None:
        self.while_unsettled: list[face.Order] = []  # acknowledged while any table was unsettled
        # Acknowledged since the next stream was requested; None if no stream is requested.
        self.since_request: list[face.Order] | None = None

    def record(self, orders: list[face.Order], has_unsettled: bool, snapshot: InitialSnapshot | None) -> None:
        """Record orders acknowledged now."""
        if has_unsettled:
            self.while_unsettled += orders
        if snapshot is not None:
            snapshot.applied_orders += orders
        if self.since_request is not None:
            self.since_request += orders

    def take_since_request(self) -> list[face.Order]:
        """Remove and return the orders since the stream was requested, as it has opened."""
        orders = self.since_request or []
        self.since_request = None
        return orders

    def take_while_unsettled(self) -> list[face.Order]:
        """Remove and return the orders acknowledged while tables were unsettled."""
        orders = self.while_unsettled
        self.while_unsettled = []
        return orders

    def forget(self, number: int, snapshot: InitialSnapshot | None) -> None:
        """Discard the orders for a slice, as they do not apply once it is acquired again."""
        for orders in (self.while_unsettled, self.since_request, snapshot and snapshot.applied_orders):
            if orders:
                orders[:] = [order for order in orders if getattr(order, "table", None) != number]
