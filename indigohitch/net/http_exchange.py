"""An HTTP request and its response on a connection, parsed by httptools and limited by a deadline."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

import httptools

from .clock import SECOND, Ticks
from .connection import Connection
from .http_response import HttpResponse
from .loop import Deadline, EventLoop
from .slot_table import SlotTable
from .transient_errors import is_transient_connect_error


class ExchangeOwner(Protocol):
    """Declares what an exchange uses of its client (`HttpClient`)."""

    loop: EventLoop
    address: tuple[str, int]
    connect_span: Ticks
    idle_span: Ticks
    exchanges: SlotTable[HttpExchange]

    def take_idle(self) -> Connection | None:
        """Returns an open idle connection, if there is one."""

    def keep_idle(self, connection: Connection) -> None:
        """Keeps a connection for the next exchange."""


def is_connection_open(sock: socket.socket) -> bool:
    """Returns whether the peer has neither closed an idle connection nor sent unrequested data.

    Each reuse checks this first: in the turn in which either arrives, the reuse may run before the event.
    """
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class HttpExchange:
    """Runs a request and its response; it has a numbered slot of its client until it ends."""

    CLOSE_IN_TRANSIT = SECOND // 20  # a close that the peer sent before the request arrived needs less
    DRAIN_LIMIT = SECOND // 4  # enough to read a full socket buffer, some MB, at 64 KiB per turn
    # A lack of descriptors, ports or routes usually passes within the connect span.
    CONNECT_RETRY_DELAY = SECOND // 50
    MAX_BODY = 8 << 20  # bytes; a list of 10,000 backends takes 2 million

    def __init__(
        self,
        client: ExchangeOwner,
        request: bytes,
        span: Ticks,
        done: Callable[[HttpResponse], None],
        stream: Callable[[bytes], None] | None = None,
    ) -> None:
        """`done` and `stream` are as in `HttpClient.request`."""
        self.client = client
        self.request = request
        self.done = done
        self.stream = stream
        self.span = span
        self.started_at = client.loop.clock.now()
        self.number = client.exchanges.put(self)
        self.parser = httptools.HttpResponseParser(self)
        self.body = bytearray()
        self.status = 0
        self.framed = False  # whether the body has a length or is chunked; else it ends with the connection
        self.complete = False
        self.keep_alive = False
        self.ended = False
        self.stale_until = 0  # until then a reused connection may turn out to be closed by the peer
        self.connection: Connection | None = None
        self.deadline: Deadline | None = None

    def start(self) -> None:
        """Sends the request on an idle connection, or connects first."""
        client = self.client
        self.connection = client.take_idle()
        if self.connection is not None:
            self.stale_until = client.loop.clock.now() + self.CLOSE_IN_TRANSIT
            self.connection.reader = self
            self._send(self.connection)
        else:
            self._connect()

    def _connect(self) -> None:
        client = self.client
        loop = client.loop
        if self.deadline is not None:
            self.deadline.cancel()
        try:
            self.connection = Connection.dial(loop, client.address, self)
        except OSError as error:
            deadline = self.started_at + client.connect_span
            if is_transient_connect_error(error) and loop.clock.now() < deadline:
                self.deadline = loop.call_after(self.CONNECT_RETRY_DELAY, self._connect)
            else:  # reported in a later turn, as a refused connect is
                self.deadline = loop.call_after(0, lambda: self.end("connect_failed"))
            return
        self.deadline = loop.call_after(client.connect_span, lambda: self.end("unreached"))

    def _send(self, connection: Connection) -> None:
        self._rearm()
        self._set_ends_with_reset(connection, not self.request.startswith(b"GET "))
        connection.write(self.request)

    @staticmethod
    def _set_ends_with_reset(connection: Connection, on: bool) -> None:
        """Sets whether the end of the connection discards a request that the peer's kernel does not have yet.

        The kernel would deliver it after the exchange has ended, even minutes later, once a network partition
        is over.
        """
        if connection.ends_with_reset != on:
            with contextlib.suppress(OSError):  # the connection has failed already
                connection.set_ends_with_reset(on)

    def _rearm(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.client.loop.call_after(self.span, self._on_timeout)

    def _on_timeout(self, drain_until: Ticks = 0) -> None:
        """Ends the exchange unless the socket has unread data.

        Data that arrived before the deadline counts, even if this process was stopped and one turn does not
        read it all.
        """
        now = self.client.loop.clock.now()
        drain_until = drain_until or now + self.DRAIN_LIMIT
        if now > drain_until or is_connection_open(self.connection.sock):
            self.end("timeout")
        else:
            self.deadline = self.client.loop.call_after(1, lambda: self._on_timeout(drain_until))

    # ---- events of the connection

    def on_connected(self, connection: Connection) -> None:
        """Sends the request."""
        self._send(connection)

    def on_data(self, connection: Connection) -> None:
        """Parses received data."""
        data = connection.incoming.take()
        self.stale_until = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:  # a callback failed, not the parsing
            self.client.loop.failed(error.__context__ or error)
            self.end("unreadable")
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.end("unreadable")
                return
            self.keep_alive = False  # the response is complete; the data after it was not requested
        if self.ended:
            return  # a callback of the parser ended it
        if len(self.body) > self.MAX_BODY:
            self.end("unreadable")
        elif self.complete:
            self.end("answered")
        elif self.stream is not None:
            self._rearm()  # the deadline of a stream limits the time without data

    def on_closed(self, connection: Connection, why: str) -> None:
        """Ends the exchange, or repeats a GET if its reused connection was closed while it was sent."""
        if self.client.loop.clock.now() < self.stale_until and self.request.startswith(b"GET "):
            self.stale_until = 0  # the peer closed as the request arrived; a GET may be repeated safely
            self._connect()
        elif why == "ended" and self.status and not self.framed and self.stream is None:
            self.end("answered")  # the end of the connection ends a body without a length
        else:
            self.end("connect_failed" if why == "refused" else "reset")

    # ---- events of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records whether a header delimits the body."""
        self.framed |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Records the status and whether the connection may be reused."""
        if not self.complete:
            self.status = self.parser.get_status_code()
            self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body or passes it to `stream`."""
        if self.ended or self.complete:
            return  # an earlier part of the same data ended the exchange
        if self.stream is not None and self.status == 200:
            self.stream(part)
        else:
            self.body += part

    def on_message_complete(self) -> None:
        """Marks the response complete unless it is an interim (1xx) response."""
        if not self.complete and 100 <= self.status < 200:
            self.status = 0  # the final response follows
            self.framed = False
            return
        self.keep_alive &= not self.complete  # not reused after a second response to one request
        self.complete = True

    # ---- the end

    def end(self, outcome: str) -> None:
        """Ends the exchange and calls `done`; later calls do nothing."""
        client = self.client
        if self.ended:
            return
        self.ended = True
        client.exchanges.drop(self.number)
        if self.deadline is not None:
            self.deadline.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            # A server that responds before it has the whole request may close the connection at any time.
            is_sent = not len(connection.outgoing)
            if outcome == "answered" and is_sent:
                self._set_ends_with_reset(connection, False)
            if outcome == "answered" and self.keep_alive and client.idle_span and is_sent:
                client.keep_idle(connection)
            else:
                connection.close()
        duration = client.loop.clock.now() - self.started_at
        self.done(HttpResponse(outcome, self.status, bytes(self.body), duration))

    def drop(self) -> None:
        """Ends the exchange without calling `done`."""
        self.done = lambda response: None
        self.end("dropped")
