"""Watch on the events of the relay: an event stream that is kept open, and reopened when it breaks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from urllib.parse import parse_qsl

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange, is_connection_open
from ..net.http_response import HttpResponse
from ..net.loop import Deadline, EventLoop
from .messages import RELAY_EVENT_PARSERS


class RelayWatchListener(Protocol):
    """Interface of the receiver of a watch's events."""

    def on_watch_requested(self) -> None:
        """Handle the request for a new stream."""

    def on_watch_opened(self, is_continuous: bool = True) -> None:
        """Handle the first data of a new stream, before its events.

        `is_continuous` is False if it replaces a stream whose last events were not read.
        """

    def on_relay_event(self, event: face.Event) -> None:
        """Handle one event of the stream."""

    def on_keepalive(self) -> None:
        """Handle a keepalive comment; the first one ends the initial snapshot."""

    def on_watch_lost(self) -> None:
        """Handle the loss of the current stream."""


class EventStream:
    """Incremental parser of server-sent events from the parts of a response body."""

    MAX_LINE_BYTES = 1 << 20  # relay events are short, so a longer unfinished line is invalid

    def __init__(self, on_event: Callable[[str, str], None], on_comment: Callable[[], None]) -> None:
        """Pass each event to `on_event(kind, data)` and call `on_comment()` for each comment."""
        self.on_event = on_event
        self.on_comment = on_comment
        self.unfinished_line = b""
        self.kind = ""
        self.data: list[str] = []

    def feed(self, part: bytes) -> None:
        """Parse the next part of the body; raises ValueError if it is malformed."""
        *lines, self.unfinished_line = (self.unfinished_line + part).split(b"\n")
        if len(self.unfinished_line) > self.MAX_LINE_BYTES:
            raise ValueError(f"event stream line exceeds {self.MAX_LINE_BYTES} bytes")
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8")
            if not line:
                if self.kind or self.data:
                    kind = self.kind
                    data = "\n".join(self.data)
                    self.kind = ""
                    self.data = []
                    self.on_event(kind, data)
            elif line.startswith(":"):
                self.on_comment()
            else:
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "event":
                    self.kind = value
                elif name == "data":
                    self.data.append(value)
                elif name not in ("id", "retry"):
                    raise ValueError(f"unknown event stream field: {name[:40]!r}")


def parse_relay_event(kind: str, data: str) -> face.Event | None:
    """Parse an event of the stream; None if its kind is unknown. Raises ValueError if it is malformed."""
    parser = RELAY_EVENT_PARSERS.get(kind)
    return parser(dict(parse_qsl(data, keep_blank_values=True))) if parser is not None else None


class RelayWatch:
    """Keeps a stream of relay events open and passes its events to a listener."""

    SILENCE_TIMEOUT = 2 * SECOND  # keepalives are sent every second, so two in a row are missing
    CONNECT_TIMEOUT = SECOND // 4  # a connect within the network takes a few ms
    MAX_SILENCE = (
        SECOND * 3 // 2
    )  # of a stream whose events are complete: its keepalives are due every second
    RETRY_INTERVAL = SECOND // 10  # limits the rate of requests to an unreachable relay

    def __init__(
        self, loop: EventLoop, log: Log, address: tuple[str, int], listener: RelayWatchListener
    ) -> None:
        """Prepare a watch on the relay at `address` (host, port); `open` sends the first request."""
        self.loop = loop
        self.log = log
        self.listener = listener
        self.client = HttpClient(loop, address, self.CONNECT_TIMEOUT)
        self.stream = EventStream(self._on_event, listener.on_keepalive)
        self.current: HttpExchange | None = None  # the stream that events are read from
        self.pending: HttpExchange | None = None  # a requested stream without data yet
        self.retry_timer: Deadline | None = None
        self.on_reopened: Callable[[], None] = lambda: None  # a stream opened after one was lost
        self.last_part_at = 0  # when the last part of the current stream arrived

    def is_current(self) -> bool:
        """Return whether the events read so far are complete: none is unread and the stream is not silent."""
        connection = self.current.connection if self.current is not None else None
        return (
            connection is not None
            and self.loop.clock.now() - self.last_part_at <= self.MAX_SILENCE
            and is_connection_open(connection.sock)
        )

    def open(self) -> None:
        """Request a new stream."""
        self.retry_timer = None
        self.listener.on_watch_requested()
        exchange = self.client.request(
            "GET",
            "/stream",
            self.SILENCE_TIMEOUT,
            lambda response: self._on_ended(exchange, response),
            stream=lambda part: self._on_part(exchange, part),
        )
        self.pending = exchange

    def move(self, address: tuple[str, int]) -> bool:
        """Switch to another address; the current stream continues until the new one delivers data."""
        if address == self.client.address:
            return False
        self.client = HttpClient(self.loop, address, self.CONNECT_TIMEOUT)
        self.restart()
        return True

    def restart(self) -> None:
        """Request a new snapshot; the current stream continues until the new one delivers data."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.pending is not None:
            self.pending.drop()
        self.open()

    def _on_part(self, exchange: HttpExchange, part: bytes) -> None:
        if exchange is self.pending:
            if self.current is not None and self.current.connection is not None:
                # Data that the old stream has not read yet precedes the data of the new stream.
                self.current.connection.ready(True, False)
            is_reopened = self.current is None
            is_continuous = is_reopened or self._end_current()
            self.current = exchange
            self.pending = None
            if is_reopened:
                self.on_reopened()
            self.stream = EventStream(self._on_event, self.listener.on_keepalive)
            self.listener.on_watch_opened(is_continuous)
        self.last_part_at = self.loop.clock.now()
        try:
            self.stream.feed(part)
        except ValueError as error:  # includes UnicodeDecodeError and the errors of the event parsers
            self.log.warning("relay_event_invalid", why=str(error))
            exchange.end("unreadable")

    def _end_current(self) -> bool:
        """Drop the current stream, as another one has opened; return whether it was read to its end."""
        is_complete = self.is_current()
        self.current.drop()
        return is_complete

    def _on_event(self, kind: str, data: str) -> None:
        event = parse_relay_event(kind, data)
        if event is None:  # a later version of the protocol may have more kinds, so the stream goes on
            self.log.warning("relay_event_unknown_kind", kind=kind[:40])
            return
        self.log.count(f"relay_event_{kind}")
        self.listener.on_relay_event(event)

    def _on_ended(self, exchange: HttpExchange, response: HttpResponse) -> None:
        self.log.warning(
            "relay_watch_lost", why=response.outcome, status=response.status, after_ms=response.duration / 10
        )
        if exchange is self.current:
            self.current = None
            self.listener.on_watch_lost()
        else:
            self.pending = None
        if self.pending is None and self.retry_timer is None:
            self.retry_timer = self.loop.call_after(self.RETRY_INTERVAL, self.open)

    def close(self) -> None:
        """Close all streams and cancel the retry."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        for exchange in (self.current, self.pending):
            if exchange is not None:
                exchange.drop()
