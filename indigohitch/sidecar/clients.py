"""A client's connection: heads out of its ring, one RPC at a time, in order."""

from __future__ import annotations

import fcntl
import socket
import sys
import termios

from ..net.clock import SECOND
from ..net.http_exchange import is_connection_open
from ..net.stream import Stream
from .framing import Body
from .heads import Refused, RequestHead, plain
from .keys import key_of, slice_of
from .rpc import Rpc


class Client:
    """`since` is when it was last heard of, for the sweep that ends who is too slow."""

    LINGER = 2 * SECOND  # to read the end of an answer before a reset could destroy it
    TARGET = 8192
    WAITING = Stream.MAX_BUFFERED // 2  # of earlier answers: the next one's head has to fit in beside them

    __slots__ = (
        "host",
        "stream",
        "rpc",
        "since",
        "close_after",
        "lingering",
        "_inside",
        "number",
        "marked",
        "serial",
    )

    def __init__(self, host) -> None:
        self.host, self.rpc, self.since = host, None, host.loop.clock.now()
        self.stream: Stream | None = None
        self.close_after = self.lingering = self._inside = False
        self.marked = 0  # bytes that waited in the ring at the last sweep
        self.number = self.serial = -1

    @property
    def idle(self) -> bool:
        """Nothing is out for it and nothing waits to be written: it can go to another process."""
        return (
            self.rpc is None
            and not self.lingering
            and not self.close_after
            and self.stream.open
            and not len(self.stream.outgoing)
        )

    def on_data(self, stream: Stream) -> None:
        if self.lingering:
            stream.incoming.take()
        elif self.rpc is not None:
            self.since = self.host.now
            self.rpc.client_more()
        else:
            if not self.marked:
                self.since = self.host.now
            self.next()

    def next(self) -> None:
        """The next RPCs that stand whole in the ring, until one has to wait."""
        if self._inside:
            return
        self._inside = True
        try:
            while self.rpc is None and self.stream.open and not self.lingering and self._begin():
                pass
        finally:
            self._inside = False

    def _begin(self) -> bool:
        ring, host = self.stream.incoming, self.host
        if not len(ring) or host.holding or len(self.stream.outgoing) > self.WAITING:
            return False
        end = ring.find_end(b"\r\n\r\n")
        most = host.text.limits["head"]
        if not end and len(ring) <= most and not ring.full:
            while ring.peek(2) == b"\r\n":  # a blank line before a request is read over (RFC 9112, 2.2)
                ring.skip(2)
            return False
        if not end or end > most:
            self.refuse(431, "the head is too long")
            return False
        data = ring.take(end)
        self.marked = 0
        self.stream.resume_reading()
        try:
            head = RequestHead(data.lstrip(b"\r\n"))
        except Refused as bad:
            host.log.count(f"rpc_refused_{bad.status}")
            self.refuse(bad.status, str(bad))
            return False
        if len(head.target) > self.TARGET:
            self.refuse(414, "the target is too long")
            return False
        target = head.target.decode("latin-1")
        path = target.partition("?")[0]
        route = host.text.routes.find(head.method, path)
        if isinstance(route, int):
            host.log.count(f"rpc_refused_{route}")
            host.note(self, head, host.now, "", route, 0)
            self.close_after |= not head.body.done or not head.keep
            self.stream.write(plain(route, "no such route", None, self.close_after, head.method == "HEAD"))
            self.finished()
            return True
        if head.body.kind == Body.LENGTH and head.body.left > host.text.limits["body"]:
            host.log.count("rpc_refused_413")
            host.note(self, head, host.now, route.rpc.name, 413, 0)
            self.refuse(413, "the body is too large")
            return False
        pool = host.pools[route.pool.name]
        key = key_of(route, target, path, head.values)
        # Without a key any slice will do; in turn, so that all get their share.
        number = pool.turn() if key is None else slice_of(key, pool.slices)
        self.since = host.now
        self.rpc = rpc = Rpc(self, head, route, pool, number)
        pool.came(number, route.rpc.name)
        rpc.start()
        return True

    def refuse(self, status: int, why: str) -> None:
        self.close_after = True
        self.stream.write(plain(status, why, None, True))
        self.finished()

    def finished(self) -> None:
        """The answer has all been written, or waits in the ring."""
        self.rpc, self.since = None, self.host.now
        if self.close_after:
            if not len(self.stream.outgoing):
                self.linger()
        elif not self._inside:
            if self.host.passing and self.idle:
                self.host.pass_on(self)
            elif len(self.stream.incoming):
                self.next()

    def linger(self) -> None:
        """Our side is closed; what still comes is thrown away for a while, then the rest."""
        if self.lingering or not self.stream.open:
            return
        self.lingering, self.since = True, self.host.now
        self.stream.incoming.take()
        try:
            self.stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.stream.close("reset")
            return
        self.stream.resume_reading()

    def part(self) -> None:
        """The process ends and nothing is out for this one.  Closed over bytes unread, or met by more while
        an answer still is on its way, the connection would be reset, and the answer lost."""
        if not self.close_after and not is_connection_open(self.stream.sock):
            self.close_after = True  # the next turn reads it: what stands whole there is the last
        elif self.close_after or len(self.stream.incoming) or self.unsent():
            self.linger()
        else:
            self.stream.close()
            self.gone()

    def unsent(self) -> int:
        """Bytes that the system holds for the client."""
        return int.from_bytes(fcntl.ioctl(self.stream.sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)

    def on_output_drained(self, stream: Stream) -> None:
        self.since = self.host.now
        if self.rpc is not None:
            self.rpc.client_drained()
        elif self.close_after:
            self.linger()
        elif self.host.passing and self.idle:
            self.host.pass_on(self)
        else:
            self.next()

    def on_closed(self, stream: Stream, why: str) -> None:
        self.gone()

    def gone(self) -> None:
        rpc, self.rpc = self.rpc, None
        if rpc is not None:
            rpc.abandon()
        self.host.forget(self)

    def overdue(self, now: int) -> bool:
        """Too slow: with its head, with its body or in reading, or idle for long.  An RPC that waits for its
        server has a deadline of its own."""
        waits, quiet = self.host.text.waits, now - self.since
        if self.lingering:
            return quiet > self.LINGER
        if self.rpc is None:
            if len(self.stream.outgoing):
                return quiet > waits["stream"]
            self.marked = len(self.stream.incoming)  # from here on its time runs, whatever trickles in
            return quiet > waits["head" if self.marked else "idle"]
        return quiet > waits["stream"] and (not self.rpc.body.done or self.rpc.answer is not None)
