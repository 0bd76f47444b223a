"""HTTP/1.1 as a client speaks it: requests to one address, one exchange each (exchange.py)."""

from __future__ import annotations

from collections.abc import Callable

from .clock import SECOND
from .connection import Connection
from .http_exchange import HttpExchange, HttpResponse, is_connection_open
from .loop import Deadline, EventLoop
from .slot_table import SlotTable


def form(method: str, target: str, host: str, body: bytes = b"", kind: str = "") -> bytes:
    """A request as bytes."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body:
        head += f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
    return head.encode("ascii") + b"\r\n" + body


class HttpClient:
    """Requests to one address.  A connection that ended its exchange in order rests for `idle_span`
    and serves the next one; none rests where that is 0."""

    def __init__(
        self, loop: EventLoop, to: tuple[str, int], connect_span: int = SECOND // 2, idle_span: int = 0
    ) -> None:
        self.loop, self.to, self.connect_span, self.idle_span = loop, to, connect_span, idle_span
        self.host = f"{to[0]}:{to[1]}"
        self.exchanges: SlotTable[HttpExchange] = SlotTable()
        self._resting: Connection | None = None
        self._deadline: Deadline | None = None

    def request(
        self,
        method: str,
        target: str,
        span: int,
        done: Callable[[HttpResponse], None],
        body: bytes = b"",
        kind: str = "",
        stream=None,
    ) -> HttpExchange:
        exchange = HttpExchange(self, form(method, target, self.host, body, kind), span, done, stream)
        exchange.start()
        return exchange

    def spare(self) -> Connection | None:
        """The connection at rest, if it can serve: what meets its end may have been done or not."""
        connection = self._wake()
        if connection is None or is_connection_open(connection.sock):
            return connection
        connection.close()
        return None

    def _wake(self) -> Connection | None:
        connection, self._resting = self._resting, None
        if self._deadline is not None:
            self._deadline.cancel()
        return connection

    def rest(self, connection: Connection) -> None:
        self.drop_spare()
        connection.reader = self
        self._resting = connection
        self._deadline = self.loop.call_after(self.idle_span, self.drop_spare)

    def drop_spare(self) -> None:
        connection = self._wake()
        if connection is not None:
            connection.close()

    def retire(self) -> None:
        """No more requests: those that are out end by themselves, and their connections with them."""
        self.idle_span = 0
        self.drop_spare()

    def on_data(self, connection: Connection) -> None:
        self.drop_spare()  # nobody asked: whatever it is, no next answer may begin with it

    def on_closed(self, connection: Connection, why: str) -> None:
        self._wake()

    def close(self) -> None:
        """Drop everything without a word to those who wait."""
        self.drop_spare()
        for exchange in self.exchanges:
            exchange.drop()
