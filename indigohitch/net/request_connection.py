"""A persistent client connection that carries one request at a time, for load generators."""

from __future__ import annotations

from typing import Any, Protocol

import httptools

from .loop import EventLoop
from .stream import Stream


class RequestConnectionOwner(Protocol):
    """Handles the results of the requests on its connections."""

    loop: EventLoop
    to: tuple[str, int]

    def on_request_ended(self, wire: RequestConnection, job: Any, status: int, why: str) -> None:  # noqa: ANN401 - the owner's
        """Called when a request ended, with its status or with 0 and the reason."""

    def on_connection_closed(self, wire: RequestConnection) -> None:
        """Called when the connection is closed, before the end of its request in flight is reported."""


class RequestConnection:
    """Keeps a connection open and sends one request at a time on it."""

    def __init__(self, owner: RequestConnectionOwner) -> None:
        """Starts to connect; raises OSError if that fails immediately."""
        self.owner = owner
        self.job: Any = None
        self.is_reusable = True  # another request may follow, unless a response has said otherwise
        self.status = 0
        self.answers = 0
        self.stream = Stream.dial(owner.loop, owner.to, self)

    def send(self, job: Any, data: bytes, head_only: bool = False) -> None:  # noqa: ANN401 - the owner's
        """Sends a request; with `head_only`, for HEAD, the response ends with its headers in any case."""
        self.job = job
        self.status = 0
        self.head_only = head_only
        self.parser = httptools.HttpResponseParser(self)
        if len(data) > self.stream.outgoing.max_size:
            self.stream.outgoing.set_max_size(len(data))
        self.stream.write(data)

    def on_headers_complete(self) -> None:
        """Completes the response to a HEAD request."""
        if self.head_only:
            self.on_message_complete()

    def on_message_complete(self) -> None:
        """Records the status of a final response."""
        status = self.parser.get_status_code()
        if status >= 200:  # the final response follows an interim one
            self.status = status
            self.is_reusable = self.parser.should_keep_alive()

    def on_connected(self, stream: Stream) -> None:
        """Starts reading."""
        stream.resume_reading()

    def on_data(self, stream: Stream) -> None:
        """Parses received data and reports a complete response."""
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
            if not self.is_reusable:
                stream.close()
                self.owner.on_connection_closed(self)
            self.owner.on_request_ended(self, job, self.status, "")

    def on_output_drained(self, stream: Stream) -> None:
        """Does nothing: the response comes next."""

    def on_closed(self, stream: Stream, why: str) -> None:
        """Reports the end of the connection and of the request in flight."""
        self.is_reusable = False
        job = self.job
        self.job = None
        self.owner.on_connection_closed(self)
        if job is not None:
            self.owner.on_request_ended(self, job, 0, why)
