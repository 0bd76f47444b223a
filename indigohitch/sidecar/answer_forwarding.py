"""Forwards the answer of a server to the client, as far as the client reads it."""

from __future__ import annotations

from .. import request
from .framing import CHUNK_OVERHEAD_BYTES, LAST_CHUNK, MAX_PIECE_BYTES, Body, MalformedBodyError, chunk
from .heads import AnswerHead, RefusedHeadError

MIN_INTERIM_ROOM_BYTES = 4096  # with less room at the client, an interim answer is dropped


def read_answer_head(rpc) -> AnswerHead | None:
    """Returns the head of the final answer once it was received; forwards interim answers."""
    stream = rpc.upstream.stream
    client = rpc.client
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

    __slots__ = ("rpc", "head", "in_chunks", "ends_with_connection", "received", "server_end", "is_begun")

    def __init__(self, rpc, head: AnswerHead) -> None:
        self.rpc = rpc
        self.head = head
        has_no_length = head.body.kind in (Body.CHUNKED, Body.TO_END)
        self.in_chunks = has_no_length and rpc.head.version == "1.1"
        self.ends_with_connection = has_no_length and not self.in_chunks
        self.received = rpc.upstream.stream.incoming
        self.is_begun = False  # whether the client was sent a part of it
        self.server_end = ""  # why the server's connection closed; empty while it is open

    def begin(self) -> None:
        """Forwards the head and the received part of the body."""
        head = self.head.forwarded_head(self.in_chunks, self.rpc.client.close_after)
        self.head.fields = []  # no longer used, and large while a client reads slowly
        self.forward(head)

    def forward(self, out: bytes = b"") -> None:
        """Forwards the received part of the body; `out` is written before it.

        Completes the RPC at the end of the body.
        """
        rpc = self.rpc
        rpc.client.last_activity = rpc.pool.host.now
        try:
            is_all_forwarded = self._forward_received(out)
        except MalformedBodyError as error:
            log_refused_answer(rpc, error)
            rpc.reject_answer()
            return
        if self.head.body.done:
            rpc.complete()
        elif not self.server_end:
            rpc.upstream.stream.resume_reading()
        elif is_all_forwarded:
            self._end_at_close()

    def _forward_received(self, out: bytes) -> bool:
        """Forwards what the client has room for; returns whether nothing that was received is left.

        Raises MalformedBodyError.
        """
        body = self.head.body
        client_stream = self.rpc.client.stream
        while not body.done:
            room = client_stream.free_capacity() - len(out) - CHUNK_OVERHEAD_BYTES
            if room <= 0 and not out:
                return False  # the client has to read first
            if room > 0:
                data = body.take(self.received, min(MAX_PIECE_BYTES, room))
                if not data:
                    break
                out += chunk(data) if self.in_chunks else data
            if room <= 0 or len(out) >= MAX_PIECE_BYTES:
                self._write(out)  # may make room: the kernel may take all of it at once
                out = b""
        if body.done and self.in_chunks:
            out += LAST_CHUNK
        if out:
            self._write(out)
        return True

    def _write(self, data: bytes) -> None:
        """Writes to the client.

        Where only the end of the connection ends the answer, an orderly end says that it is whole.  So from
        the first byte until the last one is written (`Client.linger`), any end of the connection is a reset.
        """
        client_stream = self.rpc.client.stream
        has_head = not self.is_begun
        self.is_begun = True
        if has_head and self.ends_with_connection:
            client_stream.set_ends_with_reset(True)
        client_stream.write(data, beyond_limits=has_head)

    def on_server_closed(self, why: str) -> None:
        """Forwards what was received, as the client reads it; then completes or aborts the answer."""
        self.server_end = why
        self.received = self.rpc.upstream.stream.take_over_incoming()
        self.forward()

    def _end_at_close(self) -> None:
        """Completes the answer if the orderly end of the server's connection ends it, else aborts it."""
        if self.server_end != "ended" or not self.head.body.ended():
            self.rpc.abort_answer()
            return
        if self.in_chunks:
            self._write(LAST_CHUNK)
        self.rpc.complete()

    def close(self) -> None:
        """Releases the data of a server that has closed its connection."""
        if self.server_end:
            self.received.close()
