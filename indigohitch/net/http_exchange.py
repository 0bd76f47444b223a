"""One request and its response on a connection: parsed by httptools, ended by a deadline."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from .clock import SECOND, Ticks
from .connection import Connection
from .loop import Deadline, EventLoop
from .slot_table import SlotTable
from .transient_errors import is_transient_connect_error


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """The result of an exchange.

    `outcome` is "answered", or why there is no response: "connect_failed", "unreached" (the connect timed
    out), "timeout", "reset", "unreadable".  After the last three the server may have executed the request.
    """

    outcome: str
    status: int = 0
    body: bytes = b""
    duration: Ticks = 0


class ExchangeOwner(Protocol):
    """What an exchange needs of its client (`HttpClient`)."""

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
    """Returns whether an idle connection has received neither its end nor a byte, which nobody requested.

    To be checked before each reuse: in the turn that brings either, the reuse may come first.
    """
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


class HttpExchange:
    """One request and its response, in a numbered slot of its client while it lasts."""

    CLOSE_IN_TRANSIT = SECOND // 20  # a close sent before the request arrived is received by then
    DRAIN_LIMIT = SECOND // 4  # to read what a socket buffers, some MB at 64 KiB a turn
    CONNECT_RETRY_DELAY = SECOND // 50  # no descriptor, port or route: it passes within the connect span
    MAX_BODY = 8 << 20  # bytes; a list of ten thousand backends is two million

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
        self.framed = False  # the body has a length; else it ends with the connection
        self.complete = False
        self.keep_alive = False
        self.ended = False
        self.stale_until = 0  # on a reused connection, which may just have been closed
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
            else:  # reported like any refused connect
                self.deadline = loop.call_after(0, lambda: self.end("connect_failed"))
            return
        self.deadline = loop.call_after(client.connect_span, lambda: self.end("unreached"))

    def _send(self, connection: Connection) -> None:
        self._rearm()
        connection.write(self.request)

    def _rearm(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.client.loop.call_after(self.span, self._on_timeout)

    def _on_timeout(self, drain_until: Ticks = 0) -> None:
        """Ends the exchange unless the socket has unread data.

        Data received in time counts, also if this process stood still and one turn does not read it all.
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
        """Parses a part of the response."""
        data = connection.incoming.take()
        self.stale_until = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:  # not the data, but its handling failed
            self.client.loop.failed(error.__context__ or error)
            self.end("unreadable")
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.end("unreadable")
                return
            self.keep_alive = False  # the response is complete; what follows it was not requested
        if self.ended:
            return  # ended by its own callback
        if len(self.body) > self.MAX_BODY:
            self.end("unreadable")
        elif self.complete:
            self.end("answered")
        elif self.stream is not None:
            self._rearm()  # a stream's deadline is for silence

    def on_closed(self, connection: Connection, why: str) -> None:
        """Ends the exchange, or repeats a GET whose reused connection was closed as it was sent."""
        if self.client.loop.clock.now() < self.stale_until and self.request.startswith(b"GET "):
            self.stale_until = 0  # closed as the request came: reading again changes nothing
            self._connect()
        elif why == "ended" and self.status and not self.framed and self.stream is None:
            self.end("answered")  # a body without a length ends with its connection
        else:
            self.end("connect_failed" if why == "refused" else "reset")

    # ---- events of the parser

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes whether the body is framed."""
        self.framed |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Takes the status."""
        if not self.complete:
            self.status = self.parser.get_status_code()
            self.keep_alive = self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        """Collects or passes on a part of the body."""
        if self.ended or self.complete:
            return  # ended by an earlier part of what came in one piece
        if self.stream is not None and self.status == 200:
            self.stream(part)
        else:
            self.body += part

    def on_message_complete(self) -> None:
        """Marks the response complete, unless it was an interim one."""
        if not self.complete and 100 <= self.status < 200:
            self.status = 0  # interim: the final response is still to come
            self.framed = False
            return
        self.keep_alive &= not self.complete  # a second response to one request: do not reuse the connection
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
            # A server that responds before it has the whole request may close the connection any moment.
            is_sent = not len(connection.outgoing)
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
