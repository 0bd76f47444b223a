"""Determines from the stored tables whether a call to the relay with unknown outcome was applied.

The relay is also the store, and an event stream starts with the stored tables. A route that exists only
before the call, or only after it, shows the outcome of the orders up to it, as the relay applies orders in
sequence. A marker that a proxy acknowledges is evidence too.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from .. import interface as face
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange
from ..net.http_response import HttpResponse
from ..net.loop import Deadline, EventLoop
from . import stored_tables
from .relay_watch import EventStream, parse_relay_event


class MarkerEvidence:
    """Whether a marker that a proxy has acknowledged proves that a whole call was applied.

    A marker that an earlier call used, as after a restart of the module, proves nothing.
    """

    def __init__(self) -> None:
        self.used_markers: deque[int] = deque(maxlen=256)
        self.orders: Sequence[face.Order] | None = None  # of the call in question
        self.marker = -1
        self.is_confirmed = False

    def start(self, orders: Sequence[face.Order]) -> bool:
        """Track the call with these orders; return whether it was not tracked before."""
        if orders is self.orders:
            return False
        self.orders = orders
        self.marker = -1
        self.is_confirmed = False
        last = orders[-1]
        if isinstance(last, face.UpdateMarker) and last.marker not in self.used_markers:
            self.marker = last.marker
            self.used_markers.append(last.marker)
        return True

    def acknowledge(self, marker: int) -> bool:
        """Record the acknowledgement of a marker; return whether it proves the call."""
        self.is_confirmed |= marker == self.marker
        return marker == self.marker


class CallOutcome(Enum):
    """Outcome of a call; the value appears in the log."""

    NOT_APPLIED = "none"  # none of its orders was applied
    APPLIED = "stands"  # all orders up to the last one that the tables can prove
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class _TableChange:
    """The change of a table that shows whether the first `end` orders of a call were applied."""

    table: int
    before: frozenset[tuple[str, float]]  # routes that the table has only before the call
    after: frozenset[tuple[str, float]]  # routes that the table has only after the call
    end: int


class TableEvidence:
    """Derives the outcome of a call by comparing tables read later with the tables before it. No I/O."""

    def __init__(
        self,
        tables: stored_tables.StoredTables,
        orders: Sequence[face.Order],
        unresolved_orders: Iterable[face.Order] = (),
    ) -> None:
        """Compare `tables` with the effect of `orders`; `unresolved_orders` may have been applied earlier."""
        changed = {
            number: stored_tables.StoredTable(dict(tables[number].routes))
            for number in stored_tables.changed_tables(orders)
            if number in tables
        }
        earlier = {number: set(table.routes.items()) for number, table in changed.items()}
        for order in unresolved_orders:
            if isinstance(order, face.SetRoute) and order.weight and order.table in earlier:
                earlier[order.table].add((order.backend, order.weight))
        stored_tables.apply_orders(changed, orders)
        ends = {
            order.table: position
            for position, order in enumerate(orders, 1)
            if isinstance(order, face.SetRoute)
        }
        changes = []
        for number, end in ends.items():
            before = frozenset(earlier.get(number, ()))
            after = frozenset(changed[number].routes.items() if number in changed else ())
            if before - after and after - before:
                changes.append(_TableChange(number, before - after, after - before, end))
        changes.sort(key=lambda change: change.end)
        # The relay applies orders in sequence and stops at an invalid one, so the first and the last change
        # prove all orders between them.
        self._first = changes[0] if changes else None
        self._last = changes[-1] if changes else None
        self._applied_count = changes[-1].end if changes else 0
        while 0 < self._applied_count < len(orders) and isinstance(
            orders[self._applied_count], face.UpdateMarker
        ):
            self._applied_count += 1
        self._is_changed: dict[int, bool] = {}  # by table: whether it is in the state after the call

    @property
    def can_decide(self) -> bool:
        """Whether the tables can prove any outcome."""
        return self._first is not None

    @property
    def applied_count(self) -> int:
        """Number of orders proved to be applied if the outcome is `APPLIED`.

        The relay stops at an invalid order. A marker is never invalid, so markers that directly follow the
        applied orders are included.
        """
        return self._applied_count

    def add_route(self, table: int, backend: str, weight: float) -> None:
        """Record a route that the store contains."""
        for change in filter(None, (self._first, self._last)):
            if table == change.table and (backend, weight) in change.before | change.after:
                self._is_changed[table] = (backend, weight) in change.after

    @property
    def outcome(self) -> CallOutcome:
        """Outcome that the routes recorded so far prove."""
        if not self.can_decide:
            return CallOutcome.UNKNOWN
        first = self._is_changed.get(self._first.table)
        last = self._is_changed.get(self._last.table)
        if first and last:
            return CallOutcome.APPLIED
        return CallOutcome.NOT_APPLIED if first is False and last is False else CallOutcome.UNKNOWN


class OutcomeQuery:
    """Reads the stored tables from its own stream until they prove an outcome or it is dropped."""

    SETTLE_TIME = SECOND // 20  # a call is applied within this time of being sent, or never
    CONNECT_TIMEOUT = SECOND // 4
    READ_TIMEOUT = SECOND // 4  # for a whole initial snapshot, which takes a few ms
    RETRY_DELAY = SECOND // 10
    MAX_DELAY_DOUBLINGS = 3  # each inconclusive read doubles `RETRY_DELAY`, up to this many times

    def __init__(self, loop: EventLoop, on_outcome: Callable[[CallOutcome, int], None]) -> None:
        """`on_outcome` receives the outcome and the number of orders proved to be applied."""
        self.loop = loop
        self.on_outcome = on_outcome
        self.address: tuple[str, int] | None = None
        self.evidence: TableEvidence | None = None  # None: no query is running
        self.until_known = False
        self.timer: Deadline | None = None
        self.exchange: HttpExchange | None = None
        self.has_received = False  # the relay has responded to this attempt
        self.inconclusive_reads = 0  # attempts with a response that proved nothing

    def start(
        self, address: tuple[str, int], sent_at: int, evidence: TableEvidence, until_known: bool
    ) -> None:
        """Start a query for a call sent at `sent_at` (ticks); a running query continues.

        An unknown outcome is reported once the relay has responded, or never if `until_known` is set.
        """
        self.until_known = until_known
        if self.evidence is None:
            self.address = address
            self.evidence = evidence
            self.inconclusive_reads = 0
            self.timer = self.loop.call_at(
                max(self.loop.clock.now(), sent_at + self.SETTLE_TIME), self._request_stream
            )

    def _request_stream(self) -> None:
        self.has_received = False
        stream = EventStream(self._on_event, lambda: None)
        self.timer = self.loop.call_after(self.READ_TIMEOUT, self._retry_later)
        self.exchange = HttpClient(self.loop, self.address, self.CONNECT_TIMEOUT).request(
            "GET",
            "/stream",
            self.READ_TIMEOUT,
            self._on_stream_end,
            stream=lambda data: self._on_data(stream, data),
        )

    def _on_data(self, stream: EventStream, data: bytes) -> None:
        try:
            stream.feed(data)
        except ValueError:  # a malformed stream proves nothing, but the next one may
            self._retry_later()
            return
        self.has_received = True
        outcome = self.evidence.outcome
        applied_count = self.evidence.applied_count
        if outcome is not CallOutcome.UNKNOWN:
            self.drop()
            self.on_outcome(outcome, applied_count)
        elif not self.evidence.can_decide:
            self._retry_later()  # no further data can prove an outcome

    def _on_event(self, kind: str, data: str) -> None:
        if kind != "entry":
            return
        match parse_relay_event(kind, data):
            case face.StoredRoute(table, backend, weight):
                self.evidence.add_route(table, backend, weight)

    def _on_stream_end(self, response: HttpResponse) -> None:
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
        """Stop the query without a report."""
        if self.evidence is not None:
            self._close()
            self.evidence = None
