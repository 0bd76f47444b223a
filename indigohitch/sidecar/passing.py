"""Both streams of one RPC, moved in pieces between its client's connection and its server's."""

from __future__ import annotations

from .. import request
from .framing import LAST_CHUNK, Body, Malformed, chunk
from .heads import AnswerHead, Refused

PIECE = 32 << 10  # of a body, moved at once: half a ring


def request_on(rpc, out: bytes = b"") -> None:
    """Move what has come of the body; `out` goes before it."""
    stream, client, body = rpc.upstream.stream, rpc.client, rpc.body
    ring = client.stream.incoming
    try:
        while not body.done:
            data = body.take(ring, min(PIECE, stream.free_capacity() - len(out) - 32))
            if not data and not body.done:
                break
            out += chunk(data) if body.kind == Body.CHUNKED else data
            if body.total > rpc.pool.host.text.limits["body"]:
                rpc.refuse(413, "the body is too large")
                return
            if len(out) >= PIECE:
                stream.write(out)
                out = b""
    except Malformed as bad:
        rpc.refuse(400, str(bad))
        return
    if body.done and body.kind == Body.CHUNKED and not rpc.last_chunk:
        out, rpc.last_chunk = out + LAST_CHUNK, True
    if out:
        stream.write(out)
    if body.kind != Body.NONE:
        client.stream.resume_reading()


def answer_head(rpc) -> AnswerHead | None:
    """The head of the final answer once it has come; interim ones go on."""
    stream, client = rpc.upstream.stream, rpc.client
    while rpc.answer is None:
        end = stream.incoming.find_end(b"\r\n\r\n")
        if not end:
            if len(stream.incoming) > rpc.pool.host.text.limits["head"]:
                rpc.try_failed(request.SENT)
            return None
        try:
            head = AnswerHead(stream.incoming.take(end), rpc.head.method)
        except Refused as bad:
            rpc.pool.host.log.warning("answer_refused", server=rpc.server.name, why=str(bad))
            rpc.try_failed(request.SENT)
            return None
        if not head.interim:
            rpc.answer = head
        elif rpc.head.version == "1.1" and client.stream.free_capacity() > 4096:
            client.stream.write(head.onward(False, False))
    return rpc.answer


def answer_on(rpc, out: bytes = b"") -> None:
    stream, to, body = rpc.upstream.stream, rpc.client.stream, rpc.answer.body
    rpc.client.since = rpc.pool.host.now
    try:
        while not body.done:
            data = body.take(stream.incoming, min(PIECE, to.free_capacity() - len(out) - 32))
            if not data and not body.done:
                break
            out += chunk(data) if rpc.chunks else data
            if len(out) >= PIECE:
                to.write(out)
                out = b""
    except Malformed as bad:
        rpc.pool.host.log.warning("answer_refused", server=rpc.server.name, why=str(bad))
        rpc.cut_off()
        return
    if body.done and rpc.chunks:
        out += LAST_CHUNK
    if out:
        to.write(out)
    if body.done:
        rpc.complete()
    elif rpc.upstream is not None:
        stream.resume_reading()


def answer_ended(rpc) -> None:
    """The server ended its connection: what it left in the ring counts, whether or not it fits now."""
    stream, body, to = rpc.upstream.stream, rpc.answer.body, rpc.client.stream
    try:
        data = body.take(stream.incoming, 1 << 30)
    except Malformed:
        data = b""
    if not body.ended():
        rpc.cut_off()
        return
    out = (chunk(data) + LAST_CHUNK) if rpc.chunks else data
    if out and not to.outgoing.push(out):
        to.outgoing.set_max_size(to.outgoing.max_size + len(out))  # at most a ring more, and only now
        to.outgoing.push(out)
    to.flush_soon()
    rpc.complete()
