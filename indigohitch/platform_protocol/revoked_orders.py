"""Pending orders that became invalid because their slice may have had another owner since."""

from __future__ import annotations

from collections.abc import Callable, Collection

from .. import interface as face
from .in_flight_call import InFlightCall
from .outbox import Outbox
from .stored_tables import changed_tables


class RevokedOrders:
    """Removes revoked orders from the outbox; those of a call that may have been applied are marked first."""

    def __init__(self, outbox: Outbox, in_flight_call: InFlightCall) -> None:
        self.outbox = outbox
        self.in_flight_call = in_flight_call
        self.tables: set[int] = set()  # revoked, with orders that may still be in the outbox
        # Receives revoked orders that may have been applied all the same.
        self.on_applied: Callable[[list[face.Order]], None] = lambda orders: None

    def revoke(self, tables: Collection[int]) -> None:
        """Make all pending orders for these tables invalid; orders that are queued later are not affected.

        The calls are changed before they are next used, as many slices may be revoked one by one.
        """
        self.tables.update(tables)

    def mark(self, keep_first: bool) -> None:
        """Remove the revoked orders; those of the first call are only marked with `keep_first`."""
        if not self.tables:
            return
        self.outbox.discard_tables(self.tables, keep_first)
        if keep_first:
            self.in_flight_call.revoked_tables |= changed_tables(self.outbox.calls[0]) & self.tables
        self.tables = set()

    def discard(self, awaiting_response: bool) -> None:
        """Remove the revoked orders, as far as they are not in flight or their outcome matters to others."""
        call = self.in_flight_call
        self.mark(keep_first=awaiting_response or call.is_unresolved)
        if call.revoked_tables and not awaiting_response:
            is_valid_part_left = any(
                call.is_valid(order) and not isinstance(order, face.UpdateMarker)
                for order in self.outbox.calls[0]
            )
            if call.may_retry or not call.is_unresolved or not is_valid_part_left:
                self._discard_part_of_first_call()
        if not self.outbox.calls and call.unresolved_orders:
            call.settle(more_to_come=False)

    def _discard_part_of_first_call(self) -> None:
        call = self.in_flight_call
        orders = self.outbox.calls[0]
        revoked = [order for order in orders if not call.is_valid(order)]
        was_unresolved = call.is_unresolved
        if was_unresolved:
            call.merge_into_later_call(orders)
        self.outbox.discard_from_first_call(call.revoked_tables)
        call.revoked_tables = set()
        if was_unresolved:
            self.on_applied(revoked)

    def valid_calls(self) -> list[list[face.Order]]:
        """Return the calls of the outbox without the marked orders."""
        calls = list(self.outbox.calls)
        if calls:
            calls[0] = [*filter(self.in_flight_call.is_valid, calls[0])]
        return calls
