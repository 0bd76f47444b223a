"""The relay's news: an event stream that is kept open, and opened anew when it breaks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol
from urllib.parse import parse_qsl

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange, HttpResponse
from ..net.loop import Deadline, EventLoop
from .messages import RELAY_EVENT_PARSERS


class RelayWatchListener(Protocol):
    """What becomes of the news."""

    def on_watch_requested(self) -> None: ...
    def on_watch_opened(self) -> None: ...
    def on_relay_event(self, event: face.Event) -> None: ...
    def on_keepalive(self) -> None: ...
    def on_watch_lost(self) -> None: ...


class EventStream:
    """Server-sent events out of the pieces of a body: `said(kind, data)` an event, `alive()` a comment."""

    MAX_LINE_BYTES = 1 << 20  # an event of the relay is short; more unfinished than this is none

    def __init__(self, said: Callable[[str, str], None], alive: Callable[[], None]) -> None:
        self.on_event, self.on_comment = said, alive
        self.unread, self.kind, self.data = b"", "", []

    def feed(self, part: bytes) -> None:
        """Raises ValueError where it can't be read."""
        *lines, self.unread = (self.unread + part).split(b"\n")
        if len(self.unread) > self.MAX_LINE_BYTES:
            raise ValueError("line too long")
        for raw in lines:
            line = raw.removesuffix(b"\r").decode("utf-8")
            if not line:
                if self.kind or self.data:
                    kind, data, self.kind, self.data = self.kind, "\n".join(self.data), "", []
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
                    raise ValueError(f"no field of an event stream: {name[:40]!r}")


def parse_relay_event(kind: str, data: str) -> face.Event | None:
    """What an event of the stream says; None: of a kind that is not known.  Raises ValueError."""
    read = RELAY_EVENT_PARSERS.get(kind)
    return read(dict(parse_qsl(data, keep_blank_values=True))) if read is not None else None


class RelayWatch:
    SILENCE_TIMEOUT = 2 * SECOND  # a sign of life comes every second: one missed, and the next has not come
    CONNECT_TIMEOUT = SECOND // 4  # on one network a connect takes a few ms
    RETRY_INTERVAL = SECOND // 10  # before the next try: a relay out of reach is not asked without pause

    def __init__(self, loop: EventLoop, log: Log, to: tuple[str, int], hearer: RelayWatchListener) -> None:
        self.loop, self.log, self.listener = loop, log, hearer
        self.client = HttpClient(loop, to, self.CONNECT_TIMEOUT)
        self.stream = EventStream(self._on_event, hearer.on_keepalive)
        self.current: HttpExchange | None = None  # the stream that tells
        self.pending: HttpExchange | None = None  # one asked for, that has told nothing yet
        self.retry_timer: Deadline | None = None

    def open(self) -> None:
        self.retry_timer = None
        self.listener.on_watch_requested()
        self.pending = exchange = self.client.request(
            "GET",
            "/stream",
            self.SILENCE_TIMEOUT,
            lambda answer: self._on_ended(exchange, answer),
            stream=lambda part: self._on_part(exchange, part),
        )

    def move(self, to: tuple[str, int]) -> bool:
        """Ask at another address.  The stream that tells goes on until one there does."""
        if to == self.client.address:
            return False
        self.client = HttpClient(self.loop, to, self.CONNECT_TIMEOUT)
        self.restart()
        return True

    def restart(self) -> None:
        """Have all that stands told again.  The stream that tells goes on until another does."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.pending is not None:
            self.pending.drop()
        self.open()

    def _on_part(self, exchange: HttpExchange, part: bytes) -> None:
        if exchange is self.pending:
            if self.current is not None:
                if self.current.connection is not None:
                    self.current.connection.ready(True, False)  # what it still brought came first
                if self.current is not None:
                    self.current.drop()
            self.current, self.pending = exchange, None
            self.stream = EventStream(self._on_event, self.listener.on_keepalive)
            self.listener.on_watch_opened()
        try:
            self.stream.feed(part)
        except ValueError as bad:  # UnicodeDecodeError and words.Unreadable are of its kind
            self.log.warning("relay_event_invalid", why=str(bad))
            exchange.end("unreadable")

    def _on_event(self, kind: str, data: str) -> None:
        event = parse_relay_event(kind, data)
        if event is None:  # of a later version, perhaps: no reason to break off
            self.log.warning("relay_event_unknown_kind", kind=kind[:40])
            return
        self.log.count(f"relay_event_{kind}")
        self.listener.on_relay_event(event)

    def _on_ended(self, exchange: HttpExchange, answer: HttpResponse) -> None:
        self.log.warning(
            "relay_watch_lost", why=answer.outcome, status=answer.status, after_ms=answer.duration / 10
        )
        if exchange is self.current:
            self.current = None
            self.listener.on_watch_lost()
        else:
            self.pending = None
        if self.pending is None and self.retry_timer is None:
            self.retry_timer = self.loop.call_after(self.RETRY_INTERVAL, self.open)

    def close(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        for exchange in (self.current, self.pending):
            if exchange is not None:
                exchange.drop()
