"""One client connection that carries one request after the other, for loads of any kind."""

from __future__ import annotations

from typing import Protocol

import httptools

from .loop import EventLoop
from .stream import Stream


class Load(Protocol):
    """Who sends over wires."""

    loop: EventLoop
    to: tuple[str, int]

    def over(self, wire: RequestConnection, job, status: int, why: str) -> None:
        """A request's end: its status, or 0 and why there is none."""

    def ended(self, wire: RequestConnection) -> None:
        """The wire can't be used any more; `over` for what was out on it comes after."""


class RequestConnection:
    def __init__(self, load: Load) -> None:
        """Begins to connect; raises OSError."""
        self.load, self.job = load, None
        self.keeps = True  # another request may follow, as far as is known
        self.status = self.answers = 0
        self.stream = Stream.dial(load.loop, load.to, self)

    def send(self, job, data: bytes, head_only: bool = False) -> None:
        """`head_only`: to HEAD no body comes, whatever its head says."""
        self.job, self.status, self.head_only = job, 0, head_only
        self.parser = httptools.HttpResponseParser(self)
        if len(data) > self.stream.outgoing.max_size:
            self.stream.outgoing.allow(len(data))
        self.stream.write(data)

    def on_headers_complete(self) -> None:
        if self.head_only:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status >= 200:  # an interim one is followed by the answer
            self.status, self.keeps = status, self.parser.should_keep_alive()

    def on_connected(self, stream: Stream) -> None:
        stream.wake()

    def on_data(self, stream: Stream) -> None:
        data = stream.incoming.take()
        if self.job is None:
            stream.close("unasked")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            stream.close("garbled")
            return
        if self.status:
            job, self.job = self.job, None
            self.answers += 1
            if not self.keeps:
                stream.close()
                self.load.ended(self)
            self.load.over(self, job, self.status, "")

    def on_output_drained(self, stream: Stream) -> None:
        pass

    def on_closed(self, stream: Stream, why: str) -> None:
        self.keeps = False
        job, self.job = self.job, None
        self.load.ended(self)
        if job is not None:
            self.load.over(self, job, 0, why)
