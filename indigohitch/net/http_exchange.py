"""One request and its answer on a connection: parsed by httptools, ended by a deadline."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from .clock import SECOND
from .connection import Connection
from .loop import Deadline, EventLoop
from .slot_table import SlotTable
from .transient_errors import is_transient_connect_error


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """`outcome`: "answered", or why not: "connect_failed", "unreached" (no word on the connect),
    "timeout", "reset", "unreadable".  With the last three the other side may have done what was asked."""

    outcome: str
    status: int = 0
    body: bytes = b""
    duration: int = 0


class ExchangeOwner(Protocol):
    """What an exchange needs of its client (http.Client)."""

    loop: EventLoop
    to: tuple[str, int]
    connect_span: int
    idle_span: int
    exchanges: SlotTable[HttpExchange]

    def spare(self) -> Connection | None: ...
    def rest(self, connection: Connection) -> None: ...


def is_connection_open(sock: socket.socket) -> bool:
    """Of a connection at rest: neither its end has come, nor a byte, which nobody can have asked for.  Looked
    at before each reuse: in the turn that brings it, whoever takes the connection may be first."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


class HttpExchange:
    """One request and its answer, in a numbered slot of its client while it lasts."""

    CROSSED = SECOND // 20  # a close that crosses the request is here by then; later it is an answer
    UNREAD = SECOND // 4  # to read what a socket holds, some MB at 64 KiB a turn
    DIAL_AGAIN = SECOND // 50  # no descriptor, port or way there: it passes within the connect span
    BODY = 8 << 20  # a list of ten thousand backends is two; more is no answer of ours

    def __init__(
        self,
        client: ExchangeOwner,
        request: bytes,
        span: int,
        done: Callable[[HttpResponse], None],
        stream: Callable[[bytes], None] | None = None,
    ) -> None:
        self.client, self.request, self.done, self.stream = client, request, done, stream
        self.span, self.began = span, client.loop.clock.now()
        self.number = client.exchanges.put(self)
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.status = bytearray(), 0
        self.framed = self.complete = self.keep = self.over = False
        self.worn_until = 0  # on a connection that had rested, and may just have been closed
        self.connection: Connection | None = None
        self.deadline: Deadline | None = None

    def start(self) -> None:
        client = self.client
        self.connection = client.spare()
        if self.connection is not None:
            self.worn_until = client.loop.clock.now() + self.CROSSED
            self.connection.reader = self
            self._send(self.connection)
        else:
            self._dial()

    def _dial(self) -> None:
        loop, client = self.client.loop, self.client
        if self.deadline is not None:
            self.deadline.cancel()
        try:
            self.connection = Connection.dial(loop, client.to, self)
        except OSError as failed:
            if is_transient_connect_error(failed) and loop.clock.now() < self.began + client.connect_span:
                self.deadline = loop.call_after(self.DIAL_AGAIN, self._dial)
            else:  # told like any refused connect
                self.deadline = loop.call_after(0, lambda: self.end("connect_failed"))
            return
        self.deadline = loop.call_after(client.connect_span, lambda: self.end("unreached"))

    def _send(self, connection: Connection) -> None:
        self._rearm()
        connection.write(self.request)

    def _rearm(self) -> None:
        if self.deadline is not None:
            self.deadline.cancel()
        self.deadline = self.client.loop.call_after(self.span, self._late)

    def _late(self, until: int = 0) -> None:
        """What came in time counts, also where this process stood still and one turn does not read it all."""
        now = self.client.loop.clock.now()
        until = until or now + self.UNREAD
        if now > until or is_connection_open(self.connection.sock):
            self.end("timeout")
        else:
            self.deadline = self.client.loop.call_after(1, lambda: self._late(until))

    # ---- what the connection tells

    def on_connected(self, connection: Connection) -> None:
        self._send(connection)

    def on_data(self, connection: Connection) -> None:
        data = connection.incoming.take()
        self.worn_until = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as broken:  # not what came, but what became of it here
            self.client.loop.failed(broken.__context__ or broken)
            self.end("unreadable")
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.complete:
                self.end("unreadable")
                return
            self.keep = False  # the answer is whole, and what came behind it is nobody's
        if self.over:
            return  # ended by what it told
        if len(self.body) > self.BODY:
            self.end("unreadable")
        elif self.complete:
            self.end("answered")
        elif self.stream is not None:
            self._rearm()  # a stream's deadline is for silence

    def on_closed(self, connection: Connection, why: str) -> None:
        if self.client.loop.clock.now() < self.worn_until and self.request.startswith(b"GET "):
            self.worn_until = 0  # closed as the request came: reading again changes nothing
            self._dial()
        elif why == "ended" and self.status and not self.framed and self.stream is None:
            self.end("answered")  # a body without a length ends with its connection
        else:
            self.end("connect_failed" if why == "refused" else "reset")

    # ---- what the parser tells

    def on_header(self, name: bytes, value: bytes) -> None:
        self.framed |= name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.status, self.keep = self.parser.get_status_code(), self.parser.should_keep_alive()

    def on_body(self, part: bytes) -> None:
        if self.over or self.complete:
            return  # ended by an earlier part of what came in one piece
        if self.stream is not None and self.status == 200:
            self.stream(part)
        else:
            self.body += part

    def on_message_complete(self) -> None:
        if not self.complete and 100 <= self.status < 200:
            self.status, self.framed = 0, False  # interim: the answer itself is still to come
            return
        self.keep &= not self.complete  # a second answer to one request: no more on that connection
        self.complete = True

    # ---- the end

    def end(self, outcome: str) -> None:
        client = self.client
        if self.over:
            return
        self.over = True
        client.exchanges.drop(self.number)
        if self.deadline is not None:
            self.deadline.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            # Answered before the request was all out, it may be cut off any moment.
            if outcome == "answered" and self.keep and client.idle_span and not len(connection.outgoing):
                client.rest(connection)
            else:
                connection.close()
        self.done(HttpResponse(outcome, self.status, bytes(self.body), client.loop.clock.now() - self.began))

    def drop(self) -> None:
        """End it without a word to who waits."""
        self.done = lambda answer: None
        self.end("dropped")
