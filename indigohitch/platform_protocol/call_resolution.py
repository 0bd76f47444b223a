"""Whether a call to the relay whose outcome is unclear was carried out: the store's tables tell.

The relay is the store as well, and a news stream starts with what stands.  A line that was there only before
the call, or is there only after it, shows what became of the orders up to it: the relay takes them in turn.
So does a mark that a proxy answers, once one does."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from .. import interface as face
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange, HttpResponse
from ..net.loop import Deadline, EventLoop
from . import stored_tables
from .relay_watch import EventStream, parse_relay_event


class MarkerEvidence:
    """Whether a mark that a proxy has answered shows that a call was carried out, to its end.

    A mark that an earlier call had, as after a module that began anew, shows nothing."""

    def __init__(self) -> None:
        self.used: deque[int] = deque(maxlen=256)
        self.orders: Sequence[face.Order] | None = None  # of the call in question
        self.mark, self.shown = -1, False

    def begin(self, orders: Sequence[face.Order]) -> bool:
        """These are in question from here on; whether they were not before."""
        if orders is self.orders:
            return False
        self.orders = orders
        self.mark, self.shown = -1, False
        last = orders[-1]
        if isinstance(last, face.UpdateMarker) and last.marker not in self.used:
            self.mark = last.marker
            self.used.append(last.marker)
        return True

    def answered(self, mark: int) -> bool:
        """Whether this mark shows it."""
        self.shown |= mark == self.mark
        return mark == self.mark


class CallOutcome(Enum):
    """What became of a call; the log tells the value."""

    NONE = "none"  # it was not carried out
    STANDS = "stands"  # up to the last order that shows
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class _Sign:
    """A table that shows whether the orders up to the place `end` were carried out."""

    table: int
    before: frozenset[tuple[str, float]]  # lines that it has only before
    after: frozenset[tuple[str, float]]  # and only after
    end: int


class TableEvidence:
    """What the tables `stood` before say of the `orders` of a call.  No I/O."""

    def __init__(
        self,
        stood: stored_tables.StoredTables,
        orders: Sequence[face.Order],
        maybe: Iterable[face.Order] = (),
    ) -> None:
        """`maybe`: orders that went before, of which nobody knows; `orders` make up for them."""
        changed = {
            n: stored_tables.StoredTable(dict(stood[n].lines))
            for n in stored_tables.touched(orders)
            if n in stood
        }
        earlier = {n: set(table.lines.items()) for n, table in changed.items()}
        for order in maybe:
            if isinstance(order, face.SetRoute) and order.weight and order.table in earlier:
                earlier[order.table].add((order.backend, order.weight))
        stored_tables.carry_out(changed, orders)
        ends = {order.table: at for at, order in enumerate(orders, 1) if isinstance(order, face.SetRoute)}
        signs = []
        for number, end in ends.items():
            before = frozenset(earlier.get(number, ()))
            after = frozenset(changed[number].lines.items() if number in changed else ())
            if before - after and after - before:
                signs.append(_Sign(number, before - after, after - before, end))
        signs.sort(key=lambda sign: sign.end)
        # The relay takes orders in turn and stops at one that it can't use: these two tell of all between.
        self._first, self._last = (signs[0], signs[-1]) if signs else (None, None)
        self._end = signs[-1].end if signs else 0
        while 0 < self._end < len(orders) and isinstance(orders[self._end], face.UpdateMarker):
            self._end += 1
        self._found: dict[int, bool] = {}  # by table: whether it is as after

    @property
    def any(self) -> bool:
        """Whether the tables can tell."""
        return self._first is not None

    @property
    def proved(self) -> int:
        """How many orders stand where the effect is `STANDS`.  The relay stops at an order that it can't use;
        a mark is none, so one right behind those that stand was taken with them."""
        return self._end

    def line(self, table: int, backend: str, weight: float) -> None:
        """A line that stands."""
        for sign in filter(None, (self._first, self._last)):
            if table == sign.table and (backend, weight) in sign.before | sign.after:
                self._found[table] = (backend, weight) in sign.after

    @property
    def effect(self) -> CallOutcome:
        if not self.any:
            return CallOutcome.UNKNOWN
        first, last = self._found.get(self._first.table), self._found.get(self._last.table)
        if first and last:
            return CallOutcome.STANDS
        return CallOutcome.NONE if first is False and last is False else CallOutcome.UNKNOWN


class OutcomeQuery:
    """Reads from a stream of its own what stands, again and again until that tells or it is dropped."""

    WITHIN = SECOND // 20  # a call is carried out by then, counted from when it went, or never
    CONNECT = SECOND // 4
    SPAN = SECOND // 4  # for a whole start of the news, which takes a few ms
    AGAIN = SECOND // 10
    DOUBLINGS = 3  # of that wait, where what was read did not tell

    def __init__(self, loop: EventLoop, told: Callable[[CallOutcome, int], None]) -> None:
        """`told` hears the effect, and how many orders are proved to stand by it."""
        self.loop, self.told = loop, told
        self.to: tuple[str, int] | None = None
        self.evidence: TableEvidence | None = None  # while one is open
        self.until_known = False
        self.due: Deadline | None = None
        self.exchange: HttpExchange | None = None
        self.heard = False  # in this try: the relay is in reach
        self.read_in_vain = 0  # tries that were answered and did not tell

    def open(self, to: tuple[str, int], went: int, evidence: TableEvidence, until_known: bool) -> None:
        """Into a call that went at `went`; one that is open goes on.  An effect that stays unknown is told
        once the relay has shown to be in reach, or never where it is asked `until_known`."""
        self.until_known = until_known
        if self.evidence is None:
            self.to, self.evidence, self.read_in_vain = to, evidence, 0
            self.due = self.loop.call_at(max(self.loop.clock.now(), went + self.WITHIN), self._ask)

    def _ask(self) -> None:
        self.heard = False
        stream = EventStream(self._said, lambda: None)
        self.due = self.loop.call_after(self.SPAN, self._again)
        self.exchange = HttpClient(self.loop, self.to, self.CONNECT).request(
            "GET", "/stream", self.SPAN, self._ended, stream=lambda part: self._part(stream, part)
        )

    def _part(self, stream: EventStream, part: bytes) -> None:
        try:
            stream.feed(part)
        except ValueError:  # what can't be read tells nothing; the next one may
            self._again()
            return
        self.heard = True
        effect, proved = self.evidence.effect, self.evidence.proved
        if effect is not CallOutcome.UNKNOWN:
            self.drop()
            self.told(effect, proved)
        elif not self.evidence.any:
            self._again()  # there is nothing to wait for

    def _said(self, kind: str, data: str) -> None:
        if kind != "entry":
            return
        match parse_relay_event(kind, data):
            case face.StoredRoute(table, backend, weight):
                self.evidence.line(table, backend, weight)

    def _ended(self, answer: HttpResponse) -> None:
        self._again()

    def _again(self) -> None:
        self._close()
        if self.heard and not self.until_known:
            self.evidence = None
            self.told(CallOutcome.UNKNOWN, 0)
            return
        self.read_in_vain += self.heard
        self.due = self.loop.call_after(self.AGAIN << min(self.read_in_vain, self.DOUBLINGS), self._ask)

    def _close(self) -> None:
        self.due.cancel()
        if self.exchange is not None:
            self.exchange.drop()
            self.exchange = None

    def drop(self) -> None:
        """End it without a word."""
        if self.evidence is not None:
            self._close()
            self.evidence = None
