"""An HTTP/1.1 client for one address; `http_exchange` has the exchange of each request."""

from __future__ import annotations

from collections.abc import Callable

from .clock import SECOND, Ticks
from .connection import Connection
from .http_exchange import HttpExchange, is_connection_open
from .http_response import HttpResponse
from .loop import Deadline, EventLoop
from .slot_table import SlotTable


def encode_request(method: str, target: str, host: str, body: bytes = b"", kind: str = "") -> bytes:
    """Encodes a request; `kind` is the content type of its body."""
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
    if body:
        head += f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n"
    return head.encode("ascii") + b"\r\n" + body


class HttpClient:
    """Sends requests to one address.

    After a complete exchange its connection is kept for `idle_span` and reused by the next request; 0 keeps
    none.
    """

    def __init__(
        self,
        loop: EventLoop,
        address: tuple[str, int],
        connect_span: Ticks = SECOND // 2,
        idle_span: Ticks = 0,
    ) -> None:
        self.loop = loop
        self.address = address
        self.connect_span = connect_span
        self.idle_span = idle_span
        self.host = f"{address[0]}:{address[1]}"
        self.exchanges: SlotTable[HttpExchange] = SlotTable()
        self._idle: Connection | None = None
        self._deadline: Deadline | None = None

    def request(
        self,
        method: str,
        target: str,
        span: Ticks,
        done: Callable[[HttpResponse], None],
        body: bytes = b"",
        kind: str = "",
        stream: Callable[[bytes], None] | None = None,
    ) -> HttpExchange:
        """Starts an exchange that ends within `span` and calls `done` once.

        `stream` gets the body of a 200 response in parts as they arrive; `span` then limits the time without
        data.
        """
        exchange = HttpExchange(
            self, encode_request(method, target, self.host, body, kind), span, done, stream
        )
        exchange.start()
        return exchange

    def take_idle(self) -> Connection | None:
        """Returns the idle connection if it is open; on a closing one a request may be executed or not."""
        connection = self._remove_idle()
        if connection is None or is_connection_open(connection.sock):
            return connection
        connection.close()
        return None

    def _remove_idle(self) -> Connection | None:
        connection = self._idle
        self._idle = None
        if self._deadline is not None:
            self._deadline.cancel()
        return connection

    def keep_idle(self, connection: Connection) -> None:
        """Keeps a connection for the next request."""
        self.drop_idle()
        connection.reader = self
        self._idle = connection
        self._deadline = self.loop.call_after(self.idle_span, self.drop_idle)

    def drop_idle(self) -> None:
        """Closes the idle connection."""
        connection = self._remove_idle()
        if connection is not None:
            connection.close()

    def retire(self) -> None:
        """Stops keeping connections; those of requests in flight are closed when the requests end."""
        self.idle_span = 0
        self.drop_idle()

    def on_connected(self, connection: Connection) -> None:
        """Does nothing: an idle connection is already established."""

    def on_data(self, connection: Connection) -> None:
        """Drops the idle connection, as unrequested data must not be taken for the next response."""
        self.drop_idle()

    def on_closed(self, connection: Connection, why: str) -> None:
        """Forgets the idle connection."""
        self._remove_idle()

    def close(self) -> None:
        """Ends all exchanges without calling their `done`."""
        self.drop_idle()
        for exchange in self.exchanges:
            exchange.drop()
