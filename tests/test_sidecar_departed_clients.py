"""Nothing is sent to a server for a client that has left: it may send the same request again."""

import socket
import struct

import pytest

from seam import READ, RESERVE, Seam, come

BODY = b"x" * 1000
PART = b"POST /r/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 1000\r\n\r\n"
CHUNKED = b"POST /r/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
# Requests of about a kilobyte: more than a ring of the sidecar; with the kernel's buffers or more than these.
FITS_THE_KERNEL = 100
EXCEEDS_THE_KERNEL = 8000
LARGE_RESERVE = b"POST /r/1 HTTP/1.1\r\nHost: t\r\nX-Pad: %b\r\nContent-Length: 0\r\n\r\n" % (b"p" * 900)


@pytest.fixture
def seam():
    seam = Seam()
    yield seam
    seam.close()


def close(sock):
    sock.close()


def half_close(sock):
    sock.shutdown(socket.SHUT_WR)


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


WAYS = [close, half_close, reset]


def received_by_server(seam, server):
    """Returns what the server receives until the sidecar has nothing more to do."""
    data = b""
    server.setblocking(False)
    for _ in range(60):
        seam.turn()
        try:
            data += server.recv(1 << 20)
        except BlockingIOError:
            pass
        except OSError:
            break
    return data


@pytest.mark.parametrize("leave", WAYS)
def test_a_request_that_arrives_with_the_end_of_its_client_is_not_sent(seam, leave):
    """Guards against one request that ran although its client had closed before the sidecar read it."""
    sock, client, server = seam.kept()
    sock.sendall(RESERVE)
    leave(sock)
    come(client.stream.sock)
    assert b"/r/1" not in received_by_server(seam, server)
    assert seam.host.log.counts["rpc_abandoned"] == 1 or leave is reset
    assert not len(seam.host.clients)


def pipeline(seam, count):
    """Returns a client's socket and object, and its server, which got the first of so many requests."""
    sock, client, server = seam.kept()
    sock.setblocking(False)
    for _ in range(count):
        try:
            sock.send(LARGE_RESERVE)
        except BlockingIOError:
            break
    _, first = seam.asked(server)
    assert first.count(b"POST ") == 1
    seam.until(lambda: client.stream.reading_paused)
    return sock, client, server


@pytest.mark.parametrize("leave", [close, reset])
@pytest.mark.parametrize("count", [FITS_THE_KERNEL, EXCEEDS_THE_KERNEL])
def test_requests_behind_the_one_in_flight_are_not_sent_after_their_client_left(seam, leave, count):
    """Guards against a client that closed with much unread: its requests were sent on one after another."""
    sock, _, server = pipeline(seam, count)
    leave(sock)
    sent_on = b""
    for _ in range(10):
        try:
            server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
        except OSError:
            break
        sent_on += received_by_server(seam, server)
    assert sent_on.count(b"POST ") == 0 and not len(seam.host.clients)


@pytest.mark.parametrize("leave", WAYS)
@pytest.mark.parametrize(
    "head, begun, last", [(PART, BODY[:500], BODY[500:]), (CHUNKED, b"1\r\na\r\n", b"0\r\n\r\n")]
)
def test_the_end_of_a_body_is_not_sent_after_its_client_left(seam, head, begun, last, leave):
    """Guards against a server that acts on a whole request of a client that was gone before its last byte."""
    sock, client, server = seam.kept()
    sock.sendall(head + begun)
    seam.until(lambda: client.rpc is not None)
    seam.asked(server)
    sock.sendall(last)
    leave(sock)
    come(client.stream.sock)
    rest = received_by_server(seam, server)
    assert last not in rest


@pytest.mark.parametrize("leave", WAYS)
def test_a_departed_client_whose_reading_is_paused_ends_its_attempt(seam, leave):
    sock, _, _ = pipeline(seam, FITS_THE_KERNEL)
    leave(sock)
    seam.pass_sweeps(2)
    assert not len(seam.host.clients) and seam.pool.servers["n1"].held == 0


def test_a_client_that_stays_gets_its_answer(seam):
    sock, _, server = seam.kept()
    sock.sendall(READ)
    seam.asked(server)
    server.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
    assert seam.said(sock).endswith(b"2")
