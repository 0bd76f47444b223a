"""The state of one RPC, from its head to the end of its answer, with its attempts.

passing.py moves the request and answer streams. request.py makes the decisions: the route, admission,
retries and the final status.
"""

from __future__ import annotations

import enum

from .. import request
from ..net.clock import SECOND
from ..net.loop import Deadline
from ..net.stream import Stream
from . import passing
from .framing import Body
from .heads import AnswerHead, RequestHead, plain_answer
from .servers import Server, Upstream


class Phase(enum.Enum):
    """The progress of an RPC's current attempt."""

    CONNECTING = "connecting"
    SENT = "sent"  # the head was sent, the head of the answer has not been received
    ANSWERING = "answering"
    OVER = "over"


class Rpc:
    """An RPC of a client, with one attempt at a time."""

    NOT_RUN_OUTCOMES = ("no_line", "pushed_back", "no_seat")
    CLOSE_IN_TRANSIT_TIME = SECOND // 20  # a close that overlaps with our send arrives within this time

    __slots__ = (
        "client",
        "head",
        "route",
        "pool",
        "slice",
        "table",
        "phase",
        "attempted_servers",
        "upstream",
        "server",
        "attempt_started_at",
        "deadline",
        "due_at",
        "body",
        "last_chunk_sent",
        "answer",
        "answer_in_chunks",
        "connect_timeout",
        "seat",
    )

    def __init__(self, client, head: RequestHead, route, pool, slice: int) -> None:
        self.client, self.head, self.route, self.pool, self.slice = client, head, route, pool, slice
        self.table, self.body = pool.tables[slice], head.body
        self.phase, self.attempted_servers = Phase.CONNECTING, []
        self.upstream: Upstream | None = None
        self.server: Server | None = None
        self.answer: AnswerHead | None = None
        self.last_chunk_sent = self.answer_in_chunks = False
        self.attempt_started_at = pool.host.loop.clock.now()
        self.due_at = self.attempt_started_at + route.rpc.deadline
        self.deadline: Deadline | None = None
        self.connect_timeout: Deadline | None = None
        self.seat = None  # seat of the current attempt, if it needs one

    # ---- attempts ----------------------------------------------------------------------------------

    def start(self) -> None:
        """Checks admission, starts the deadline and makes the first attempt."""
        pool = self.pool
        if not self.table.admits(self.route.rpc.name, pool.uniform):
            self.give_up("pushed_back")
            return
        self.deadline = pool.host.loop.call_at(self.due_at, self.on_deadline)
        self.attempt()

    def attempt(self) -> None:
        """Picks a server and sends the RPC on an idle or a new connection, or gives up."""
        server = self.table.pick(self.pool.uniform, self.attempted_servers)
        if server is None:
            self.give_up("no_line")
            return
        host = self.pool.host
        if host.seating is not None and self.route.rpc.name in host.seating.feature_by_rpc:
            self.seat = host.seating.allocate(self, server)
            if self.seat is None:
                self.give_up("no_seat")
                return
        self.server, self.phase = server, Phase.CONNECTING
        self.attempted_servers.append(server)
        server.held += 1
        self.attempt_started_at = host.loop.clock.now()
        upstream = server.take_idle_connection()
        if upstream is not None:
            upstream.rpc, self.upstream = self, upstream
            self.connected()
            return
        self.upstream = upstream = Upstream(server, self)
        try:
            upstream.stream = Stream.dial(host.loop, server.address, upstream)
        except OSError as failed:
            host.log.warning("dial_failed", why=failed.strerror)
            host.loop.call_after(0, lambda: self.attempt_failed(request.UNSENT, upstream))
            return
        self.connect_timeout = host.loop.call_after(
            host.text.waits["connect"], lambda: self.attempt_failed(request.UNSENT, upstream)
        )

    def connected(self) -> None:
        """Sends the head and the received part of the body on the connection of this attempt."""
        if self.connect_timeout is not None:
            self.connect_timeout.cancel()
            self.connect_timeout = None
        self.phase, seating, self.last_chunk_sent = Phase.SENT, self.pool.host.seating, False
        head = (
            self.head.forwarded_head()
            if seating is None
            else self.head.forwarded_head(
                seating.seat_header(self.seat, self.server) if self.seat is not None else b"",
                seating.SEAT_HEADERS,
            )
        )
        passing.forward_request_body(self, head)

    def attempt_failed(
        self, outcome: str, failed_upstream: Upstream | None = None, counts_as_failure: bool = True
    ) -> None:
        """Ends a failed attempt, then retries the RPC or gives up.

        Ignored if `failed_upstream` is given and no longer belongs to this RPC.
        """
        if self.phase is Phase.OVER or failed_upstream is not None and failed_upstream is not self.upstream:
            return
        self.release_server(failed=True if counts_as_failure else None)
        host = self.pool.host
        time_left = self.due_at - host.loop.clock.now()
        body_unsent = not self.body.total
        if request.should_retry(
            self.table, self.route.rpc.repeat, outcome, len(self.attempted_servers), body_unsent, time_left
        ):
            host.log.count("rpc_tried_again")
            self.attempt()
        else:
            self.give_up(outcome)

    def release_server(self, failed: bool | None, keep: bool = False) -> None:
        """Ends the attempt and counts its result; `failed` is None if it says nothing about the server."""
        upstream, self.upstream = self.upstream, None
        server, self.server = self.server, None
        if self.connect_timeout is not None:
            self.connect_timeout.cancel()
            self.connect_timeout = None
        if self.phase is Phase.CONNECTING:
            self.release_seat()
        self.seat = None  # an RPC that may still run keeps its seat until the seat expires
        if server is None:
            return
        server.held -= 1
        if failed is not None:
            server.attempts += 1
            if failed:
                server.failures += 1
            else:
                server.successes += 1
                server.success_time += self.pool.host.loop.clock.now() - self.attempt_started_at
        if upstream is not None and upstream.stream is not None:
            upstream.rpc = None
            if keep:
                upstream.has_served_rpc = True
                server.keep_connection(upstream)
            else:
                upstream.stream.close()

    def release_seat(self) -> None:
        """Releases the seat, after the job has ended or if nothing of it was sent."""
        if self.seat is not None:
            self.pool.host.seating.release(self.seat)
            self.seat = None

    # ---- streams -----------------------------------------------------------------------------------

    def on_client_data(self) -> None:
        """Forwards more of the request body."""
        if self.phase in (Phase.SENT, Phase.ANSWERING) and self.upstream is not None and not self.body.done:
            passing.forward_request_body(self)

    def on_upstream_output_drained(self) -> None:
        """Forwards more of the request body after the server has read some."""
        self.on_client_data()

    def on_client_output_drained(self) -> None:
        """Forwards more of the answer body after the client has read some."""
        if self.phase is Phase.ANSWERING and self.upstream is not None:
            passing.forward_answer_body(self)

    def on_answer_data(self) -> None:
        """Processes received data of the answer: its head, then its body."""
        if self.phase is Phase.ANSWERING:
            passing.forward_answer_body(self)
            return
        head, seating = passing.read_answer_head(self), self.pool.host.seating
        if head is None:
            return
        if seating is not None:
            seating.record_clock(self.server, head)
            if self.seat is not None and (outcome := seating.refusal_outcome(self.seat, head)):
                self.answer = None
                self.attempt_failed(outcome, counts_as_failure=False)
                return
        if self.deadline is not None:
            self.deadline.cancel()  # the end of the answer has no deadline; the stream timeout limits it
        self.phase = Phase.ANSWERING
        if self.pool.load_header and (report := head.value(self.pool.load_header)):
            self.pool.on_load_report(self.server, report)
        self.answer_in_chunks = head.body.kind in (Body.CHUNKED, Body.TO_END) and self.head.version == "1.1"
        # The connection is closed after an answer that only its end delimits, and after an incomplete
        # request, whose rest would be read as the next request.  HTTP/1.0 connections are never kept.
        self.client.close_after |= not self.body.done or not self.head.keep
        passing.forward_answer_body(self, head.forwarded_head(self.answer_in_chunks, self.client.close_after))

    def complete(self) -> None:
        """Ends the RPC after its whole answer was forwarded."""
        head, stream = self.answer, self.upstream.stream
        self.phase = Phase.OVER
        keep = (
            head.keep
            and self.body.done
            and stream.open
            and not len(stream.incoming)
            and not len(stream.outgoing)
        )
        self.release_seat()
        self.release_server(failed=head.status >= 500, keep=keep)
        self.pool.finish_rpc(self, head.status)
        self.client.on_answer_finished()

    def upstream_closed(self, why: str) -> None:
        """Ends the attempt or the answer after the server's connection was closed."""
        upstream = self.upstream
        if self.phase is Phase.ANSWERING:
            if why == "ended":
                passing.finish_answer_at_close(self)
            else:
                self.abort_answer()
        elif self.phase is Phase.CONNECTING:
            self.attempt_failed(request.UNSENT)
        else:
            recently_sent = (
                self.pool.host.loop.clock.now() - self.attempt_started_at <= self.CLOSE_IN_TRANSIT_TIME
            )
            closed_in_transit = (
                upstream.has_served_rpc and recently_sent and not len(upstream.stream.incoming)
            )
            self.attempt_failed(request.CLOSED_IN_TRANSIT if closed_in_transit else request.SENT)

    # ---- the end -----------------------------------------------------------------------------------

    def on_deadline(self) -> None:
        """Gives up because the RPC's deadline has passed."""
        if self.phase is not Phase.OVER:
            self.release_server(failed=True)
            self.give_up(request.SENT)

    def give_up(self, outcome: str) -> None:
        """Answers at once with the final status for the outcome of the last attempt."""
        host = self.pool.host
        status, retry_after = request.final_status(
            outcome, self.due_at - host.loop.clock.now(), self.pool.boot
        )
        host.log.count(f"rpc_{outcome}" if outcome in self.NOT_RUN_OUTCOMES else "rpc_aborted")
        self.finish_with(
            status,
            {503: "no server now", 502: "no answer from the server", 504: "the deadline has passed"}[status],
            retry_after,
        )

    def refuse(self, status: int, why: str) -> None:
        """Answers with an error that is the client's own; the server is not counted as failed."""
        self.release_server(failed=None)
        self.pool.host.log.count(f"rpc_refused_{status}")
        self.finish_with(status, why, None)

    def finish_with(self, status: int, why: str, retry_after: int | None) -> None:
        """Sends an answer of the sidecar, or closes the client if part of an answer was already sent."""
        client, self.phase = self.client, Phase.OVER
        if self.deadline is not None:
            self.deadline.cancel()
        self.pool.finish_rpc(self, status)
        if self.answer is not None:
            client.stream.close()  # part of an answer was sent: only a close can signal the failure
            client.discard()
            return
        client.close_after |= not self.body.done or not self.head.keep
        client.stream.write(
            plain_answer(status, why, retry_after, client.close_after, self.head.method == "HEAD")
        )
        client.on_answer_finished()

    def abort_answer(self) -> None:
        """Closes the client's connection because the answer failed after its head was sent."""
        self.release_server(failed=True)
        self.pool.host.log.count("rpc_cut_off")
        self.finish_with(502, "", None)

    def abandon(self) -> None:
        """Ends the RPC without an answer because the client has disconnected."""
        if self.phase is not Phase.OVER:
            if self.deadline is not None:
                self.deadline.cancel()
            self.release_server(failed=None)
            self.phase = Phase.OVER
            self.pool.host.log.count("rpc_abandoned")
            self.pool.finish_rpc(self, 0)
