"""One attempt of an RPC at one server: its connection, its seat and its result."""

from __future__ import annotations

import enum

from .. import request
from ..net.clock import SECOND
from ..net.loop import Deadline
from ..net.stream import Stream
from .heads import AnswerHead
from .servers import Server, Upstream


class Phase(enum.Enum):
    """The progress of an RPC's current attempt."""

    CONNECTING = "connecting"
    SENT = "sent"  # the head was sent, the head of the answer has not been received
    ANSWERING = "answering"
    OVER = "over"


class Attempt:
    """An attempt of an RPC, from the choice of its server to its result in the server's counts."""

    CLOSE_IN_TRANSIT_TIME = SECOND // 20  # a close that overlaps with our send arrives within this time

    __slots__ = (
        "rpc",
        "server",
        "seat",
        "upstream",
        "started_at",
        "connect_timeout",
        "is_sent",
        "last_chunk_sent",
    )

    def __init__(self, rpc, server: Server, seat) -> None:
        """`seat` is the seat of this attempt, None if it needs none."""
        self.rpc = rpc
        self.server = server
        self.seat = seat
        self.upstream: Upstream | None = None
        self.started_at = rpc.pool.host.loop.clock.now()
        self.connect_timeout: Deadline | None = None
        self.is_sent = False  # whether the head may have reached the server
        self.last_chunk_sent = False
        server.held += 1

    def connect(self) -> None:
        """Uses an idle connection or dials a new one; the RPC is told when it is connected."""
        idle = self.server.take_idle_connection()
        if idle is not None:
            idle.rpc = self.rpc
            self.upstream = idle
            self.rpc.connected()
            return
        host = self.rpc.pool.host
        self.upstream = Upstream(self.server, self.rpc)
        try:
            self.upstream.stream = Stream.dial(host.loop, self.server.address, self.upstream)
        except OSError as failed:
            host.log.warning("dial_failed", why=failed.strerror)
            host.loop.call_after(0, self.on_connect_failed)
            return
        self.connect_timeout = host.loop.call_after(host.text.waits["connect"], self.on_connect_failed)

    def on_connect_failed(self) -> None:
        """Fails the attempt, of which nothing was sent."""
        self.rpc.attempt_failed(request.UNSENT, self)

    def on_connected(self) -> None:
        """Marks the attempt as sent; called just before its head is written."""
        self.cancel_connect_timeout()
        self.is_sent = True

    def cancel_connect_timeout(self) -> None:
        """Cancels the time limit of the connect."""
        if self.connect_timeout is not None:
            self.connect_timeout.cancel()
            self.connect_timeout = None

    def request_head(self) -> bytes:
        """Returns the head for the server, with the seat of this attempt."""
        seating = self.rpc.pool.host.seating
        head = self.rpc.head
        if seating is None:
            return head.forwarded_head()
        seat_header = seating.seat_header(self.seat, self.server) if self.seat is not None else b""
        return head.forwarded_head(seat_header, seating.SEAT_HEADERS)

    def seat_refusal(self, head: AnswerHead) -> str:
        """Returns the outcome if the server refused the seat of this attempt, else an empty string."""
        seating = self.rpc.pool.host.seating
        if seating is None:
            return ""
        seating.record_clock(self.server, head)
        return seating.refusal_outcome(self.seat, head) if self.seat is not None else ""

    def is_connection_reusable(self) -> bool:
        """Returns whether the connection is open and nothing is left to be sent or read."""
        stream = self.upstream.stream
        return (
            stream.open
            and not stream.is_output_lost
            and not len(stream.incoming)
            and not len(stream.outgoing)
        )

    def was_closed_in_transit(self) -> bool:
        """Returns whether the server closed a reused connection while the RPC was being sent."""
        elapsed = self.rpc.pool.host.loop.clock.now() - self.started_at
        return (
            self.upstream.has_served_rpc
            and elapsed <= self.CLOSE_IN_TRANSIT_TIME
            and not len(self.upstream.stream.incoming)
        )

    def release_seat(self) -> None:
        """Releases the seat, after the job has ended or if nothing of it was sent."""
        if self.seat is not None:
            self.rpc.pool.host.seating.release(self.seat)
            self.seat = None

    def end(self, failed: bool | None, keep: bool = False) -> None:
        """Counts the result and closes the connection, or keeps it for the next RPC.

        `failed` is None if the result says nothing about the server.
        """
        self.cancel_connect_timeout()
        if not self.is_sent:
            self.release_seat()  # an RPC that may still run keeps its seat until the seat expires
        self.server.held -= 1
        if failed is not None:
            self.count_result(failed)
        upstream = self.upstream
        if upstream is None or upstream.stream is None:
            return
        upstream.rpc = None
        if keep:
            upstream.has_served_rpc = True
            self.server.keep_connection(upstream)
        else:
            upstream.stream.close()

    def count_result(self, failed: bool) -> None:
        """Adds the result to the server's traffic since the last report."""
        server = self.server
        server.attempts += 1
        if failed:
            server.failures += 1
        else:
            server.successes += 1
            server.success_time += self.rpc.pool.host.loop.clock.now() - self.started_at
