"""Local copy of the relay's state: the joined proxies, the owned slices and their stored tables.

Changes by relay events and by dropped orders are reported to the module.
"""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import Deadline, EventLoop
from . import stored_tables
from .initial_snapshot import InitialSnapshot


class StoreMirror:
    """Tracks the relay's state and reports its changes to the module."""

    # A slice and its routes arrive as separate events. They are reported together once no more have arrived
    # for this time. The initial snapshot may wait longer, as the first keepalive ends it.
    SETTLE_DELAY = SECOND // 20
    INITIAL_SETTLE_DELAY = SECOND // 10
    DROPPED_REPORT_DELAY = SECOND  # before the report of dropped orders, which the module may order again

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        deliver: Callable[..., None],
        pending_orders: Callable[[], list[face.Order]],
        enqueue_orders: Callable[[list[face.Order]], None],
    ) -> None:
        """Read unacknowledged orders from `pending_orders`; send orders to the relay by `enqueue_orders`."""
        self.loop = loop
        self.log = log
        self.deliver = deliver
        self.pending_orders = pending_orders
        self.enqueue_orders = enqueue_orders
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.tables: stored_tables.StoredTables = {}  # the stored tables, by owned slice
        self.unsettled_tables: stored_tables.StoredTables = {}  # acquired or changed, not reported yet
        self.applied_while_unsettled: list[face.Order] = []  # acknowledged while any table was unsettled
        self.settle_timer: Deadline | None = None
        self.initial_snapshot: InitialSnapshot | None = None
        # Orders acknowledged since the next stream was requested; None if no stream is requested.
        self.applied_since_request: list[face.Order] | None = None
        self.has_started = False  # an initial snapshot is complete
        self.dropped_tables: set[int] = set()  # tables to report again, as their orders were dropped
        self.on_watch_broken: Callable[[], None] = lambda: None  # the stream broke
        self.on_slice_acquired: Callable[[int], None] = lambda number: None  # a slice was acquired

    def on_watch_requested(self) -> None:
        """Handle the request for a new stream; an earlier stream may continue until it opens."""
        self.applied_since_request = []

    def on_watch_opened(self) -> None:
        """Begin the initial snapshot of a new stream."""
        self._take_unsettled()
        self.initial_snapshot = InitialSnapshot(self.applied_since_request or [])
        self.applied_since_request = None

    def on_watch_lost(self) -> None:
        """Discard unsettled tables, which may be incomplete; the next stream sends them in full."""
        self._take_unsettled()
        self.on_watch_broken()

    def on_relay_event(self, event: face.Event) -> None:
        """Update the local copy and report the change, if any, to the module."""
        match event:
            case face.ProxyJoined(proxy):
                if self.initial_snapshot is not None:
                    self.initial_snapshot.proxies.add(proxy)
                self.proxies[proxy] = event
                self.deliver(event)
            case face.ProxyLeft(proxy):
                if self.initial_snapshot is not None:
                    self.initial_snapshot.proxies.discard(proxy)
                if self.proxies.pop(proxy, None) is not None:
                    self.deliver(event)
            case face.SliceOwnership(number, True):
                self._add_slice(number)
            case face.SliceOwnership(number, False):
                self._remove_slice(number, event)
            case face.StoredRoute(number, backend, weight):
                self._add_route(number, backend, weight)
            case _:
                self.deliver(event)

    def _add_slice(self, number: int) -> None:
        """Begin an empty table; its routes follow as separate events."""
        # An acquired slice loses its admission level; one in an initial snapshot may have been owned before.
        if number not in self.tables:
            self.on_slice_acquired(number)
        known = self.tables.get(number) if self.initial_snapshot is not None else None
        self.unsettled_tables[number] = stored_tables.StoredTable(
            level=known.level if known is not None else None
        )
        if self.initial_snapshot is None or number in self.initial_snapshot.revoked_slices:
            self._resend_pending(number)
        self._schedule_settle()

    def _remove_slice(self, number: int, event: face.SliceOwnership) -> None:
        self.unsettled_tables.pop(number, None)
        self._forget_applied(number)
        if self.initial_snapshot is not None:
            self.initial_snapshot.slices.discard(number)
            self.initial_snapshot.revoked_slices.add(number)
        if self.tables.pop(number, None) is not None:
            self.deliver(event)

    def _add_route(self, number: int, backend: str, weight: float) -> None:
        if number not in self.unsettled_tables and number not in self.tables:
            self.log.warning("route_for_unowned_slice", slice=number)
            return
        if number not in self.unsettled_tables:  # a late route extends the known table
            known = self.tables[number]
            self.unsettled_tables[number] = stored_tables.StoredTable(dict(known.routes), known.level)
        self.unsettled_tables[number].routes[backend] = weight
        self._schedule_settle()

    def on_keepalive(self) -> None:
        """End the initial snapshot: proxies and slices that it did not contain are gone."""
        if self.initial_snapshot is None:
            return
        self._settle()
        snapshot = self.initial_snapshot
        self.initial_snapshot = None
        self.has_started = True
        for proxy in [proxy for proxy in self.proxies if proxy not in snapshot.proxies]:
            del self.proxies[proxy]
            self.deliver(face.ProxyLeft(proxy))
        for number in [number for number in self.tables if number not in snapshot.slices]:
            del self.tables[number]
            self.deliver(face.SliceOwnership(number, False))
        self.log.event("relay_watch_started", proxies=len(self.proxies), slices=len(self.tables))

    def _schedule_settle(self) -> None:
        if self.settle_timer is not None:
            self.settle_timer.cancel()
        delay = self.SETTLE_DELAY if self.initial_snapshot is None else self.INITIAL_SETTLE_DELAY
        self.settle_timer = self.loop.call_after(delay, self._settle)

    def _take_unsettled(self) -> tuple[stored_tables.StoredTables, list[face.Order]]:
        """Remove and return the unreported tables and the orders acknowledged meanwhile."""
        if self.settle_timer is not None:
            self.settle_timer.cancel()
            self.settle_timer = None
        unsettled = self.unsettled_tables
        applied = self.applied_while_unsettled
        self.unsettled_tables = {}
        self.applied_while_unsettled = []
        return unsettled, applied

    def _settle(self) -> None:
        """Report the acquired slices, whose routes are complete, unless the module knows them already."""
        before = self.projected_tables()
        unsettled, applied = self._take_unsettled()
        self.tables |= unsettled
        if self.initial_snapshot is None:
            stored_tables.apply_orders(unsettled, applied)  # the stream may or may not include them
        else:
            self._reconcile(unsettled, self.initial_snapshot.applied_orders)
            self.initial_snapshot.slices |= set(unsettled)
        after = self.projected_tables()
        changed = [n for n in unsettled if n not in before or before[n].routes != after[n].routes]
        if self.initial_snapshot is None:
            self._report_slices(list(unsettled))
            return
        for number in changed:
            self.on_slice_acquired(number)  # another coordinator owned and changed it meanwhile
        self._report_slices(changed)

    def _reconcile(self, unsettled: stored_tables.StoredTables, applied: list[face.Order]) -> None:
        """Resend orders, acknowledged since the stream was requested, that its snapshot does not include.

        While another coordinator owns a slice, orders for it are acknowledged without effect.
        """
        received = stored_tables.copy_tables(unsettled)
        stored_tables.apply_orders(unsettled, applied)
        differing = {number for number in unsettled if unsettled[number].routes != received[number].routes}
        if resent := stored_tables.orders_for_routes([*applied, *self.pending_orders()], differing):
            self.log.event("orders_resent", slices=sorted(differing)[:20], orders=len(resent))
            self.enqueue_orders(resent)

    def _forget_applied(self, number: int) -> None:
        """Discard acknowledged orders for a revoked slice, as they do not apply once it is acquired again."""
        lists = [
            self.applied_while_unsettled,
            self.applied_since_request,
            self.initial_snapshot and self.initial_snapshot.applied_orders,
        ]
        for applied in filter(None, lists):
            applied[:] = [order for order in applied if getattr(order, "table", None) != number]

    def _resend_pending(self, number: int) -> None:
        """Resend pending orders, which had no effect if they arrived before the slice was acquired."""
        self._forget_applied(number)
        if resent := stored_tables.orders_for_routes(self.pending_orders(), {number}):
            self.log.event("orders_resent", slice=number, orders=len(resent))
            self.enqueue_orders(resent)

    def projected_tables(self) -> stored_tables.StoredTables:
        """Return the tables with all pending orders applied, which is the state that the module expects."""
        projected = stored_tables.copy_tables(self.tables)
        stored_tables.apply_orders(projected, self.pending_orders())
        return projected

    def apply(self, orders: list[face.Order]) -> None:
        """Apply acknowledged orders to the local copy."""
        stored_tables.apply_orders(self.tables, orders)
        if self.unsettled_tables:
            self.applied_while_unsettled += orders
        if self.initial_snapshot is not None:
            self.initial_snapshot.applied_orders += orders
        if self.applied_since_request is not None:
            self.applied_since_request += orders

    def on_dropped(self, orders: list[face.Order]) -> None:
        """Schedule a report of the tables whose orders were dropped."""
        if not self.dropped_tables:
            self.schedule_dropped_report()
        self.dropped_tables |= stored_tables.changed_tables(orders)

    def schedule_dropped_report(self) -> None:
        """Report the tables with dropped orders after `DROPPED_REPORT_DELAY`."""
        self.loop.call_after(self.DROPPED_REPORT_DELAY, self._report_dropped)

    def _report_dropped(self) -> None:
        dropped = self.dropped_tables
        self.dropped_tables = set()
        self._report_slices(sorted(dropped & set(self.tables)))
        if face.ALL_TABLES in dropped:  # a joining proxy receives the level for all tables
            self.deliver(*self.proxies.values())

    def report_all(self) -> None:
        """Report all owned slices and joined proxies to the module."""
        self._report_slices(list(self.tables))
        self.deliver(*self.proxies.values())

    def _report_slices(self, numbers: list[int]) -> None:
        """Report these slices to the module as if they were acquired now."""
        projected = self.projected_tables()
        if resets := stored_tables.admission_resets(numbers, projected):
            self.enqueue_orders(resets)
        for number in numbers:
            self.deliver(*stored_tables.ownership_events(number, projected[number]))
