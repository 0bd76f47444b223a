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

    # A slice and its routes arrive one by one. They are reported together, once nothing arrived for this
    # time. The initial snapshot may wait longer, as the first keepalive ends it.
    SETTLE_DELAY = SECOND // 20
    INITIAL_SETTLE_DELAY = SECOND // 10
    DROPPED_REPORT_DELAY = SECOND  # after orders were dropped: the module may repeat them

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        deliver: Callable[..., None],
        pending: Callable[[], list[face.Order]],
        order: Callable[[list[face.Order]], None],
    ) -> None:
        """`pending` returns the unacknowledged orders; `order` sends orders that make an event true."""
        self.loop = loop
        self.log = log
        self.deliver = deliver
        self.pending = pending
        self.order = order
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.tables: stored_tables.StoredTables = {}  # the stored tables, by owned slice
        self.unsettled_tables: stored_tables.StoredTables = {}  # acquired, not reported yet
        self.applied_while_unsettled: list[face.Order] = []  # acknowledged while some were
        self.settle_timer: Deadline | None = None
        self.initial_snapshot: InitialSnapshot | None = None
        # Orders acknowledged since the next stream was requested; None: none is requested.
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
        # An acquired slice loses its level; in an initial snapshot it may have been owned all along.
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
        if number not in self.unsettled_tables:  # a late route extends the known ones
            known = self.tables[number]
            self.unsettled_tables[number] = stored_tables.StoredTable(dict(known.lines), known.level)
        self.unsettled_tables[number].lines[backend] = weight
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
        span = self.SETTLE_DELAY if self.initial_snapshot is None else self.INITIAL_SETTLE_DELAY
        self.settle_timer = self.loop.call_after(span, self._settle)

    def _take_unsettled(self) -> tuple[stored_tables.StoredTables, list[face.Order]]:
        """Remove and return the unreported slices and the orders acknowledged meanwhile."""
        if self.settle_timer is not None:
            self.settle_timer.cancel()
            self.settle_timer = None
        fresh = self.unsettled_tables
        applied = self.applied_while_unsettled
        self.unsettled_tables = {}
        self.applied_while_unsettled = []
        return fresh, applied

    def _settle(self) -> None:
        """Report the acquired slices, whose routes are complete, unless the module knows them already."""
        before = self.projected_tables()
        fresh, applied = self._take_unsettled()
        self.tables |= fresh
        if self.initial_snapshot is None:
            stored_tables.apply_orders(fresh, applied)  # the stream may or may not include them
        else:
            self._reconcile(fresh, self.initial_snapshot.applied_orders)
            self.initial_snapshot.slices |= set(fresh)
        after = self.projected_tables()
        changed = [n for n in fresh if n not in before or before[n].lines != after[n].lines]
        if self.initial_snapshot is None:
            self._report_slices(list(fresh))
            return
        for number in changed:
            self.on_slice_acquired(number)  # another owner has changed it meanwhile
        self._report_slices(changed)

    def _reconcile(self, fresh: stored_tables.StoredTables, applied: list[face.Order]) -> None:
        """Resend orders, acknowledged since the stream was requested, that its snapshot does not include.

        The slice may have had another owner meanwhile, when orders are acknowledged without effect.
        """
        received = stored_tables.copy_tables(fresh)
        stored_tables.apply_orders(fresh, applied)
        differing = {number for number in fresh if fresh[number].lines != received[number].lines}
        if resent := stored_tables.orders_for_routes([*applied, *self.pending()], differing):
            self.log.event("orders_resent", slices=sorted(differing)[:20], orders=len(resent))
            self.order(resent)

    def _forget_applied(self, number: int) -> None:
        """Discard acknowledged orders for a revoked slice, as they mean nothing once it is acquired again."""
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
        if resent := stored_tables.orders_for_routes(self.pending(), {number}):
            self.log.event("orders_resent", slice=number, orders=len(resent))
            self.order(resent)

    def projected_tables(self) -> stored_tables.StoredTables:
        """Return the tables as they will be once all pending orders are applied, as the module expects."""
        ahead = stored_tables.copy_tables(self.tables)
        stored_tables.apply_orders(ahead, self.pending())
        return ahead

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
        lost = self.dropped_tables
        self.dropped_tables = set()
        self._report_slices(sorted(lost & set(self.tables)))
        if face.ALL_TABLES in lost:  # a joining proxy receives the level for all tables
            self.deliver(*self.proxies.values())

    def report_all(self) -> None:
        """Report all owned slices and joined proxies to the module."""
        self._report_slices(list(self.tables))
        self.deliver(*self.proxies.values())

    def _report_slices(self, numbers: list[int]) -> None:
        """Report these slices to the module as if they were acquired now."""
        ahead = self.projected_tables()
        if levels := stored_tables.admission_resets(numbers, ahead):
            self.order(levels)
        for number in numbers:
            self.deliver(*stored_tables.ownership_events(number, ahead[number]))
