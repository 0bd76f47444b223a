"""Strict parsing and forwarding of heads, and framing of chunked bodies, without sockets."""

import random

import pytest

from indigohitch.net.ring_buffer import BufferPool, RingBuffer
from indigohitch.sidecar.framing import LAST_CHUNK, Body, MalformedBodyError, chunk
from indigohitch.sidecar.heads import AnswerHead, RefusedHeadError, RequestHead


@pytest.mark.parametrize("seed", range(20))
def test_a_chunked_body_is_decoded_however_its_bytes_are_split(seed):
    rng = random.Random(seed)
    parts = [rng.randbytes(rng.randint(1, 5000)) for _ in range(rng.randint(0, 8))]
    last = b"0\r\nX-T: 1\r\n\r\n" if rng.random() < 0.5 else LAST_CHUNK
    wire = b"".join(map(chunk, parts)) + last + b"NEXT"
    ring, body, data = RingBuffer(1 << 16, BufferPool(1 << 20)), Body(Body.CHUNKED), b""
    while not body.done:
        count = rng.randint(1, 900)
        assert ring.push(wire[:count])
        wire = wire[count:]
        data += body.take(ring, rng.randint(1, 2000))
    assert data == b"".join(parts) and ring.take() + wire == b"NEXT"


@pytest.mark.parametrize(
    "wire",
    [
        b"-5\r\nhello",
        b"+5\r\nhello",
        b"0x5\r\nhello",
        b"5_0\r\n",
        b"5\nhello\r\n",
        b"5\r\nhelloXX0\r\n\r\n",
        b"\r\n",
        b"5 5\r\n",
        b"1" * 17 + b"\r\n",
        b"5;" + b"x" * 300 + b"\r\n",
        b"0\r\n" + b"a: b\r\n" * 2000 + b"\r\n",
    ],
)
def test_ambiguous_chunks_are_refused(wire):
    ring, body = RingBuffer(1 << 16, BufferPool(1 << 20)), Body(Body.CHUNKED)
    ring.push(wire)
    with pytest.raises(MalformedBodyError):
        for _ in range(5):
            body.take(ring, 1 << 20)


GOOD = b"POST /a HTTP/1.1\r\nHost: t\r\n%b\r\n"


@pytest.mark.parametrize(
    "fields, status",
    [
        (b"Content-Length: 3\r\nContent-Length: 3\r\n", 400),
        (b"Content-Length: 3, 3\r\n", 400),
        (b"Content-Length: +3\r\n", 400),
        (b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400),
        (b"Transfer-Encoding: gzip, chunked\r\n", 400),
        (b"Transfer-Encoding: xchunked\r\n", 400),
        (b"Transfer-Encoding : chunked\r\n", 400),
        (b"Host: u\r\n", 400),
        (b"X: a\nY: b\r\n", 400),
        (b"X: a\rY: b\r\n", 400),
        (b"X: a\r\n  folded\r\n", 400),
        (b"X\0: a\r\n", 400),
        (b"Content-Length: 0x3\r\n", 400),
        (b"Content-Length:\r\n", 400),
        (b"Expect: wonders\r\n", 417),
    ],
)
def test_ambiguous_heads_are_refused(fields, status):
    with pytest.raises(RefusedHeadError) as refused:
        RequestHead(GOOD % fields)
    assert refused.value.status == status


@pytest.mark.parametrize(
    "line, status",
    [
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/2.0\r\n\r\n", 505),
        (b"CONNECT a:1 HTTP/1.1\r\nHost: t\r\n\r\n", 501),
        (b"GET http://t/ HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    ],
)
def test_unsupported_requests_are_refused(line, status):
    with pytest.raises(RefusedHeadError) as refused:
        RequestHead(line)
    assert refused.value.status in (status, 400)


def test_hop_by_hop_fields_are_not_forwarded():
    head = RequestHead(
        GOOD
        % (
            b"Connection: keep-alive, X-Secret\r\nX-Secret: 1\r\nKeep-Alive: 5\r\nTE: gzip\r\n"
            b"Upgrade: websocket\r\nVia: 1.0 fred\r\nX-Stays: 2\r\nContent-Length: 4\r\n"
        )
    )
    forwarded = head.forwarded_head()
    for field in (b"X-Secret", b"Keep-Alive", b"TE:", b"Upgrade", b"Connection"):
        assert field not in forwarded
    assert b"Via: 1.0 fred, 1.1 indigohitch\r\n" in forwarded and b"X-Stays: 2" in forwarded
    assert forwarded.count(b"Content-Length: 4") == 1


def test_the_body_of_an_answer_follows_its_method_status_and_framing():
    head = AnswerHead(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n", "HEAD")
    assert head.body.done and not head.keep and b"Content-Length: 5" in head.forwarded_head(False, False)
    assert AnswerHead(b"HTTP/1.1 204 No\r\n\r\n", "GET").body.done
    assert AnswerHead(b"HTTP/1.1 200 OK\r\n\r\n", "GET").body.kind == Body.TO_END
    for invalid in (
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"HTTP/1.1 101 S\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    ):
        with pytest.raises(RefusedHeadError):
            AnswerHead(invalid, "GET")
