"""One RPC from its head to the end of its answer: its tries, and both streams.  What is decided on it (the
line, in or pushed back, another try, the final answer) is decided in request.py."""
from __future__ import annotations

import enum

from .. import request
from ..net.clock import SECOND
from ..net.loop import Deadline
from ..net.stream import Stream
from .framing import LAST_CHUNK, Body, Malformed, chunk
from .heads import AnswerHead, Refused, RequestHead, plain
from .servers import Server, Upstream


class Phase(enum.Enum):
    CONNECTING = "connecting"
    SENT = "sent"               # its head is out, the answer's has not come
    ANSWERING = "answering"
    OVER = "over"


class Rpc:
    CROSSED = SECOND // 20      # a close that crosses what we wrote is here by then
    PIECE = 32 << 10            # of a body, moved at once: half a ring

    __slots__ = ("client", "head", "route", "pool", "slice", "table", "phase", "tried", "upstream", "server",
                 "began", "deadline", "due", "body", "last_chunk", "answer", "chunks", "connect_by")

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

    # ---- tries -------------------------------------------------------------------------------------

    def start(self) -> None:
        pool = self.pool
        if not self.table.lets_in(self.route.rpc.name, pool.uniform):
            self.give_up("pushed_back")
            return
        self.deadline = pool.host.loop.at(self.due, self.too_late)
        self.attempt()

    def attempt(self) -> None:
        server = self.table.pick(self.pool.uniform, self.tried)
        if server is None:
            self.give_up("no_line")
            return
        host, self.server, self.phase = self.pool.host, server, Phase.CONNECTING
        self.tried.append(server)
        server.held += 1
        self.began = host.loop.clock.now()
        # A kept connection that has ended would be met by a write: for what can't go out again, look first.
        upstream = server.spare(self.route.rpc.repeat != "idempotent")
        if upstream is not None:
            upstream.rpc, self.upstream = self, upstream
            self.connected()
            return
        self.upstream = upstream = Upstream(server, self)
        try:
            upstream.stream = Stream.dial(host.loop, server.address, upstream)
        except OSError as failed:
            host.log.trouble("dial_failed", why=failed.strerror)
            host.loop.after(0, lambda: self.try_failed(request.UNSENT, upstream))
            return
        self.connect_by = host.loop.after(host.text.waits["connect"],
                                          lambda: self.try_failed(request.UNSENT, upstream))

    def connected(self) -> None:
        if self.connect_by is not None:
            self.connect_by.cancel()
            self.connect_by = None
        self.phase = Phase.SENT
        self.pump_request(self.head.onward())

    def try_failed(self, outcome: str, of: Upstream | None = None) -> None:
        """This try has come to nothing: another, or the end."""
        if self.phase is Phase.OVER or of is not None and of is not self.upstream:
            return
        self.leave(failed=True)
        host, left = self.pool.host, self.due - self.pool.host.loop.clock.now()
        whole = not self.body.total
        if request.further(self.table, self.route.rpc.repeat, outcome, len(self.tried), whole, left):
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

    # ---- the request's way -------------------------------------------------------------------------

    def pump_request(self, out: bytes = b"") -> None:
        """Move what has come of the body; `out` goes before it."""
        stream, client, body = self.upstream.stream, self.client, self.body
        ring = client.stream.incoming
        try:
            while not body.done:
                data = body.take(ring, min(self.PIECE, stream.room() - len(out) - 32))
                if not data and not body.done:
                    break
                out += chunk(data) if body.kind == Body.CHUNKED else data
                if body.total > self.pool.host.text.limits["body"]:
                    self.refuse(413, "the body is too large")
                    return
                if len(out) >= self.PIECE:
                    stream.write(out)
                    out = b""
        except Malformed as bad:
            self.refuse(400, str(bad))
            return
        if body.done and body.kind == Body.CHUNKED and not self.last_chunk:
            out, self.last_chunk = out + LAST_CHUNK, True
        if out:
            stream.write(out)
        if body.kind != Body.NONE:
            client.stream.wake()

    def client_more(self) -> None:
        if self.phase in (Phase.SENT, Phase.ANSWERING) and self.upstream is not None and not self.body.done:
            self.pump_request()

    def upstream_drained(self) -> None:
        self.client_more()

    # ---- the answer's way --------------------------------------------------------------------------

    def answer_came(self) -> None:
        if self.phase is Phase.ANSWERING:
            self.pump_answer()
            return
        stream, client = self.upstream.stream, self.client
        while self.answer is None:
            end = stream.incoming.until(b"\r\n\r\n")
            if not end:
                if len(stream.incoming) > self.pool.host.text.limits["head"]:
                    self.try_failed(request.SENT)
                return
            try:
                head = AnswerHead(stream.incoming.take(end), self.head.method)
            except Refused as bad:
                self.pool.host.log.trouble("answer_refused", server=self.server.name, why=str(bad))
                self.try_failed(request.SENT)
                return
            if not head.interim:
                self.answer = head
            elif self.head.version == "1.1" and client.stream.room() > 4096:
                client.stream.write(head.onward(False, False))
        if self.deadline is not None:
            self.deadline.cancel()              # of the answer's end nobody has said when; silence ends it
        self.phase = Phase.ANSWERING
        if self.pool.load_header and (report := head.value(self.pool.load_header)):
            self.pool.load_came(self.server, report)
        self.chunks = head.body.kind in (Body.CHUNKED, Body.TO_END) and self.head.version == "1.1"
        # Closed after it: a body that only its end can end, and a request of which more may come, or what is
        # left of it would be read as the next.  A client of HTTP/1.0 never keeps.
        client.close_after |= not self.body.done or not self.head.keep
        self.pump_answer(head.onward(self.chunks, client.close_after))

    def pump_answer(self, out: bytes = b"") -> None:
        stream, to, body = self.upstream.stream, self.client.stream, self.answer.body
        self.client.since = self.pool.host.now
        try:
            while not body.done:
                data = body.take(stream.incoming, min(self.PIECE, to.room() - len(out) - 32))
                if not data and not body.done:
                    break
                out += chunk(data) if self.chunks else data
                if len(out) >= self.PIECE:
                    to.write(out)
                    out = b""
        except Malformed as bad:
            self.pool.host.log.trouble("answer_refused", server=self.server.name, why=str(bad))
            self.cut_off()
            return
        if body.done and self.chunks:
            out += LAST_CHUNK
        if out:
            to.write(out)
        if body.done:
            self.complete()
        elif self.upstream is not None:
            stream.wake()

    def client_drained(self) -> None:
        if self.phase is Phase.ANSWERING and self.upstream is not None:
            self.pump_answer()

    def complete(self) -> None:
        head, stream = self.answer, self.upstream.stream
        self.phase = Phase.OVER
        keep = (head.keep and self.body.done and stream.open and not len(stream.incoming)
                and not len(stream.outgoing))
        self.leave(failed=head.status >= 500, keep=keep)
        self.pool.done(self, head.status)
        self.client.finished()

    def upstream_closed(self, why: str) -> None:
        upstream = self.upstream
        if self.phase is Phase.ANSWERING:
            if why == "ended":
                self.drain_ended()
            else:
                self.cut_off()
        elif self.phase is Phase.CONNECTING:
            self.try_failed(request.UNSENT)
        else:
            soon = self.pool.host.loop.clock.now() - self.began <= self.CROSSED
            crossed = upstream.used and soon and not len(upstream.stream.incoming)
            self.try_failed(request.CROSSED if crossed else request.SENT)

    def drain_ended(self) -> None:
        """The server ended its connection: what it left in the ring counts, whether or not it fits now."""
        stream, body, to = self.upstream.stream, self.answer.body, self.client.stream
        try:
            data = body.take(stream.incoming, 1 << 30)
        except Malformed:
            data = b""
        if not body.ended():
            self.cut_off()
            return
        out = (chunk(data) + LAST_CHUNK) if self.chunks else data
        if out and not to.outgoing.push(out):
            to.outgoing.allow(to.outgoing.most + len(out))      # at most a ring more, and only now
            to.outgoing.push(out)
        to.flush_soon()
        self.complete()

    # ---- the end -----------------------------------------------------------------------------------

    def too_late(self) -> None:
        if self.phase is not Phase.OVER:
            self.leave(failed=True)
            self.give_up(request.SENT)

    def give_up(self, outcome: str) -> None:
        """The client hears so at once."""
        host = self.pool.host
        status, back = request.given_up(outcome, self.due - host.loop.clock.now(), self.pool.boot)
        host.log.count(f"rpc_{outcome}" if outcome in ("no_line", "pushed_back") else "rpc_aborted")
        self.end_with(status, {503: "no server now", 502: "no answer from the server",
                               504: "the deadline has passed"}[status], back)

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
            client.stream.close()               # half an answer is out: only a close can tell
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
            self.phase = Phase.OVER
            if self.deadline is not None:
                self.deadline.cancel()
            self.leave(failed=None)
            self.pool.host.log.count("rpc_abandoned")
            self.pool.done(self, 0)
