"""Moves the request and answer streams of an RPC between its client and its server, piece by piece."""

from __future__ import annotations

from .. import request
from .framing import LAST_CHUNK, Body, MalformedBodyError, chunk
from .heads import AnswerHead, RefusedHeadError

MAX_PIECE_BYTES = 32 << 10  # half a ring


def forward_request_body(rpc, out: bytes = b"") -> None:
    """Forwards the received part of the request body; `out` is written before it."""
    stream, client, body = rpc.upstream.stream, rpc.client, rpc.body
    ring = client.stream.incoming
    try:
        while not body.done:
            data = body.take(ring, min(MAX_PIECE_BYTES, stream.free_capacity() - len(out) - 32))
            if not data and not body.done:
                break
            out += chunk(data) if body.kind == Body.CHUNKED else data
            if body.total > rpc.pool.host.text.limits["body"]:
                rpc.refuse(413, "the body is too large")
                return
            if len(out) >= MAX_PIECE_BYTES:
                stream.write(out)
                out = b""
    except MalformedBodyError as error:
        rpc.refuse(400, str(error))
        return
    if body.done and body.kind == Body.CHUNKED and not rpc.last_chunk_sent:
        out, rpc.last_chunk_sent = out + LAST_CHUNK, True
    if out:
        stream.write(out)
    if body.kind != Body.NONE:
        client.stream.resume_reading()


def read_answer_head(rpc) -> AnswerHead | None:
    """Returns the head of the final answer once it was received; forwards interim answers."""
    stream, client = rpc.upstream.stream, rpc.client
    while rpc.answer is None:
        end = stream.incoming.find_end(b"\r\n\r\n")
        if not end:
            if len(stream.incoming) > rpc.pool.host.text.limits["head"]:
                rpc.attempt_failed(request.SENT)
            return None
        try:
            head = AnswerHead(stream.incoming.take(end), rpc.head.method)
        except RefusedHeadError as error:
            rpc.pool.host.log.warning("answer_refused", server=rpc.server.name, why=str(error))
            rpc.attempt_failed(request.SENT)
            return None
        if not head.interim:
            rpc.answer = head
        elif rpc.head.version == "1.1" and client.stream.free_capacity() > 4096:
            client.stream.write(head.forwarded_head(False, False))
    return rpc.answer


def forward_answer_body(rpc, out: bytes = b"") -> None:
    """Forwards the received part of the answer body; `out` is written before it.

    Completes the RPC at the end of the body.
    """
    stream, client_stream, body = rpc.upstream.stream, rpc.client.stream, rpc.answer.body
    rpc.client.last_activity = rpc.pool.host.now
    try:
        while not body.done:
            data = body.take(
                stream.incoming, min(MAX_PIECE_BYTES, client_stream.free_capacity() - len(out) - 32)
            )
            if not data and not body.done:
                break
            out += chunk(data) if rpc.answer_in_chunks else data
            if len(out) >= MAX_PIECE_BYTES:
                client_stream.write(out)
                out = b""
    except MalformedBodyError as error:
        rpc.pool.host.log.warning("answer_refused", server=rpc.server.name, why=str(error))
        rpc.abort_answer()
        return
    if body.done and rpc.answer_in_chunks:
        out += LAST_CHUNK
    if out:
        client_stream.write(out)
    if body.done:
        rpc.complete()
    elif rpc.upstream is not None:
        stream.resume_reading()


def finish_answer_at_close(rpc) -> None:
    """Completes or aborts the answer after the server closed its connection.

    All data left in the ring counts, even if it exceeds the size of the client's output ring.
    """
    stream, body, client_stream = rpc.upstream.stream, rpc.answer.body, rpc.client.stream
    try:
        data = body.take(stream.incoming, 1 << 30)
    except MalformedBodyError:
        data = b""
    if not body.ended():
        rpc.abort_answer()
        return
    out = (chunk(data) + LAST_CHUNK) if rpc.answer_in_chunks else data
    if out and not client_stream.outgoing.push(out):
        # Grows by one ring at most, and only for the rest of this answer.
        client_stream.outgoing.set_max_size(client_stream.outgoing.max_size + len(out))
        client_stream.outgoing.push(out)
    client_stream.flush_soon()
    rpc.complete()
