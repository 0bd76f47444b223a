"""One RPC from its head to the end of its answer: its tries and its end; passing.py moves both streams.  What
is decided on it (the line, in or pushed back, another try, the final answer) is decided in request.py."""

from __future__ import annotations

import enum

from .. import request
from ..net.clock import SECOND
from ..net.loop import Deadline
from ..net.stream import Stream
from . import passing
from .framing import Body
from .heads import AnswerHead, RequestHead, plain
from .servers import Server, Upstream


class Phase(enum.Enum):
    CONNECTING = "connecting"
    SENT = "sent"  # its head is out, the answer's has not come
    ANSWERING = "answering"
    OVER = "over"


class Rpc:
    UNRUN = ("no_line", "pushed_back", "no_seat")
    CROSSED = SECOND // 20  # a close that crosses what we wrote is here by then

    __slots__ = (
        "client",
        "head",
        "route",
        "pool",
        "slice",
        "table",
        "phase",
        "tried",
        "upstream",
        "server",
        "began",
        "deadline",
        "due",
        "body",
        "last_chunk",
        "answer",
        "chunks",
        "connect_by",
        "seat",
    )

    def __init__(self, client, head: RequestHead, route, pool, slice: int) -> None:
        self.client, self.head, self.route, self.pool, self.slice = client, head, route, pool, slice
        self.table, self.body = pool.tables[slice], head.body
        self.phase, self.tried = Phase.CONNECTING, []
        self.upstream: Upstream | None = None
        self.server: Server | None = None
        self.answer: AnswerHead | None = None
        self.last_chunk = self.chunks = False
        self.began = pool.host.loop.clock.now()
        self.due = self.began + route.rpc.deadline
        self.deadline: Deadline | None = None
        self.connect_by: Deadline | None = None
        self.seat = None  # of this try, where it needs one

    # ---- tries -------------------------------------------------------------------------------------

    def start(self) -> None:
        pool = self.pool
        if not self.table.admits(self.route.rpc.name, pool.uniform):
            self.give_up("pushed_back")
            return
        self.deadline = pool.host.loop.call_at(self.due, self.too_late)
        self.attempt()

    def attempt(self) -> None:
        server = self.table.pick(self.pool.uniform, self.tried)
        if server is None:
            self.give_up("no_line")
            return
        host = self.pool.host
        if host.seating is not None and self.route.rpc.name in host.seating.needed:
            self.seat = host.seating.take(self, server)
            if self.seat is None:
                self.give_up("no_seat")
                return
        self.server, self.phase = server, Phase.CONNECTING
        self.tried.append(server)
        server.held += 1
        self.began = host.loop.clock.now()
        upstream = server.spare()
        if upstream is not None:
            upstream.rpc, self.upstream = self, upstream
            self.connected()
            return
        self.upstream = upstream = Upstream(server, self)
        try:
            upstream.stream = Stream.dial(host.loop, server.address, upstream)
        except OSError as failed:
            host.log.warning("dial_failed", why=failed.strerror)
            host.loop.call_after(0, lambda: self.try_failed(request.UNSENT, upstream))
            return
        self.connect_by = host.loop.call_after(
            host.text.waits["connect"], lambda: self.try_failed(request.UNSENT, upstream)
        )

    def connected(self) -> None:
        if self.connect_by is not None:
            self.connect_by.cancel()
            self.connect_by = None
        self.phase, seating, self.last_chunk = Phase.SENT, self.pool.host.seating, False
        head = (
            self.head.onward()
            if seating is None
            else self.head.onward(
                seating.shown(self.seat, self.server) if self.seat is not None else b"", seating.OWN
            )
        )
        passing.request_on(self, head)

    def try_failed(self, outcome: str, of: Upstream | None = None, blamed: bool = True) -> None:
        """This try has come to nothing: another, or the end."""
        if self.phase is Phase.OVER or of is not None and of is not self.upstream:
            return
        self.leave(failed=True if blamed else None)
        host, left = self.pool.host, self.due - self.pool.host.loop.clock.now()
        whole = not self.body.total
        if request.should_retry(self.table, self.route.rpc.repeat, outcome, len(self.tried), whole, left):
            host.log.count("rpc_tried_again")
            self.attempt()
        else:
            self.give_up(outcome)

    def leave(self, failed: bool | None, keep: bool = False) -> None:
        """Let go of the server; `failed` None: the try says nothing of it."""
        upstream, self.upstream = self.upstream, None
        server, self.server = self.server, None
        if self.connect_by is not None:
            self.connect_by.cancel()
            self.connect_by = None
        if self.phase is Phase.CONNECTING:
            self.seat_over()
        self.seat = None  # what may run keeps it until its end
        if server is None:
            return
        server.held -= 1
        if failed is not None:
            server.tries += 1
            if failed:
                server.failures += 1
            else:
                server.oks += 1
                server.time += self.pool.host.loop.clock.now() - self.began
        if upstream is not None and upstream.stream is not None:
            upstream.rpc = None
            if keep:
                upstream.used = True
                server.keep(upstream)
            else:
                upstream.stream.close()

    def seat_over(self) -> None:
        """The job is over, or nothing of it went out."""
        if self.seat is not None:
            self.pool.host.seating.over(self.seat)
            self.seat = None

    # ---- both ways ---------------------------------------------------------------------------------

    def client_more(self) -> None:
        if self.phase in (Phase.SENT, Phase.ANSWERING) and self.upstream is not None and not self.body.done:
            passing.request_on(self)

    def upstream_drained(self) -> None:
        self.client_more()

    def client_drained(self) -> None:
        if self.phase is Phase.ANSWERING and self.upstream is not None:
            passing.answer_on(self)

    def answer_came(self) -> None:
        if self.phase is Phase.ANSWERING:
            passing.answer_on(self)
            return
        head, seating = passing.answer_head(self), self.pool.host.seating
        if head is None:
            return
        if seating is not None:
            seating.heard(self.server, head)
            if self.seat is not None and (outcome := seating.refused(self.seat, head)):
                self.answer = None
                self.try_failed(outcome, blamed=False)
                return
        if self.deadline is not None:
            self.deadline.cancel()  # of the answer's end nobody has said when; silence ends it
        self.phase = Phase.ANSWERING
        if self.pool.load_header and (report := head.value(self.pool.load_header)):
            self.pool.load_came(self.server, report)
        self.chunks = head.body.kind in (Body.CHUNKED, Body.TO_END) and self.head.version == "1.1"
        # Closed after it: a body that only its end can end, and a request of which more may come, or what is
        # left of it would be read as the next.  A client of HTTP/1.0 never keeps.
        self.client.close_after |= not self.body.done or not self.head.keep
        passing.answer_on(self, head.onward(self.chunks, self.client.close_after))

    def complete(self) -> None:
        head, stream = self.answer, self.upstream.stream
        self.phase = Phase.OVER
        keep = (
            head.keep
            and self.body.done
            and stream.open
            and not len(stream.incoming)
            and not len(stream.outgoing)
        )
        self.seat_over()
        self.leave(failed=head.status >= 500, keep=keep)
        self.pool.done(self, head.status)
        self.client.finished()

    def upstream_closed(self, why: str) -> None:
        upstream = self.upstream
        if self.phase is Phase.ANSWERING:
            if why == "ended":
                passing.answer_ended(self)
            else:
                self.cut_off()
        elif self.phase is Phase.CONNECTING:
            self.try_failed(request.UNSENT)
        else:
            soon = self.pool.host.loop.clock.now() - self.began <= self.CROSSED
            crossed = upstream.used and soon and not len(upstream.stream.incoming)
            self.try_failed(request.CLOSED_IN_TRANSIT if crossed else request.SENT)

    # ---- the end -----------------------------------------------------------------------------------

    def too_late(self) -> None:
        if self.phase is not Phase.OVER:
            self.leave(failed=True)
            self.give_up(request.SENT)

    def give_up(self, outcome: str) -> None:
        """The client hears so at once."""
        host = self.pool.host
        status, back = request.final_status(outcome, self.due - host.loop.clock.now(), self.pool.boot)
        host.log.count(f"rpc_{outcome}" if outcome in self.UNRUN else "rpc_aborted")
        self.end_with(
            status,
            {503: "no server now", 502: "no answer from the server", 504: "the deadline has passed"}[status],
            back,
        )

    def refuse(self, status: int, why: str) -> None:
        self.leave(failed=None)
        self.pool.host.log.count(f"rpc_refused_{status}")
        self.end_with(status, why, None)

    def end_with(self, status: int, why: str, back: int | None) -> None:
        client, self.phase = self.client, Phase.OVER
        if self.deadline is not None:
            self.deadline.cancel()
        self.pool.done(self, status)
        if self.answer is not None:
            client.stream.close()  # half an answer is out: only a close can tell
            client.gone()
            return
        client.close_after |= not self.body.done or not self.head.keep
        client.stream.write(plain(status, why, back, client.close_after, self.head.method == "HEAD"))
        client.finished()

    def cut_off(self) -> None:
        """The answer broke off after its head went out."""
        self.leave(failed=True)
        self.pool.host.log.count("rpc_cut_off")
        self.end_with(502, "", None)

    def abandon(self) -> None:
        """The client has gone: nobody wants the answer."""
        if self.phase is not Phase.OVER:
            if self.deadline is not None:
                self.deadline.cancel()
            self.leave(failed=None)
            self.phase = Phase.OVER
            self.pool.host.log.count("rpc_abandoned")
            self.pool.done(self, 0)
