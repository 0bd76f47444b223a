"""Client connections: parse requests from the receive ring and run one RPC at a time, in order."""

from __future__ import annotations

import socket

from ..net.clock import SECOND
from ..net.http_exchange import is_connection_open
from ..net.stream import Stream
from .delivery import Delivery, unacknowledged_byte_count
from .plain_answers import plain_answer
from .request_reading import read_request_head
from .request_start import start_request
from .rpc import Rpc


class Client:
    """A client connection and its current RPC.

    `last_activity` is when the client last made progress; `is_overdue` uses it to find slow clients.
    """

    LINGER_TIME = 2 * SECOND  # lets the client read the end of its answer before a reset could discard it
    # Room beside the unsent bytes of earlier answers, for the head of the next one.
    MIN_HEAD_ROOM_BYTES = Stream.MAX_BUFFERED // 2

    __slots__ = (
        "host",
        "stream",
        "rpc",
        "last_activity",
        "close_after",
        "lingering",
        "_is_processing",
        "number",
        "bytes_at_last_sweep",
        "serial",
        "delivery",
        "is_broken_off",
    )

    def __init__(self, host) -> None:
        self.host = host
        self.rpc: Rpc | None = None
        self.last_activity = host.loop.clock.now()
        self.stream: Stream | None = None
        self.close_after = False
        self.lingering = False
        self._is_processing = False
        self.is_broken_off = False  # whether the last answer is incomplete
        self.bytes_at_last_sweep = 0  # unprocessed bytes in the ring
        self.number = -1
        self.serial = -1
        self.delivery = Delivery(self)

    @property
    def is_idle(self) -> bool:
        """Whether no RPC is in flight and no output is queued.

        An idle connection can be passed to another process.
        """
        return (
            self.rpc is None
            and not self.lingering
            and not self.close_after
            and self.stream.open
            and not len(self.stream.outgoing)
        )

    def on_data(self, stream: Stream) -> None:
        """Forwards body data of the current RPC, or starts the next one. Discards data while lingering."""
        if self.lingering:
            stream.incoming.take()
        elif self.rpc is not None:
            self.last_activity = self.host.now
            self.rpc.forward_request()
        else:
            if not self.bytes_at_last_sweep:
                self.last_activity = self.host.now
            self.process_requests()

    def process_requests(self) -> None:
        """Starts the complete requests in the ring, until one has to wait for its answer."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self.rpc is None and self.stream.open and not self.lingering and self._begin():
                pass
        finally:
            self._is_processing = False

    def may_begin_request(self) -> bool:
        """Returns whether the next request may be read: there is one, and room for the head of its answer."""
        if not len(self.stream.incoming) or self.host.is_holding_requests:
            return False
        return not len(self.stream.outgoing) or self.stream.free_capacity() >= self.MIN_HEAD_ROOM_BYTES

    def _begin(self) -> bool:
        """Starts one RPC from the ring; returns whether the next request can be tried at once."""
        if not self.may_begin_request():
            return False
        head = read_request_head(self)
        return head is not None and start_request(self, head)

    def refuse(self, status: int, why: str) -> None:
        """Answers with `status` and closes the connection after the answer."""
        self.close_after = True
        self.send_answer(plain_answer(status, why, None, True))

    def send_answer(self, answer: bytes) -> None:
        """Sends an answer of the sidecar itself, also beyond the memory limit, and ends the current RPC."""
        self.stream.write(answer, beyond_limits=True)
        self.on_answer_finished()

    def on_answer_finished(self) -> None:
        """Ends the current RPC; its answer has been written or queued in full.

        Then closes the connection, passes it to another process or processes the next request.
        """
        self.rpc = None
        self.last_activity = self.host.now
        if self.close_after:
            if not len(self.stream.outgoing):
                self.linger()
        elif not self._is_processing:
            if self.host.is_passing_connections and self.is_idle:
                self.host.pass_on(self)
            elif len(self.stream.incoming):
                self.process_requests()

    def break_off_answer(self) -> None:
        """Ends the connection so that the client can tell that its answer is incomplete.

        What was written before is delivered first, of this answer and of earlier ones.
        """
        self.close_after = True
        self.is_broken_off = True
        self.on_answer_finished()

    def reset_when_delivered(self) -> None:
        """Resets the connection once the client has received what was written."""
        if self.stream.open and not self.delivery.is_complete():
            self.delivery.call_later(self.reset_when_delivered)
        else:
            self.close_at_once()

    def answer_and_close(self) -> None:
        """Closes the connection because the process ends; an RPC without an answer gets its final one."""
        self.close_after = True
        if self.rpc is not None:
            self.rpc.give_up_unanswered()
        self.close_at_once()

    def close_at_once(self) -> None:
        """Closes the connection; what is queued is lost, and an RPC in flight is abandoned."""
        self.stream.close()
        self.discard()

    def linger(self) -> None:
        """Closes the sending side and discards received data for LINGER_TIME, then closes the connection."""
        if self.lingering or not self.stream.open:
            return
        self.lingering = True
        self.last_activity = self.host.now
        self.stream.incoming.take()
        if self.stream.ends_with_reset and self.is_broken_off:
            self.reset_when_delivered()
            return
        if self.stream.ends_with_reset:
            self.stream.set_ends_with_reset(False)  # all of the answer was written
        try:
            self.stream.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.stream.close("reset")
            return
        self.stream.resume_reading()

    def close_gracefully(self) -> None:
        """Closes the connection of an idle client while the process ends.

        If it were closed with unread bytes, or if more arrived while an answer is still being delivered,
        the connection would be reset and the answer lost.
        """
        if not self.close_after and not is_connection_open(self.stream.sock):
            self.close_after = True  # the next turn reads the data; a complete request in it is the last one
        elif self.close_after or len(self.stream.incoming) or unacknowledged_byte_count(self.stream.sock):
            self.linger()
        else:
            self.close_at_once()

    def on_output_drained(self, stream: Stream) -> None:
        """Continues the current RPC, or what waited for the output to be written."""
        self.last_activity = self.host.now
        if self.rpc is not None:
            self.rpc.on_client_output_drained()
        elif self.close_after:
            self.linger()
        elif self.host.is_passing_connections and self.is_idle:
            self.host.pass_on(self)
        else:
            self.process_requests()

    def on_closed(self, stream: Stream, why: str) -> None:
        """Abandons the current RPC: the connection was closed by the client or by an error."""
        self.discard()

    def discard(self) -> None:
        """Abandons the current RPC and removes the client from its host."""
        rpc = self.rpc
        self.rpc = None
        if rpc is not None:
            rpc.abandon()
        self.host.forget(self)

    def is_overdue(self, now: int) -> bool:
        """Whether the client is too slow in sending or reading, or was idle for too long.

        An RPC that waits for its server is not counted: it has a deadline of its own.
        """
        waits = self.host.text.waits
        if self.lingering:
            self.delivery.note_progress()
            return now - self.last_activity > self.LINGER_TIME
        quiet = now - self.last_activity
        if self.rpc is None:
            if len(self.stream.outgoing):
                return quiet > waits["stream"]
            # Once a partial head is present, bytes that trickle in no longer extend the client's time.
            self.bytes_at_last_sweep = len(self.stream.incoming)
            return quiet > waits["head" if self.bytes_at_last_sweep else "idle"]
        return quiet > waits["stream"] and (not self.rpc.body.done or self.rpc.answer is not None)
