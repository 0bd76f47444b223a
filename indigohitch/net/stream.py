"""A connection with backpressure.

Data that the reader does not take stays in the ring, and a socket whose ring is full is not read, so a slow
reader on one side slows down the writer on the other.
"""

from __future__ import annotations

import errno
import socket
from typing import Protocol, Self

from .connection import READ, WRITE, Connection
from .loop import EventLoop
from .ring_buffer import BufferPool, RingBuffer


class StreamReader(Protocol):
    """Handles the events of a stream, as `Reader` does those of a connection."""

    def on_connected(self, stream: Stream) -> None:
        """Called when an outbound stream is established."""

    def on_data(self, stream: Stream) -> None:
        """Called when `incoming` has new data; a reader that removes data then resumes reading."""

    def on_output_drained(self, stream: Stream) -> None:
        """Called when all queued data has been written to the socket."""

    def on_closed(self, stream: Stream, why: str) -> None:
        """Called when the stream failed or the peer closed it."""


def end_reason(error: OSError) -> str:
    """Returns whether the peer ended its data in order before it reset the connection.

    The kernel reports a reset as EPIPE after an orderly end, else as ECONNRESET, and only once: a read after
    it returns the end of the data in either case.
    """
    return "ended" if error.errno == errno.EPIPE else "reset"


class Stream(Connection):
    """Reads a socket only while its ring has free space."""

    MAX_BUFFERED = 64 << 10  # bytes; 1 GB passes through two rings per direction, and more only adds delay

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        reader: StreamReader,
        max_unread: int = MAX_BUFFERED,
        pool: BufferPool | None = None,
    ) -> None:
        super().__init__(loop, sock, reader, max_unread, pool)
        self.reading_paused = False  # the socket is not read, as the ring is full
        self._mask = READ  # the events for which the selector watches the socket
        self._is_outbound = False
        self.is_output_lost = False  # of a write that failed or did not fit; nothing is written after it
        self._end_reason = ""  # why the connection ended, if a failed write told it

    @classmethod
    def dial(cls, loop: EventLoop, address: tuple[str, int], reader: StreamReader) -> Self:
        """Starts to connect; raises OSError as `Connection.dial` does."""
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
        """Returns how many bytes may be written now without exceeding the bound of the ring."""
        return self.outgoing.free_capacity()

    def write(self, data: bytes, beyond_limits: bool = False) -> None:
        """Writes what the socket accepts and queues the rest; a failure closes the stream in a later turn.

        `beyond_limits` is that of `RingBuffer.push`.
        """
        if not self.open or self.is_output_lost:
            return
        if not self.connecting and not len(self.outgoing):
            try:
                sent = self.sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                failed = error  # the name of an exception ends with its clause
                self.is_output_lost = True
                self.loop.call_after(0, lambda: self._on_write_failed(failed))
                return
            if sent == len(data):
                return
            data = data[sent:]
        if not self.outgoing.push(data, beyond_limits):
            self.is_output_lost = True
            self.loop.call_after(0, lambda: self.close("flooded"))
        else:
            self.flush_soon()

    def flush_soon(self) -> None:
        """Schedules the data in `outgoing` to be written once the socket is writable."""
        if self.open and not self.connecting:
            self._writing = True
            self._watch()

    def resume_reading(self) -> None:
        """Resumes reading if the ring has free space again."""
        if self.reading_paused and self.open and not self.incoming.full:
            self.reading_paused = False
            self._watch()

    def _on_write_failed(self, error: OSError) -> None:
        """Handles a failed write.

        A server that rejects a request may have responded before it reset the connection, so an outbound
        stream is read to its end, as its reader makes room.  An inbound one is not: no further request is to
        be started.
        """
        if self._is_outbound and self.open and error.errno in (errno.ECONNRESET, errno.EPIPE):
            self._end_reason = end_reason(error)
            self._discard_output()
            return
        if self._is_outbound and self.open and not self.reading_paused:
            self._read()
        self.close("reset")

    def _discard_output(self) -> None:
        """Discards what is queued and all that will be written."""
        self.is_output_lost = True
        self.outgoing.close()
        self._writing = False
        self._watch()

    def _flush(self) -> str:
        had_output = bool(self.outgoing)
        if (error := self._write_out()) is not None:
            self._on_write_failed(error)
            return ""
        self._writing = bool(self.outgoing)
        self._watch()
        if had_output and not self._writing:
            self.reader.on_output_drained(self)
        return ""

    def _read(self) -> None:
        for _ in range(self.MAX_READS_PER_TURN):
            try:
                received = self.incoming.receive_from(self.sock)
            except BlockingIOError:
                return
            except OSError as error:
                self.close(self._end_reason or end_reason(error))
                return
            if received == 0:
                self.close(self._end_reason or "ended")
                return
            if received < 0:
                self.reading_paused = True
                self._watch()
                return
            self.reader.on_data(self)
            # After less than a block there is hardly more, and the next turn would find it.
            if not self.open or received < self.incoming.FIRST_BLOCK:
                return

    def take_over_incoming(self) -> RingBuffer:
        """Returns the ring with the unread data, which outlives the stream; the caller has to close it."""
        ring = self.incoming
        self.incoming = RingBuffer(0, self.loop.pool)
        return ring

    def close(self, why: str = "") -> None:
        """Closes immediately; the reader is notified if there is a reason."""
        self._reregister()
        super().close(why)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Removes the stream from the loop without closing it; returns the socket and unread data."""
        self._reregister()
        return super().detach()

    def _reregister(self) -> None:
        """Registers a paused socket again, as the caller is about to unregister it."""
        if self.open and not self._mask:
            self.loop.resume(self.sock, self._number, READ)
            self._mask = READ
