"""The state of one RPC, from its head to the end of its answer.

attempt.py has one attempt at a server, request_forwarding.py and answer_forwarding.py move the bodies.
request.py makes the decisions: the route, admission, retries and the final status.
"""

from __future__ import annotations

from .. import request
from ..net.loop import Deadline
from ..net.ring_buffer import RingBuffer
from .answer_forwarding import Answer, read_answer_head
from .attempt import Attempt, Phase
from .heads import RequestHead
from .plain_answers import plain_answer
from .request_forwarding import forward_request_body
from .servers import Upstream


class Rpc:
    """An RPC of a client, with one attempt at a time."""

    NOT_RUN_OUTCOMES = ("no_line", "pushed_back", "no_seat")
    REASONS = {503: "no server now", 502: "no answer from the server", 504: "the deadline has passed"}

    __slots__ = (
        "client",
        "head",
        "route",
        "pool",
        "slice",
        "table",
        "phase",
        "attempted_servers",
        "attempt",
        "deadline",
        "due_at",
        "body",
        "answer",
        "_head_bytes",
    )

    def __init__(self, client, head: RequestHead, route, pool, slice: int) -> None:
        self.client = client
        self.head = head
        self.route = route
        self.pool = pool
        self.slice = slice
        self.table = pool.tables[slice]
        self.body = head.body
        self.phase = Phase.CONNECTING
        self.attempted_servers = []
        self.attempt: Attempt | None = None
        self.answer: Answer | None = None
        self.due_at = pool.host.loop.clock.now() + route.rpc.deadline
        self.deadline: Deadline | None = None
        self._head_bytes = max(0, len(head.packed) - RingBuffer.FIRST_BLOCK)  # counted as those of rings are
        pool.host.memory.take_beyond_limit(self._head_bytes)

    @property
    def upstream(self) -> Upstream | None:
        """The server connection of the current attempt."""
        return self.attempt.upstream if self.attempt is not None else None

    def start(self) -> None:
        """Checks admission, starts the deadline and makes the first attempt."""
        pool = self.pool
        if not self.table.admits(self.route.rpc.name, pool.uniform):
            self.give_up("pushed_back")
            return
        self.deadline = pool.host.loop.call_at(self.due_at, self.on_deadline)
        self.start_attempt()

    def start_attempt(self) -> None:
        """Picks a server and sends the RPC on an idle or a new connection, or gives up."""
        server = self.table.pick(self.pool.uniform, self.attempted_servers)
        if server is None:
            self.give_up("no_line")
            return
        seating = self.pool.host.seating
        seat = None
        if seating is not None and self.route.rpc.name in seating.feature_by_rpc:
            seat = seating.allocate(self, server)
            if seat is None:
                self.give_up("no_seat")
                return
        self.phase = Phase.CONNECTING
        self.attempted_servers.append(server)
        self.attempt = Attempt(self, server, seat)
        self.attempt.connect()

    def connected(self) -> None:
        """Sends the head and the received part of the body on the connection of this attempt."""
        self.phase = Phase.SENT
        self.attempt.on_connected()
        forward_request_body(self, self.attempt.request_head())

    def attempt_failed(
        self, outcome: str, failed_attempt: Attempt | None = None, counts_as_failure: bool = True
    ) -> None:
        """Ends a failed attempt, then retries the RPC or gives up.

        Ignored if `failed_attempt` is given and is not the current one any more.
        """
        if self.phase is Phase.OVER or failed_attempt is not None and failed_attempt is not self.attempt:
            return
        self.end_attempt(failed=True if counts_as_failure else None)
        host = self.pool.host
        time_left = self.due_at - host.loop.clock.now()
        body_unsent = not self.body.total
        if request.should_retry(
            self.table, self.route.rpc.repeat, outcome, len(self.attempted_servers), body_unsent, time_left
        ):
            host.log.count("rpc_tried_again")
            self.start_attempt()
        else:
            self.give_up(outcome)

    def end_attempt(self, failed: bool | None, keep: bool = False) -> None:
        """Ends the current attempt, if there is one, as `Attempt.end` does."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.end(failed, keep)

    # ---- streams -----------------------------------------------------------------------------------

    def forward_request(self) -> None:
        """Forwards more of the request body, which has arrived or for which the server has made room."""
        if self.phase in (Phase.SENT, Phase.ANSWERING) and self.attempt is not None and not self.body.done:
            forward_request_body(self)

    def on_client_output_drained(self) -> None:
        """Forwards more of the answer body after the client has read some."""
        if self.phase is Phase.ANSWERING and self.attempt is not None:
            self.answer.forward()

    def on_answer_data(self) -> None:
        """Processes received data of the answer: its head, then its body."""
        if self.phase is Phase.ANSWERING:
            self.answer.forward()
            return
        head = read_answer_head(self)
        if head is None:
            return
        if refusal := self.attempt.seat_refusal(head):
            self.attempt_failed(refusal, counts_as_failure=False)
            return
        self.phase = Phase.ANSWERING
        if self.pool.load_header and (report := head.value(self.pool.load_header)):
            self.pool.on_load_report(self.attempt.server, report)
        # The connection is closed after an answer that only its end delimits, and after an incomplete
        # request, whose rest would be read as the next request.  HTTP/1.0 connections are never kept.
        self.client.close_after |= not self.body.done or not self.head.keep
        self.answer = Answer(self, head)
        self.answer.begin()
        if self.phase is Phase.ANSWERING and self.deadline is not None:
            self.deadline.cancel()  # the end of the answer has no deadline; the stream timeout limits it

    def complete(self) -> None:
        """Ends the RPC after its whole answer was forwarded."""
        head = self.answer.head
        keep = head.keep and self.body.done and self.attempt.is_connection_reusable()
        self.attempt.release_seat()
        self.end_attempt(failed=head.status >= 500, keep=keep)
        self.end(head.status)
        self.client.on_answer_finished()

    def upstream_closed(self, why: str) -> None:
        """Ends the attempt or the answer after the server's connection was closed."""
        if self.phase is Phase.ANSWERING:
            self.answer.on_server_closed(why)
        elif self.phase is Phase.CONNECTING:
            self.attempt_failed(request.UNSENT)
        elif self.attempt.was_closed_in_transit():
            self.attempt_failed(request.CLOSED_IN_TRANSIT)
        else:
            self.attempt_failed(request.SENT)

    # ---- the end -----------------------------------------------------------------------------------

    def on_deadline(self) -> None:
        """Gives up because the RPC's deadline has passed."""
        if self.phase is not Phase.OVER:
            self.end_attempt(failed=True)
            self.give_up(request.SENT)

    def give_up_unanswered(self) -> None:
        """Gives up because the process ends, unless the server's answer has begun."""
        if self.answer is None:
            outcome = request.UNSENT if self.phase is Phase.CONNECTING else request.SENT
            self.end_attempt(failed=None)
            self.give_up(outcome)

    def give_up(self, outcome: str) -> None:
        """Answers at once with the final status for the outcome of the last attempt."""
        host = self.pool.host
        status, retry_after = request.final_status(
            outcome, self.due_at - host.loop.clock.now(), self.pool.boot
        )
        host.log.count(f"rpc_{outcome}" if outcome in self.NOT_RUN_OUTCOMES else "rpc_aborted")
        self.finish_with(status, self.REASONS[status], retry_after)

    def refuse(self, status: int, why: str) -> None:
        """Answers with an error that is the client's own; the server is not counted as failed."""
        self.end_attempt(failed=None)
        self.pool.host.log.count(f"rpc_refused_{status}")
        self.finish_with(status, why, None)

    def finish_with(self, status: int, why: str, retry_after: int | None) -> None:
        """Sends an answer of the sidecar, or closes the client if part of an answer was already sent."""
        client = self.client
        self.end(status)
        if self.answer is not None:
            client.break_off_answer()
            return
        client.close_after |= not self.body.done or not self.head.keep
        client.send_answer(
            plain_answer(status, why, retry_after, client.close_after, self.head.method == "HEAD")
        )

    def reject_answer(self) -> None:
        """Ends an answer that is malformed: the client can still get another if nothing of it was sent."""
        if self.answer.is_begun:
            self.abort_answer()
        else:
            self.answer = None
            self.attempt_failed(request.SENT)

    def abort_answer(self) -> None:
        """Closes the client's connection because the answer failed after its head was sent."""
        self.end_attempt(failed=True)
        self.pool.host.log.count("rpc_cut_off")
        self.finish_with(502, "", None)

    def abandon(self) -> None:
        """Ends the RPC without an answer because the client has disconnected."""
        if self.phase is not Phase.OVER:
            self.end_attempt(failed=None)
            self.pool.host.log.count("rpc_abandoned")
            self.end(0)

    def end(self, status: int) -> None:
        """Marks the RPC as over and counts it; `status` is 0 if the client has disconnected."""
        self.phase = Phase.OVER
        self.pool.host.memory.give(self._head_bytes)
        self._head_bytes = 0
        if self.answer is not None:
            self.answer.close()
        self.pool.finish_rpc(self, status)
