"""A TCP connection with one ring buffer a direction."""

from __future__ import annotations

import errno
import selectors
import socket
from typing import Protocol, Self

from .graceful_close import close_in_order
from .loop import EventLoop
from .ring_buffer import BufferPool, RingBuffer

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
PORTS = 1 << 16  # port numbers are below this


def parse_address(text: str) -> tuple[str, int]:
    """Parses `host:port` into what socket calls take.

    Raises:
        ValueError: The text is not of that form.
    """
    host, colon, port = text.rpartition(":")
    # A host that no request can name would fail with the first one, half way through a move to it.
    is_host = colon and host and host.isascii() and host.isprintable() and " " not in host
    if not is_host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < PORTS:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


class Reader(Protocol):
    """Handles the events of a connection and owns its received data."""

    def on_connected(self, connection: Connection) -> None:
        """An outbound connection is established."""

    def on_data(self, connection: Connection) -> bool | None:
        """There is data in `incoming`; returns True to get no more of it in this turn."""

    def on_closed(self, connection: Connection, why: str) -> None:
        """The connection broke or was ended; see `Connection` for `why`."""


class Connection:
    """A connection in the event loop.

    `why` it closed: "refused" (never established), "reset", "ended" (by the peer, in order), "flooded" (data
    that waits to be written outgrew its bound).
    """

    BOUND = 1 << 20  # bytes; no side of the protocol sends or is owed more at once
    READS = 16  # reads a turn: one busy peer must not starve the others

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        reader: Reader,
        max_unread: int = BOUND,
        pool: BufferPool | None = None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.reader = reader
        self.incoming = RingBuffer(max_unread, pool or loop.pool)
        self.outgoing = RingBuffer(self.BOUND, pool or loop.pool)
        self.connecting = False
        self.open = True
        self.received = 0  # bytes read so far
        self.reads = self.READS
        self.step = self.BOUND
        self._writing = False
        self._number = -1

    @classmethod
    def accepted(
        cls, loop: EventLoop, sock: socket.socket, reader: Reader, max_unread: int, pool: BufferPool
    ) -> Self:
        """Makes an inbound connection; its own pool keeps peers from starving outbound connections."""
        connection = cls(loop, sock, reader, max_unread, pool)
        connection._number = loop.watch(sock, connection, READ)
        return connection

    @classmethod
    def dial(cls, loop: EventLoop, address: tuple[str, int], reader: Reader) -> Self:
        """Starts to connect.

        Raises:
            OSError: The connect failed at once.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, "connect")
            connection = cls(loop, sock, reader)
            connection.connecting = True
            connection._writing = True
            connection._number = loop.watch(sock, connection, READ | WRITE)
        except BaseException:
            sock.close()
            raise
        return connection

    def pace(self, reads: int, step: int, crowd: bool) -> None:
        """Limits a turn to `reads` reads of `step` bytes; as one of the crowd it is read only in its turn."""
        self.reads = reads
        self.step = step
        self.loop.crowd(self._number, crowd)

    def write(self, data: bytes) -> None:
        """Queues data; a failure closes the connection in a later turn, never while the reader is writing."""
        if not self.open:
            return
        if not self.outgoing.push(data):
            self.loop.call_after(0, lambda: self.close("flooded"))
        elif not self.connecting and (why := self._flush()):
            self.loop.call_after(0, lambda: self.close(why))

    def close(self, why: str = "") -> None:
        """Closes at once; with a reason, the reader is notified."""
        if not self.open:
            return
        self.open = False
        self.loop.forget(self.sock, self._number)
        if why:  # it is broken, or its peer has ended it
            self.sock.close()
        else:
            close_in_order(self.sock)
        if why:
            self.reader.on_closed(self, why)  # it may look at unread data
        self.incoming.close()
        self.outgoing.close()

    def detach(self) -> tuple[socket.socket, bytes]:
        """Takes the connection out of the loop without closing; returns the socket and unread data."""
        unread = self.incoming.peek()
        self.loop.forget(self.sock, self._number)
        self.open = False
        self.incoming.close()
        self.outgoing.close()
        return self.sock, unread

    def _write_out(self) -> str:
        """Writes what the socket takes; returns why the connection must be closed, if it must."""
        try:
            while self.outgoing:
                self.outgoing.empty_into(self.sock)
        except BlockingIOError:
            pass
        except OSError:
            return "reset"
        return ""

    def _flush(self) -> str:
        if why := self._write_out():
            return why
        if self._writing != bool(self.outgoing):
            self._writing = bool(self.outgoing)
            self.loop.change(self.sock, self._number, READ | WRITE if self._writing else READ)
        return ""

    def ready(self, readable: bool, writable: bool) -> None:
        """Handles what the selector reports."""
        if self.connecting:
            if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.close("refused")
                return
            if not writable:
                return
            self.connecting = False
            self.reader.on_connected(self)
        if writable and self.open and (why := self._flush()):
            self.close(why)
        if readable and self.open:
            self._read()

    def _read(self) -> None:
        for _ in range(self.reads):
            try:
                received = self.incoming.fill(self.sock, self.step)
            except BlockingIOError:
                return
            except OSError:
                self.close("reset")
                return
            if received == 0:
                self.close("ended")
                return
            self.received += max(received, 0)
            if self.reader.on_data(self) or received < 0 or not self.open:
                return
