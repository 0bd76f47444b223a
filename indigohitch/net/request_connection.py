"""A persistent client connection that carries one request at a time, for load generators."""

from __future__ import annotations

from typing import Any, Protocol

import httptools

from .loop import EventLoop
from .stream import Stream


class Load(Protocol):
    """The owner of request connections."""

    loop: EventLoop
    to: tuple[str, int]

    def over(self, wire: RequestConnection, job: Any, status: int, why: str) -> None:  # noqa: ANN401 - the owner's
        """A request ended with a status, or with 0 and the reason."""

    def ended(self, wire: RequestConnection) -> None:
        """The connection is closed; `over` for the request in flight is called after it."""


class RequestConnection:
    """A connection with at most one request in flight."""

    def __init__(self, load: Load) -> None:
        """Starts to connect; raises OSError."""
        self.load = load
        self.job: Any = None
        self.keeps = True  # another request may follow, as far as is known
        self.status = 0
        self.answers = 0
        self.stream = Stream.dial(load.loop, load.to, self)

    def send(self, job: Any, data: bytes, head_only: bool = False) -> None:  # noqa: ANN401 - the owner's
        """Sends a request; `head_only`: the response to HEAD has no body, whatever its headers say."""
        self.job = job
        self.status = 0
        self.head_only = head_only
        self.parser = httptools.HttpResponseParser(self)
        if len(data) > self.stream.outgoing.max_size:
            self.stream.outgoing.allow(len(data))
        self.stream.write(data)

    def on_headers_complete(self) -> None:
        """Ends the response to HEAD."""
        if self.head_only:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Takes the status of a final response."""
        status = self.parser.get_status_code()
        if status >= 200:  # an interim one is followed by the final one
            self.status = status
            self.keeps = self.parser.should_keep_alive()

    def on_connected(self, stream: Stream) -> None:
        """Starts to read."""
        stream.wake()

    def on_data(self, stream: Stream) -> None:
        """Parses a part of the response."""
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
            job = self.job
            self.job = None
            self.answers += 1
            if not self.keeps:
                stream.close()
                self.load.ended(self)
            self.load.over(self, job, self.status, "")

    def on_output_drained(self, stream: Stream) -> None:
        """Does nothing: the request is sent."""

    def on_closed(self, stream: Stream, why: str) -> None:
        """Ends the request in flight."""
        self.keeps = False
        job = self.job
        self.job = None
        self.load.ended(self)
        if job is not None:
            self.load.over(self, job, 0, why)
