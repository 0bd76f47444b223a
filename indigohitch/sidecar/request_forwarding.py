"""Forwards the body of a request from the client to the server, as far as the server reads it."""

from __future__ import annotations

from ..net.peer_state import has_peer_left
from .framing import CHUNK_OVERHEAD_BYTES, LAST_CHUNK, MAX_PIECE_BYTES, Body, MalformedBodyError, chunk


def forward_request_body(rpc, out: bytes = b"") -> None:
    """Forwards the received part of the request body; `out` is written before it.

    The end of a request is not forwarded once its client has left.
    """
    attempt = rpc.attempt
    client = rpc.client
    body = rpc.body
    stream = attempt.upstream.stream
    received = client.stream.incoming
    try:
        while not body.done:
            room = stream.free_capacity() - len(out) - CHUNK_OVERHEAD_BYTES
            data = body.take(received, min(MAX_PIECE_BYTES, room))
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
    if body.done and has_peer_left(client.stream.sock):
        # The server must not act on a request that nobody waits for; its client may send it again.
        client.close_at_once()
        return
    if body.done and body.kind == Body.CHUNKED and not attempt.last_chunk_sent:
        out += LAST_CHUNK
        attempt.last_chunk_sent = True
    if out:
        stream.write(out)
    if body.kind != Body.NONE:
        client.stream.resume_reading()
