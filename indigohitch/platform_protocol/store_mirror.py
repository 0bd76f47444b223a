"""What this coordinator holds, as the relay tells it: the proxies that are joined, the slices in its
charge and what stands in their tables.  What news and dropped orders change is told to the module."""

from __future__ import annotations

from collections.abc import Callable

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.loop import Deadline, EventLoop
from . import stored_tables


class InitialSnapshot:
    """The start of the news, until its first sign of life."""

    def __init__(self, answered: list[face.Order]) -> None:
        self.proxies: set[int] = set()  # named in it
        self.slices: set[int] = set()
        self.revoked_slices: set[int] = set()  # taken away since, perhaps given again
        self.applied_orders = answered  # orders answered since it was asked for


class StoreMirror:
    # A slice and its lines come one by one, perhaps in pieces, and the module hears of them together, once
    # nothing more came for so long.  At the start nothing presses, and the first sign of life ends it.
    SETTLE_DELAY = SECOND // 20
    INITIAL_SETTLE_DELAY = SECOND // 10
    DROPPED_REPORT_DELAY = SECOND  # after orders were dropped: the module may well order the same again

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        hear: Callable[..., None],
        pending: Callable[[], list[face.Order]],
        order: Callable[[list[face.Order]], None],
    ) -> None:
        """`pending`: the orders not known to stand; `order`: for the few that make an event true."""
        self.loop, self.log, self.deliver, self.pending, self.order = loop, log, hear, pending, order
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.tables: stored_tables.StoredTables = {}  # what stands in the store, by slice in charge
        self.unsettled_tables: stored_tables.StoredTables = {}  # slices given, not told to the module yet
        self.applied_while_unsettled: list[face.Order] = []  # orders answered while some were
        self.settle_timer: Deadline | None = None
        self.initial_snapshot: InitialSnapshot | None = None
        self.applied_since_request: list[face.Order] | None = (
            None  # orders answered since the next stream was asked for
        )
        self.has_started = False  # the news have told once what stands
        self.dropped_tables: set[int] = set()  # tables whose orders were dropped: to be told anew
        self.on_watch_broken: Callable[[], None] = lambda: None  # the news broke
        self.on_slice_acquired: Callable[[int], None] = lambda number: None  # a slice came into charge

    # ---- news --------------------------------------------------------------------------------------

    def on_watch_requested(self) -> None:
        """Another stream takes its view of what stands from here on; an earlier one may go on."""
        self.applied_since_request = []

    def on_watch_opened(self) -> None:
        self._take_unsettled()
        self.initial_snapshot, self.applied_since_request = (
            InitialSnapshot(self.applied_since_request or []),
            None,
        )

    def on_watch_lost(self) -> None:
        """What the stream told last may be half a table: the next one tells it whole."""
        self._take_unsettled()
        self.on_watch_broken()

    def on_relay_event(self, event: face.Event) -> None:
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
                # Given anew a slice loses its level; named at the start of the news it may be the same still.
                if number not in self.tables:
                    self.on_slice_acquired(number)
                known = self.tables.get(number) if self.initial_snapshot is not None else None
                self.unsettled_tables[number] = stored_tables.StoredTable(
                    level=known.level if known is not None else None
                )
                if self.initial_snapshot is None or number in self.initial_snapshot.revoked_slices:
                    self._resend_pending(number)
                self._schedule_settle()
            case face.SliceOwnership(number, False):
                self.unsettled_tables.pop(number, None)
                self._forget_applied(number)
                if self.initial_snapshot is not None:
                    self.initial_snapshot.slices.discard(number)
                    self.initial_snapshot.revoked_slices.add(number)
                if self.tables.pop(number, None) is not None:
                    self.deliver(event)
            case face.StoredRoute(number, backend, weight):
                if number not in self.unsettled_tables and number not in self.tables:
                    self.log.warning("route_for_unowned_slice", slice=number)
                    return
                if number not in self.unsettled_tables:  # a line that comes late joins those told before
                    known = self.tables[number]
                    self.unsettled_tables[number] = stored_tables.StoredTable(dict(known.lines), known.level)
                self.unsettled_tables[number].lines[backend] = weight
                self._schedule_settle()
            case _:
                self.deliver(event)

    def on_keepalive(self) -> None:
        """The first sign of life ends the start: who has not been named in it is gone."""
        if self.initial_snapshot is None:
            return
        self._settle()
        opening, self.initial_snapshot, self.has_started = self.initial_snapshot, None, True
        for proxy in [p for p in self.proxies if p not in opening.proxies]:
            del self.proxies[proxy]
            self.deliver(face.ProxyLeft(proxy))
        for number in [n for n in self.tables if n not in opening.slices]:
            del self.tables[number]
            self.deliver(face.SliceOwnership(number, False))
        self.log.event("relay_watch_started", proxies=len(self.proxies), slices=len(self.tables))

    def _schedule_settle(self) -> None:
        if self.settle_timer is not None:
            self.settle_timer.cancel()
        span = self.SETTLE_DELAY if self.initial_snapshot is None else self.INITIAL_SETTLE_DELAY
        self.settle_timer = self.loop.call_after(span, self._settle)

    def _take_unsettled(self) -> tuple[stored_tables.StoredTables, list[face.Order]]:
        """The slices not told yet, no longer ours to tell, and what was answered meanwhile."""
        if self.settle_timer is not None:
            self.settle_timer.cancel()
            self.settle_timer = None
        fresh, since, self.unsettled_tables, self.applied_while_unsettled = (
            self.unsettled_tables,
            self.applied_while_unsettled,
            {},
            [],
        )
        return fresh, since

    def _settle(self) -> None:
        """The lines of the slices given have all come: tell the module, but not what it knows already."""
        before, (fresh, since) = self.projected_tables(), self._take_unsettled()
        self.tables |= fresh
        if self.initial_snapshot is None:
            stored_tables.apply_orders(fresh, since)  # may or may not be in what the stream told
        else:
            self._reconcile(fresh, self.initial_snapshot.applied_orders)
            self.initial_snapshot.slices |= set(fresh)
        after = self.projected_tables()
        changed = [n for n in fresh if n not in before or before[n].lines != after[n].lines]
        if self.initial_snapshot is None:
            self._report_slices(list(fresh))
            return
        for number in changed:
            self.on_slice_acquired(number)  # another has written there: it was in another's charge meanwhile
        self._report_slices(changed)

    def _reconcile(self, fresh: stored_tables.StoredTables, answered: list[face.Order]) -> None:
        """What was answered since the stream was asked for may or may not be in what it told.  Where it is
        not, the slice may have been another's meanwhile, when orders are answered and change nothing: they go
        again, and what waits for those slices after them."""
        told = stored_tables.copy_tables(fresh)
        stored_tables.apply_orders(fresh, answered)
        differ = {number for number in fresh if fresh[number].lines != told[number].lines}
        again = [
            order
            for order in [*answered, *self.pending()]
            if getattr(order, "table", None) in differ and not isinstance(order, face.SetAdmission)
        ]
        if again:
            self.log.event("orders_resent", slices=sorted(differ)[:20], orders=len(again))
            self.order(again)

    def _forget_applied(self, number: int) -> None:
        """What was answered for a slice that is taken away says nothing of it once it is given again."""
        lists = [
            self.applied_while_unsettled,
            self.applied_since_request,
            self.initial_snapshot and self.initial_snapshot.applied_orders,
        ]
        for answered in filter(None, lists):
            answered[:] = [order for order in answered if getattr(order, "table", None) != number]

    def _resend_pending(self, number: int) -> None:
        """A call that is out may have met the slice before it was given, when its orders changed nothing, or
        will meet it now.  Once more after it, they stand in the end, as the module is told.  Levels are reset
        anyway."""
        self._forget_applied(number)
        again = [
            order
            for order in self.pending()
            if getattr(order, "table", None) == number and not isinstance(order, face.SetAdmission)
        ]
        if again:
            self.log.event("orders_resent", slice=number, orders=len(again))
            self.order(again)

    # ---- orders ------------------------------------------------------------------------------------

    def projected_tables(self) -> stored_tables.StoredTables:
        """What will stand once all that is ordered does: what the module takes for standing."""
        ahead = stored_tables.copy_tables(self.tables)
        stored_tables.apply_orders(ahead, self.pending())
        return ahead

    def apply(self, orders: list[face.Order]) -> None:
        stored_tables.apply_orders(self.tables, orders)
        if self.unsettled_tables:
            self.applied_while_unsettled += orders
        if self.initial_snapshot is not None:
            self.initial_snapshot.applied_orders += orders
        if self.applied_since_request is not None:
            self.applied_since_request += orders

    def on_dropped(self, orders: list[face.Order]) -> None:
        """Orders that will never stand: the module is told what does."""
        if not self.dropped_tables:
            self.schedule_dropped_report()
        self.dropped_tables |= stored_tables.changed_tables(orders)

    def schedule_dropped_report(self) -> None:
        self.loop.call_after(self.DROPPED_REPORT_DELAY, self._report_dropped)

    def _report_dropped(self) -> None:
        lost, self.dropped_tables = self.dropped_tables, set()
        self._report_slices(sorted(lost & set(self.tables)))
        if face.ALL_TABLES in lost:  # one that joins is told the level for all
            self.deliver(*self.proxies.values())

    def report_all(self) -> None:
        self._report_slices(list(self.tables))
        self.deliver(*self.proxies.values())

    def _report_slices(self, numbers: list[int]) -> None:
        """The module hears of these slices as if they were given now."""
        ahead = self.projected_tables()
        if levels := stored_tables.admission_resets(numbers, ahead):
            self.order(levels)
        for number in numbers:
            self.deliver(*stored_tables.ownership_events(number, ahead[number]))
