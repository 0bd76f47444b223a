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
        self.used_markers: deque[int] = deque(maxlen=256)
        self.orders: Sequence[face.Order] | None = None  # of the call in question
        self.marker, self.is_confirmed = -1, False

    def start(self, orders: Sequence[face.Order]) -> bool:
        """These are in question from here on; whether they were not before."""
        if orders is self.orders:
            return False
        self.orders = orders
        self.marker, self.is_confirmed = -1, False
        last = orders[-1]
        if isinstance(last, face.UpdateMarker) and last.marker not in self.used_markers:
            self.marker = last.marker
            self.used_markers.append(last.marker)
        return True

    def acknowledge(self, mark: int) -> bool:
        """Whether this mark shows it."""
        self.is_confirmed |= mark == self.marker
        return mark == self.marker


class CallOutcome(Enum):
    """What became of a call; the log tells the value."""

    NOT_APPLIED = "none"  # it was not carried out
    APPLIED = "stands"  # up to the last order that shows
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
            for n in stored_tables.changed_tables(orders)
            if n in stood
        }
        earlier = {n: set(table.lines.items()) for n, table in changed.items()}
        for order in maybe:
            if isinstance(order, face.SetRoute) and order.weight and order.table in earlier:
                earlier[order.table].add((order.backend, order.weight))
        stored_tables.apply_orders(changed, orders)
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
    def can_decide(self) -> bool:
        """Whether the tables can tell."""
        return self._first is not None

    @property
    def applied_count(self) -> int:
        """How many orders stand where the effect is `STANDS`.  The relay stops at an order that it can't use;
        a mark is none, so one right behind those that stand was taken with them."""
        return self._end

    def add_route(self, table: int, backend: str, weight: float) -> None:
        """A line that stands."""
        for sign in filter(None, (self._first, self._last)):
            if table == sign.table and (backend, weight) in sign.before | sign.after:
                self._found[table] = (backend, weight) in sign.after

    @property
    def outcome(self) -> CallOutcome:
        if not self.can_decide:
            return CallOutcome.UNKNOWN
        first, last = self._found.get(self._first.table), self._found.get(self._last.table)
        if first and last:
            return CallOutcome.APPLIED
        return CallOutcome.NOT_APPLIED if first is False and last is False else CallOutcome.UNKNOWN


class OutcomeQuery:
    """Reads from a stream of its own what stands, again and again until that tells or it is dropped."""

    SETTLE_TIME = SECOND // 20  # a call is carried out by then, counted from when it went, or never
    CONNECT_TIMEOUT = SECOND // 4
    READ_TIMEOUT = SECOND // 4  # for a whole start of the news, which takes a few ms
    RETRY_DELAY = SECOND // 10
    MAX_DELAY_DOUBLINGS = 3  # of that wait, where what was read did not tell

    def __init__(self, loop: EventLoop, told: Callable[[CallOutcome, int], None]) -> None:
        """`told` hears the effect, and how many orders are proved to stand by it."""
        self.loop, self.on_outcome = loop, told
        self.to: tuple[str, int] | None = None
        self.evidence: TableEvidence | None = None  # while one is open
        self.until_known = False
        self.timer: Deadline | None = None
        self.exchange: HttpExchange | None = None
        self.has_received = False  # in this try: the relay is in reach
        self.inconclusive_reads = 0  # tries that were answered and did not tell

    def start(self, to: tuple[str, int], went: int, evidence: TableEvidence, until_known: bool) -> None:
        """Into a call that went at `went`; one that is open goes on.  An effect that stays unknown is told
        once the relay has shown to be in reach, or never where it is asked `until_known`."""
        self.until_known = until_known
        if self.evidence is None:
            self.to, self.evidence, self.inconclusive_reads = to, evidence, 0
            self.timer = self.loop.call_at(
                max(self.loop.clock.now(), went + self.SETTLE_TIME), self._request_stream
            )

    def _request_stream(self) -> None:
        self.has_received = False
        stream = EventStream(self._on_event, lambda: None)
        self.timer = self.loop.call_after(self.READ_TIMEOUT, self._retry_later)
        self.exchange = HttpClient(self.loop, self.to, self.CONNECT_TIMEOUT).request(
            "GET",
            "/stream",
            self.READ_TIMEOUT,
            self._on_stream_end,
            stream=lambda part: self._on_data(stream, part),
        )

    def _on_data(self, stream: EventStream, part: bytes) -> None:
        try:
            stream.feed(part)
        except ValueError:  # what can't be read tells nothing; the next one may
            self._retry_later()
            return
        self.has_received = True
        effect, proved = self.evidence.outcome, self.evidence.applied_count
        if effect is not CallOutcome.UNKNOWN:
            self.drop()
            self.on_outcome(effect, proved)
        elif not self.evidence.can_decide:
            self._retry_later()  # there is nothing to wait for

    def _on_event(self, kind: str, data: str) -> None:
        if kind != "entry":
            return
        match parse_relay_event(kind, data):
            case face.StoredRoute(table, backend, weight):
                self.evidence.add_route(table, backend, weight)

    def _on_stream_end(self, answer: HttpResponse) -> None:
        self._retry_later()

    def _retry_later(self) -> None:
        self._close()
        if self.has_received and not self.until_known:
            self.evidence = None
            self.on_outcome(CallOutcome.UNKNOWN, 0)
            return
        self.inconclusive_reads += self.has_received
        self.timer = self.loop.call_after(
            self.RETRY_DELAY << min(self.inconclusive_reads, self.MAX_DELAY_DOUBLINGS), self._request_stream
        )

    def _close(self) -> None:
        self.timer.cancel()
        if self.exchange is not None:
            self.exchange.drop()
            self.exchange = None

    def drop(self) -> None:
        """End it without a word."""
        if self.evidence is not None:
            self._close()
            self.evidence = None
