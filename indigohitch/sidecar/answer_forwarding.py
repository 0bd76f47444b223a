"""Forwards the answer of a server to the client, as far as the client reads it."""

from __future__ import annotations

from .. import request
from .framing import CHUNK_OVERHEAD_BYTES, LAST_CHUNK, MAX_PIECE_BYTES, Body, MalformedBodyError, chunk
from .heads import AnswerHead, RefusedHeadError

MIN_INTERIM_ROOM_BYTES = 4096  # with less room at the client, an interim answer is dropped


def read_answer_head(rpc) -> AnswerHead | None:
    """Returns the head of the final answer once it was received; forwards interim answers."""
    stream, client = rpc.upstream.stream, rpc.client
    while True:
        end = stream.incoming.find_end(b"\r\n\r\n")
        if not end:
            if len(stream.incoming) > rpc.pool.host.text.limits["head"]:
                rpc.attempt_failed(request.SENT)
            return None
        try:
            head = AnswerHead(stream.incoming.take(end), rpc.head.method)
        except RefusedHeadError as error:
            log_refused_answer(rpc, error)
            rpc.attempt_failed(request.SENT)
            return None
        if not head.interim:
            return head
        if rpc.head.version == "1.1" and client.stream.free_capacity() > MIN_INTERIM_ROOM_BYTES:
            client.stream.write(head.forwarded_head(False, False))


def log_refused_answer(rpc, error: Exception) -> None:
    """Logs an answer whose head or body is not forwarded."""
    rpc.pool.host.log.warning("answer_refused", server=rpc.attempt.server.name, why=str(error))


class Answer:
    """The final answer of an RPC: its head, and its body on the way from the server to the client."""

    __slots__ = ("rpc", "head", "in_chunks", "ends_with_connection")

    def __init__(self, rpc, head: AnswerHead) -> None:
        self.rpc = rpc
        self.head = head
        has_no_length = head.body.kind in (Body.CHUNKED, Body.TO_END)
        self.in_chunks = has_no_length and rpc.head.version == "1.1"
        self.ends_with_connection = has_no_length and not self.in_chunks

    def begin(self) -> None:
        """Forwards the head and the received part of the body.

        Where only the end of the connection ends the answer, an orderly end says that it is whole.  So from
        the first byte until the last one is written (`Client.linger`), any end of the connection is a reset.
        """
        if self.ends_with_connection:
            self.rpc.client.stream.set_ends_with_reset(True)
        self.forward(self.head.forwarded_head(self.in_chunks, self.rpc.client.close_after))

    def forward(self, out: bytes = b"") -> None:
        """Forwards the received part of the body; `out` is written before it.

        Completes the RPC at the end of the body.
        """
        rpc, body = self.rpc, self.head.body
        stream, client_stream = rpc.upstream.stream, rpc.client.stream
        rpc.client.last_activity = rpc.pool.host.now
        try:
            while not body.done:
                room = client_stream.free_capacity() - len(out) - CHUNK_OVERHEAD_BYTES
                data = body.take(stream.incoming, min(MAX_PIECE_BYTES, room))
                if not data and not body.done:
                    break
                out += chunk(data) if self.in_chunks else data
                if len(out) >= MAX_PIECE_BYTES:
                    client_stream.write(out)
                    out = b""
        except MalformedBodyError as error:
            log_refused_answer(rpc, error)
            rpc.abort_answer()
            return
        if body.done and self.in_chunks:
            out += LAST_CHUNK
        if out:
            client_stream.write(out)
        if body.done:
            rpc.complete()
        elif rpc.upstream is not None:
            stream.resume_reading()

    def on_server_closed(self, why: str) -> None:
        """Completes or aborts the answer after the server's connection was closed.

        All data left in the ring counts, even if it exceeds the size of the client's output ring.
        """
        rpc, body = self.rpc, self.head.body
        if why != "ended":
            rpc.abort_answer()
            return
        client_stream = rpc.client.stream
        try:
            data = body.take(rpc.upstream.stream.incoming, 1 << 30)
        except MalformedBodyError:
            data = b""
        if not body.ended():
            rpc.abort_answer()
            return
        out = (chunk(data) + LAST_CHUNK) if self.in_chunks else data
        if out and not client_stream.outgoing.push(out):
            # Grows by one ring at most, and only for the rest of this answer.
            client_stream.outgoing.set_max_size(client_stream.outgoing.max_size + len(out))
            client_stream.outgoing.push(out)
        client_stream.flush_soon()
        rpc.complete()
