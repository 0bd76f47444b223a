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
        self.taken: set[int] = set()  # taken away since, perhaps given again
        self.answered = answered  # orders answered since it was asked for


class StoreMirror:
    # A slice and its lines come one by one, perhaps in pieces, and the module hears of them together, once
    # nothing more came for so long.  At the start nothing presses, and the first sign of life ends it.
    SETTLE, SETTLE_AT_START = SECOND // 20, SECOND // 10
    RETELL = SECOND  # after orders were dropped: the module may well order the same again

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        hear: Callable[..., None],
        pending: Callable[[], list[face.Order]],
        order: Callable[[list[face.Order]], None],
    ) -> None:
        """`pending`: the orders not known to stand; `order`: for the few that make an event true."""
        self.loop, self.log, self.hear, self.pending, self.order = loop, log, hear, pending, order
        self.proxies: dict[int, face.ProxyJoined] = {}
        self.stood: stored_tables.StoredTables = {}  # what stands in the store, by slice in charge
        self.fresh: stored_tables.StoredTables = {}  # slices given, not told to the module yet
        self.since: list[face.Order] = []  # orders answered while some were
        self.settling: Deadline | None = None
        self.opening: InitialSnapshot | None = None
        self.asked: list[face.Order] | None = None  # orders answered since the next stream was asked for
        self.begun = False  # the news have told once what stands
        self.lost: set[int] = set()  # tables whose orders were dropped: to be told anew
        self.broken_off: Callable[[], None] = lambda: None  # the news broke
        self.given: Callable[[int], None] = lambda number: None  # a slice came into charge

    # ---- news --------------------------------------------------------------------------------------

    def on_watch_requested(self) -> None:
        """Another stream takes its view of what stands from here on; an earlier one may go on."""
        self.asked = []

    def on_watch_opened(self) -> None:
        self._unsettled()
        self.opening, self.asked = InitialSnapshot(self.asked or []), None

    def on_watch_lost(self) -> None:
        """What the stream told last may be half a table: the next one tells it whole."""
        self._unsettled()
        self.broken_off()

    def on_relay_event(self, event: face.Event) -> None:
        match event:
            case face.ProxyJoined(proxy):
                if self.opening is not None:
                    self.opening.proxies.add(proxy)
                self.proxies[proxy] = event
                self.hear(event)
            case face.ProxyLeft(proxy):
                if self.opening is not None:
                    self.opening.proxies.discard(proxy)
                if self.proxies.pop(proxy, None) is not None:
                    self.hear(event)
            case face.SliceOwnership(number, True):
                # Given anew a slice loses its level; named at the start of the news it may be the same still.
                if number not in self.stood:
                    self.given(number)
                known = self.stood.get(number) if self.opening is not None else None
                self.fresh[number] = stored_tables.StoredTable(
                    level=known.level if known is not None else None
                )
                if self.opening is None or number in self.opening.taken:
                    self._repeat(number)
                self._settle_soon()
            case face.SliceOwnership(number, False):
                self.fresh.pop(number, None)
                self._forget(number)
                if self.opening is not None:
                    self.opening.slices.discard(number)
                    self.opening.taken.add(number)
                if self.stood.pop(number, None) is not None:
                    self.hear(event)
            case face.StoredRoute(number, backend, weight):
                if number not in self.fresh and number not in self.stood:
                    self.log.warning("route_for_unowned_slice", slice=number)
                    return
                if number not in self.fresh:  # a line that comes late joins those told before
                    known = self.stood[number]
                    self.fresh[number] = stored_tables.StoredTable(dict(known.lines), known.level)
                self.fresh[number].lines[backend] = weight
                self._settle_soon()
            case _:
                self.hear(event)

    def on_watch_alive(self) -> None:
        """The first sign of life ends the start: who has not been named in it is gone."""
        if self.opening is None:
            return
        self._settle()
        opening, self.opening, self.begun = self.opening, None, True
        for proxy in [p for p in self.proxies if p not in opening.proxies]:
            del self.proxies[proxy]
            self.hear(face.ProxyLeft(proxy))
        for number in [n for n in self.stood if n not in opening.slices]:
            del self.stood[number]
            self.hear(face.SliceOwnership(number, False))
        self.log.event("relay_watch_started", proxies=len(self.proxies), slices=len(self.stood))

    def _settle_soon(self) -> None:
        if self.settling is not None:
            self.settling.cancel()
        span = self.SETTLE if self.opening is None else self.SETTLE_AT_START
        self.settling = self.loop.call_after(span, self._settle)

    def _unsettled(self) -> tuple[stored_tables.StoredTables, list[face.Order]]:
        """The slices not told yet, no longer ours to tell, and what was answered meanwhile."""
        if self.settling is not None:
            self.settling.cancel()
            self.settling = None
        fresh, since, self.fresh, self.since = self.fresh, self.since, {}, []
        return fresh, since

    def _settle(self) -> None:
        """The lines of the slices given have all come: tell the module, but not what it knows already."""
        before, (fresh, since) = self.ahead(), self._unsettled()
        self.stood |= fresh
        if self.opening is None:
            stored_tables.carry_out(fresh, since)  # may or may not be in what the stream told
        else:
            self._make_true(fresh, self.opening.answered)
            self.opening.slices |= set(fresh)
        after = self.ahead()
        changed = [n for n in fresh if n not in before or before[n].lines != after[n].lines]
        if self.opening is None:
            self._tell(list(fresh))
            return
        for number in changed:
            self.given(number)  # another has written there: it was in another's charge meanwhile
        self._tell(changed)

    def _make_true(self, fresh: stored_tables.StoredTables, answered: list[face.Order]) -> None:
        """What was answered since the stream was asked for may or may not be in what it told.  Where it is
        not, the slice may have been another's meanwhile, when orders are answered and change nothing: they go
        again, and what waits for those slices after them."""
        told = stored_tables.copy(fresh)
        stored_tables.carry_out(fresh, answered)
        differ = {number for number in fresh if fresh[number].lines != told[number].lines}
        again = [
            order
            for order in [*answered, *self.pending()]
            if getattr(order, "table", None) in differ and not isinstance(order, face.SetAdmission)
        ]
        if again:
            self.log.event("orders_resent", slices=sorted(differ)[:20], orders=len(again))
            self.order(again)

    def _forget(self, number: int) -> None:
        """What was answered for a slice that is taken away says nothing of it once it is given again."""
        lists = [self.since, self.asked, self.opening and self.opening.answered]
        for answered in filter(None, lists):
            answered[:] = [order for order in answered if getattr(order, "table", None) != number]

    def _repeat(self, number: int) -> None:
        """A call that is out may have met the slice before it was given, when its orders changed nothing, or
        will meet it now.  Once more after it, they stand in the end, as the module is told.  Levels are reset
        anyway."""
        self._forget(number)
        again = [
            order
            for order in self.pending()
            if getattr(order, "table", None) == number and not isinstance(order, face.SetAdmission)
        ]
        if again:
            self.log.event("orders_resent", slice=number, orders=len(again))
            self.order(again)

    # ---- orders ------------------------------------------------------------------------------------

    def ahead(self) -> stored_tables.StoredTables:
        """What will stand once all that is ordered does: what the module takes for standing."""
        ahead = stored_tables.copy(self.stood)
        stored_tables.carry_out(ahead, self.pending())
        return ahead

    def stands(self, orders: list[face.Order]) -> None:
        stored_tables.carry_out(self.stood, orders)
        if self.fresh:
            self.since += orders
        if self.opening is not None:
            self.opening.answered += orders
        if self.asked is not None:
            self.asked += orders

    def dropped(self, orders: list[face.Order]) -> None:
        """Orders that will never stand: the module is told what does."""
        if not self.lost:
            self.tell_lost_soon()
        self.lost |= stored_tables.touched(orders)

    def tell_lost_soon(self) -> None:
        self.loop.call_after(self.RETELL, self._tell_lost)

    def _tell_lost(self) -> None:
        lost, self.lost = self.lost, set()
        self._tell(sorted(lost & set(self.stood)))
        if face.ALL_TABLES in lost:  # one that joins is told the level for all
            self.hear(*self.proxies.values())

    def tell_all(self) -> None:
        self._tell(list(self.stood))
        self.hear(*self.proxies.values())

    def _tell(self, numbers: list[int]) -> None:
        """The module hears of these slices as if they were given now."""
        ahead = self.ahead()
        if levels := stored_tables.levels_reset(numbers, ahead):
            self.order(levels)
        for number in numbers:
            self.hear(*stored_tables.given(number, ahead[number]))
