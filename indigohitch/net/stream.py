"""A connection with backpressure.

Data that the reader leaves stays in the ring, and once that is full the socket is not read, so that a slow
reader on one side slows the writer on the other.
"""

from __future__ import annotations

import socket
from typing import Protocol, Self

from .connection import READ, WRITE, Connection
from .loop import EventLoop
from .ring_buffer import BufferPool


class StreamReader(Protocol):
    """Handles the events of a stream, as `Reader` does those of a connection."""

    def on_connected(self, stream: Stream) -> None:
        """An outbound stream is established."""

    def on_data(self, stream: Stream) -> None:
        """There is data in `incoming`; `wake` is to be called after some was taken."""

    def on_output_drained(self, stream: Stream) -> None:
        """All queued data has been written to the socket."""

    def on_closed(self, stream: Stream, why: str) -> None:
        """The stream broke or was ended."""


class Stream(Connection):
    """A connection whose socket is not read while its ring is full."""

    BOUND = 64 << 10  # a ring: 1 GB passes through two of these a direction; more only adds delay

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        reader: StreamReader,
        max_unread: int = BOUND,
        pool: BufferPool | None = None,
    ) -> None:
        super().__init__(loop, sock, reader, max_unread, pool)
        self.reading_paused = False  # the ring is full: the socket is not read
        self._mask = READ  # what the selector watches now
        self._is_outbound = False

    @classmethod
    def dial(cls, loop: EventLoop, address: tuple[str, int], reader: StreamReader) -> Self:
        """Starts to connect; raises OSError as `Connection.dial`."""
        connection = super().dial(loop, address, reader)
        connection._mask = READ | WRITE
        connection._is_outbound = True
        return connection

    def _watch(self) -> None:
        mask = (0 if self.reading_paused else READ) | (WRITE if self._writing else 0)
        if mask == self._mask:
            return
        if not mask:
            self.loop.pause(self.sock)
        elif not self._mask:
            self.loop.resume(self.sock, self._number, mask)
        else:
            self.loop.change(self.sock, self._number, mask)
        self._mask = mask

    def free_capacity(self) -> int:
        """Returns how many bytes may be written now without outgrowing the ring."""
        return self.outgoing.free_capacity()

    def write(self, data: bytes) -> None:
        """Writes at once what the socket takes and queues the rest; failures close it in a later turn."""
        if not self.open:
            return
        if not self.connecting and not len(self.outgoing):
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.loop.call_after(0, self._broken)
                return
            if sent == len(data):
                return
            data = data[sent:]
        if not self.outgoing.push(data):
            self.loop.call_after(0, lambda: self.close("flooded"))
        else:
            self.flush_soon()

    def flush_soon(self) -> None:
        """Schedules the data in `outgoing` to be written as soon as the socket takes it."""
        if self.open and not self.connecting:
            self._writing = True
            self._watch()

    def wake(self) -> None:
        """Resumes reading if there is space in the ring again."""
        if self.reading_paused and self.open and not self.incoming.full:
            self.reading_paused = False
            self._watch()

    def _broken(self) -> None:
        """Handles a failed write.

        A server that refuses the request may have responded before its reset, so an outbound stream is read
        once more; nothing more is started for an inbound one.
        """
        if self._is_outbound and self.open and not self.reading_paused:
            self._read()
        self.close("reset")

    def _flush(self) -> str:
        had_output = bool(self.outgoing)
        if why := self._write_out():
            self._broken()
            return why
        self._writing = bool(self.outgoing)
        self._watch()
        if had_output and not self._writing:
            self.reader.on_output_drained(self)
        return ""

    def _read(self) -> None:
        for _ in range(self.READS):
            try:
                received = self.incoming.fill(self.sock)
            except BlockingIOError:
                return
            except OSError:
                self.close("reset")
                return
            if received == 0:
                self.close("ended")
                return
            if received < 0:
                self.reading_paused = True
                self._watch()
                return
            self.reader.on_data(self)
            # Less than a block: there is hardly more, and the next turn would find it.
            if not self.open or received < self.incoming.FIRST:
                return

    def close(self, why: str = "") -> None:
        """Closes at once; with a reason, the reader is notified."""
        self._reregister()
        super().close(why)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Takes the stream out of the loop without closing; returns the socket and unread data."""
        self._reregister()
        return super().detach()

    def _reregister(self) -> None:
        """Registers a paused socket with the selector, which is about to unregister it."""
        if self.open and not self._mask:
            self.loop.resume(self.sock, self._number, READ)
            self._mask = READ
