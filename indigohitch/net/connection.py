"""A TCP connection with a ring buffer for each direction."""

from __future__ import annotations

import errno
import selectors
import socket
from typing import Protocol, Self

from .graceful_close import close_in_order, set_reset_on_close
from .loop import EventLoop
from .ring_buffer import BufferPool, RingBuffer

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
PORT_LIMIT = 1 << 16  # port numbers are below this


def parse_address(text: str) -> tuple[str, int]:
    """Parses `host:port` into an address for socket calls.

    Raises:
        ValueError: The text does not have that form.
    """
    host, colon, port = text.rpartition(":")
    # A host that cannot stand in a Host header is rejected here: else the first request to it would fail,
    # in the middle of a change to the new address.
    is_host = colon and host and host.isascii() and host.isprintable() and " " not in host
    if not is_host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < PORT_LIMIT:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


class Reader(Protocol):
    """Handles the events of a connection and owns its received data."""

    def on_connected(self, connection: Connection) -> None:
        """Called when an outbound connection is established."""

    def on_data(self, connection: Connection) -> bool | None:
        """Called when `incoming` has new data; returns True to stop reading in this turn."""

    def on_closed(self, connection: Connection, why: str) -> None:
        """Called when the connection failed or the peer closed it; `Connection` lists the values of `why`."""


class Connection:
    """Reads and writes a socket in the event loop.

    The reason `why` a connection closed: "refused" (never established), "reset", "ended" (closed by the peer
    in order), "flooded" (the data queued for writing exceeded its bound).
    """

    MAX_BUFFERED = 1 << 20  # bytes; neither side of the protocol sends or is due to receive more at once
    MAX_READS_PER_TURN = 16  # so that one busy peer does not starve the others

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        reader: Reader,
        max_unread: int = MAX_BUFFERED,
        pool: BufferPool | None = None,
    ) -> None:
        self.loop = loop
        self.sock = sock
        self.reader = reader
        self.incoming = RingBuffer(max_unread, pool or loop.pool)
        self.outgoing = RingBuffer(self.MAX_BUFFERED, pool or loop.pool)
        self.connecting = False
        self.open = True
        self.ends_with_reset = False
        self.received = 0  # bytes, in total
        self.reads_per_turn = self.MAX_READS_PER_TURN
        self.read_size = self.MAX_BUFFERED
        self._writing = False
        self._number = -1

    @classmethod
    def accepted(
        cls, loop: EventLoop, sock: socket.socket, reader: Reader, max_unread: int, pool: BufferPool
    ) -> Self:
        """Creates an inbound connection; a separate pool keeps peers from starving outbound connections."""
        connection = cls(loop, sock, reader, max_unread, pool)
        connection._number = loop.watch(sock, connection, READ)
        return connection

    @classmethod
    def dial(cls, loop: EventLoop, address: tuple[str, int], reader: Reader) -> Self:
        """Starts to connect to an address.

        Raises:
            OSError: The connect failed immediately.
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

    def limit_reads(self, reads_per_turn: int, read_size: int, low_priority: bool) -> None:
        """Limits the reads per turn and the bytes per read; `low_priority` sockets come last in a turn."""
        self.reads_per_turn = reads_per_turn
        self.read_size = read_size
        self.loop.set_low_priority(self._number, low_priority)

    def write(self, data: bytes) -> None:
        """Queues data; a failure closes the connection in a later turn, never within the reader's call."""
        if not self.open:
            return
        if not self.outgoing.push(data):
            self.loop.call_after(0, lambda: self.close("flooded"))
        elif not self.connecting and (why := self._flush()):
            self.loop.call_after(0, lambda: self.close(why))

    def close(self, why: str = "") -> None:
        """Closes immediately; the reader is notified if there is a reason."""
        if not self.open:
            return
        self.open = False
        self.loop.forget(self.sock, self._number)
        if why or self.ends_with_reset:  # it failed, or the peer closed it
            self.sock.close()
        else:
            close_in_order(self.sock)
        if why:
            self.reader.on_closed(self, why)  # may still read `incoming`
        self.incoming.close()
        self.outgoing.close()

    def set_ends_with_reset(self, on: bool) -> None:
        """Sets whether the connection ends with a reset, whoever ends it, also the death of this process."""
        self.ends_with_reset = on
        set_reset_on_close(self.sock, on)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Removes the connection from the loop without closing it; returns the socket and unread data."""
        unread = self.incoming.peek()
        self.loop.forget(self.sock, self._number)
        self.open = False
        self.incoming.close()
        self.outgoing.close()
        return self.sock, unread

    def _write_out(self) -> OSError | None:
        """Writes as much as the socket accepts; returns the error if the connection has failed."""
        try:
            while self.outgoing:
                self.outgoing.send_to(self.sock)
        except BlockingIOError:
            pass
        except OSError as error:
            return error
        return None

    def _flush(self) -> str:
        if self._write_out() is not None:
            return "reset"
        if self._writing != bool(self.outgoing):
            self._writing = bool(self.outgoing)
            self.loop.change(self.sock, self._number, READ | WRITE if self._writing else READ)
        return ""

    def ready(self, readable: bool, writable: bool) -> None:
        """Handles the events that the selector reported."""
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
        for _ in range(self.reads_per_turn):
            try:
                received = self.incoming.receive_from(self.sock, self.read_size)
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
