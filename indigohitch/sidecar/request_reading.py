"""Reads the head of a client's next request; refuses one that is not valid or too long."""

from __future__ import annotations

from .heads import RefusedHeadError, RequestHead

MAX_TARGET_BYTES = 8192


def read_request_head(client) -> RequestHead | None:
    """Returns the head of the next request, None if it is incomplete or was refused."""
    received = client.stream.incoming
    host = client.host
    end = received.find_end(b"\r\n\r\n")
    max_head_bytes = host.text.limits["head"]
    if not end and len(received) <= max_head_bytes and not received.full:
        while received.peek(2) == b"\r\n":  # ignores blank lines before a request (RFC 9112, 2.2)
            received.skip(2)
        return None
    if not end or end > max_head_bytes:
        client.refuse(431, "the head is too long")
        return None
    data = received.peek(end)
    if b" HTTP/1.0\r\n" in data and not client.delivery.is_complete():
        # Its answer may end in a reset, which would discard what is not delivered of the earlier ones.
        client.delivery.call_later(client.process_requests)
        return None
    received.skip(end)
    client.bytes_at_last_sweep = 0
    client.stream.resume_reading()
    try:
        head = RequestHead(data.lstrip(b"\r\n"))
    except RefusedHeadError as error:
        host.log.count(f"rpc_refused_{error.status}")
        client.refuse(error.status, str(error))
        return None
    if len(head.target) > MAX_TARGET_BYTES:
        client.refuse(414, "the target is too long")
        return None
    return head
