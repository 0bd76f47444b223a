"""Local copy of the relay's state: the joined proxies, the owned slices and their stored tables.

Changes by relay events and by dropped orders are reported to the module.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import Deadline, EventLoop
from . import stored_tables
from .applied_orders import AppliedOrders
from .initial_snapshot import InitialSnapshot
from .ownership_guard import OwnershipGuard


class StoreMirror:
    """Tracks the relay's state and reports its changes to the module."""

    # The events of a slice are reported together once no more have arrived for this time.
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
        guard: OwnershipGuard | None = None,
    ) -> None:
        """Read unacknowledged orders from `pending_orders`; send orders to the relay by `enqueue_orders`."""
        self.guard = guard or OwnershipGuard(loop, log, requires_continuity=False)
        self.loop = loop
        self.log = log
        self.deliver = deliver
        self.pending_orders = pending_orders
        self.enqueue_orders = enqueue_orders
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.tables: stored_tables.StoredTables = {}  # the stored tables, by owned slice
        self.unsettled_tables: stored_tables.StoredTables = {}  # acquired or changed, not reported yet
        self.applied_orders = AppliedOrders()
        self.settle_timer: Deadline | None = None
        self.initial_snapshot: InitialSnapshot | None = None
        self.has_started = False  # an initial snapshot is complete
        self.dropped_tables: set[int] = set()  # tables to report again, as their orders were dropped
        self.on_watch_broken: Callable[[], None] = lambda: None  # the stream broke
        self.on_slice_acquired: Callable[[int], None] = lambda number: None  # a slice was acquired
        self.revoke_orders: Callable[[Collection[int]], None] = lambda numbers: None  # of these slices

    def on_watch_requested(self) -> None:
        """Handle the request for a new stream; an earlier stream may continue until it opens."""
        self.applied_orders.since_request = []

    def on_watch_opened(self, is_continuous: bool = True) -> None:
        """Begin the initial snapshot of a new stream; it may follow one that was not read to its end."""
        self._take_unsettled()
        if not is_continuous:
            self.suspend_all()
        self.initial_snapshot = InitialSnapshot(self.applied_orders.take_since_request())

    def on_watch_lost(self) -> None:
        """Discard unsettled tables, which may be incomplete; the next stream sends them in full."""
        self._take_unsettled()
        self.suspend_all()
        self.on_watch_broken()

    def suspend_all(self, always: bool = False) -> None:
        """Withhold and revoke all orders until a snapshot, if continuity is required or `always`."""
        if always or self.guard.requires_continuity:
            self.guard.suspend(self.tables, self.pending_orders())
            self.revoke_orders(set(self.tables))

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
        if number not in self.tables:
            self.on_slice_acquired(number)
        # An acquired slice loses its admission level; one in a snapshot may have been owned before.
        is_known = self.initial_snapshot is not None and number in self.tables
        level = self.tables[number].level if is_known else None
        self.unsettled_tables[number] = stored_tables.StoredTable(level=level)
        if self.initial_snapshot is None or number in self.initial_snapshot.revoked_slices:
            self._end_ownership(number)
        self._schedule_settle()

    def _remove_slice(self, number: int, event: face.SliceOwnership) -> None:
        self.unsettled_tables.pop(number, None)
        self._end_ownership(number)
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
            self._end_ownership(number)
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
        unsettled, self.unsettled_tables = self.unsettled_tables, {}
        return unsettled, self.applied_orders.take_while_unsettled()

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
        if self.initial_snapshot is None:
            self._report_slices(list(unsettled))
            return
        reported = self.guard.on_confirmed(unsettled)
        reported |= {n for n in unsettled if n not in before or before[n].routes != after[n].routes}
        changed = [number for number in unsettled if number in reported]
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

    def _end_ownership(self, number: int) -> None:
        """Discard all orders decided so far for a slice; the next ownership begins with its routes."""
        self.applied_orders.forget(number, self.initial_snapshot)
        self.guard.forget(number)
        self.revoke_orders((number,))

    def projected_tables(self) -> stored_tables.StoredTables:
        """Return the tables with all pending orders applied, which is the state that the module expects."""
        projected = stored_tables.copy_tables(self.tables)
        stored_tables.apply_orders(projected, self.pending_orders())
        return projected

    def apply(self, orders: list[face.Order]) -> None:
        """Apply acknowledged orders to the local copy."""
        stored_tables.apply_orders(self.tables, orders)
        self.applied_orders.record(orders, bool(self.unsettled_tables), self.initial_snapshot)

    def on_dropped(self, orders: list[face.Order]) -> None:
        """Schedule a report of the tables whose orders were dropped."""
        if not self.dropped_tables:
            self.schedule_dropped_report()
        dropped = stored_tables.changed_tables(orders)
        self.dropped_tables |= dropped
        if self.guard.requires_continuity:  # later orders for them assume the dropped ones
            self.guard.outdated |= dropped & self.tables.keys()
            self.revoke_orders(dropped)

    def on_revoked_applied(self, orders: list[face.Order]) -> None:
        """Read the tables again that orders of an earlier ownership may have changed in the present one."""
        self.guard.on_revoked_applied(orders, self.tables | self.unsettled_tables)

    def schedule_dropped_report(self) -> None:
        """Report the tables with dropped orders after `DROPPED_REPORT_DELAY`."""
        self.loop.call_after(self.DROPPED_REPORT_DELAY, self._report_dropped)

    def _report_dropped(self) -> None:
        dropped = self.dropped_tables
        self.dropped_tables = set()
        self._report_slices(sorted(dropped & self.tables.keys() - self.guard.unconfirmed))
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
        self.guard.on_reported(numbers)
        for number in numbers:
            self.deliver(*stored_tables.ownership_events(number, projected[number]))
