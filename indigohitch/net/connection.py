"""A TCP connection with one ring buffer a direction."""

from __future__ import annotations

import errno
import selectors
import socket
from typing import Protocol

from .graceful_close import close_in_order
from .loop import EventLoop
from .ring_buffer import BufferPool, RingBuffer

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE


def parse_address(text: str) -> tuple[str, int]:
    """`host:port` as the socket calls want it; ValueError if it is not that."""
    host, colon, port = text.rpartition(":")
    # A host that no request can name would be found out by the first one, half way through a move to it.
    named = colon and host and host.isascii() and host.isprintable() and " " not in host
    if not named or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
        raise ValueError(f"not host:port: {text!r}")
    return host, int(port)


class Reader(Protocol):
    """Who owns what a connection brings."""

    def on_connected(self, connection: Connection) -> None: ...
    def on_data(self, connection: Connection) -> bool | None: ...  # True: no more of it this turn
    def on_closed(self, connection: Connection, why: str) -> None: ...


class Connection:
    """`why` a connection closed: "refused" (never came up), "reset", "ended" (by the peer, in order),
    "flooded" (what waits to be written outgrew its bound)."""

    BOUND = 1 << 20  # no side of the protocol sends or is owed more at once
    READS = 16  # reads a turn: one busy peer must not starve the others

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        reader: Reader,
        most: int = BOUND,
        pool: BufferPool | None = None,
    ) -> None:
        self.loop, self.sock, self.reader = loop, sock, reader
        self.incoming = RingBuffer(most, pool or loop.pool)
        self.outgoing = RingBuffer(self.BOUND, pool or loop.pool)
        self.connecting, self.open = False, True
        self.received = 0  # bytes read since it began
        self.reads, self.step = self.READS, self.BOUND
        self._writing = False
        self._number = -1

    @classmethod
    def accepted(
        cls, loop: EventLoop, sock: socket.socket, reader: Reader, most: int, pool: BufferPool
    ) -> Connection:
        """One that came to us; its rings have a pool of their own, or callers could starve what we call."""
        connection = cls(loop, sock, reader, most, pool)
        connection._number = loop.watch(sock, connection, READ)
        return connection

    @classmethod
    def dial(cls, loop: EventLoop, to: tuple[str, int], reader: Reader) -> Connection:
        """Begin to connect; raises OSError where not even that can be done."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(to)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, "connect")
            connection = cls(loop, sock, reader)
            connection.connecting = connection._writing = True
            connection._number = loop.watch(sock, connection, READ | WRITE)
        except BaseException:
            sock.close()
            raise
        return connection

    def pace(self, reads: int, step: int, crowd: bool) -> None:
        """What it may bring a turn: so many reads of `step` bytes; as one of the crowd, only in its turn."""
        self.reads, self.step = reads, step
        self.loop.crowd(self._number, crowd)

    def write(self, data: bytes) -> None:
        """What goes wrong here is told in a turn of its own: never while the reader is writing."""
        if not self.open:
            return
        if not self.outgoing.push(data):
            self.loop.call_after(0, lambda: self.close("flooded"))
        elif not self.connecting and (why := self._flush()):
            self.loop.call_after(0, lambda: self.close(why))

    def close(self, why: str = "") -> None:
        """Close at once; with a reason, the reader is told."""
        if not self.open:
            return
        self.open = False
        self.loop.forget(self.sock, self._number)
        if why:  # it is broken, or its peer has ended it
            self.sock.close()
        else:
            close_in_order(self.sock)
        if why:
            self.reader.on_closed(self, why)  # it may look at what was left unread
        self.incoming.close()
        self.outgoing.close()

    def detach(self) -> tuple[socket.socket, bytes]:
        """Out of the loop, without closing: the socket, and what it brought that nobody took."""
        rest = self.incoming.peek()
        self.loop.forget(self.sock, self._number)
        self.open = False
        self.incoming.close()
        self.outgoing.close()
        return self.sock, rest

    def _write_out(self) -> str:
        """Write what the socket takes; returns what is wrong with it, if anything."""
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
                got = self.incoming.fill(self.sock, self.step)
            except BlockingIOError:
                return
            except OSError:
                self.close("reset")
                return
            if got == 0:
                self.close("ended")
                return
            self.received += max(got, 0)
            if self.reader.on_data(self) or got < 0 or not self.open:
                return
