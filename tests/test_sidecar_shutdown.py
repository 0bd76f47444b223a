"""Shutdown of a sidecar: a request after SIGTERM is answered, or its connection is closed at once."""

import signal
import socket
import time

import pytest

from field import Field, answers
from seam import OK, READ, come
from waiting import eventually

SLOW = b"GET /vacancies/1 HTTP/1.1\r\nHost: x\r\nX-Act: wait=1500\r\n\r\n"
PLAIN = b"GET /vacancies/2 HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def field(tmp_path):
    field = Field(tmp_path).start()
    yield field
    field.close()


def is_closed(sock):
    """Returns whether the other side closed or reset the connection without sending data."""
    sock.settimeout(5)
    try:
        return sock.recv(1 << 16) == b""
    except ConnectionResetError:
        return True


def test_connections_after_the_signal_are_answered_or_closed_at_once(field):
    """Clients that connected while an RPC was in flight used to wait for its answer and were then reset."""
    idle, busy = field.raw(PLAIN), field.raw(SLOW)
    assert answers(idle, 1)[0][0] == 200
    eventually(
        lambda: (
            field.ask("status")["pools"]["nodes"]["servers"]
            and sum(s["held"] for s in field.ask("status")["pools"]["nodes"]["servers"].values())
        )
    )
    field.process.send_signal(signal.SIGTERM)
    eventually(lambda: field.said("phase", now="ending"))
    busy.sendall(PLAIN)
    began = time.monotonic()
    for _ in range(3):
        with pytest.raises(OSError):  # refused, or reset if the kernel had queued it just before
            late = field.raw(PLAIN)
            assert not is_closed(late)
    assert is_closed(idle) and time.monotonic() - began < 1.0 and field.process.poll() is None
    found = answers(busy, 2)
    assert found[0][0] == 200 and (len(found) == 2 or is_closed(busy))
    assert field.process.wait(10) == 0


def test_a_connection_in_the_accept_queue_is_answered(field):
    """The client connected and sent its RPC before the signal; the process sees both at once."""
    host, port = field.listen.split(":")
    field.process.send_signal(signal.SIGSTOP)
    waiting = socket.create_connection((host, int(port)), 5)
    waiting.sendall(PLAIN)
    field.process.send_signal(signal.SIGTERM)
    field.process.send_signal(signal.SIGCONT)
    waiting.settimeout(5)
    assert waiting.makefile("rb").read().startswith(b"HTTP/1.1 200")
    assert field.process.wait(10) == 0


def test_every_client_gets_an_answer_or_an_orderly_close_in_the_turn_of_the_signal(field):
    """Whole and partial requests, two at once and a new connection, with SIGHUP before and SIGTERM twice.

    Each client gets an answer or an orderly close, never a reset.
    """
    whole, half, twice, quiet = [field.raw(PLAIN) for _ in range(4)]
    body = field.raw(b"POST /places/1/reserve HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab")
    for sock in (whole, half, twice, quiet):
        assert answers(sock, 1)[0][0] == 200
    eventually(lambda: field.ask("status")["in_hand"] == 1)
    field.process.send_signal(signal.SIGSTOP)
    whole.sendall(PLAIN)
    half.sendall(PLAIN[:9])
    twice.sendall(PLAIN + PLAIN)
    new = field.raw(PLAIN)
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGCONT):
        field.process.send_signal(number)
    eventually(lambda: field.said("phase", now="ending"))
    field.process.send_signal(signal.SIGTERM)
    body.sendall(b"cd")
    found = [answers(sock, 3) for sock in (whole, twice, new, body, half, quiet)]  # to the end of each
    assert all(status == 200 for some in found for status, _ in some)
    assert [len(some) for some in found][:1] + [len(some) for some in found][2:] == [1, 1, 1, 0, 0]
    assert len(found[1]) in (1, 2)
    for sock in (whole, half, twice, quiet, new, body):
        sock.close()
    assert field.process.wait(10) == 0 and not field.said("defect")
    assert [e["now"] for e in field.said("phase")] == ["serving", "ending", "ended"]


# ---- the host in a loop that the test turns


def test_requests_received_before_the_shutdown_are_answered(seam):
    sock, _, server = seam.kept()
    sock.sendall(READ + READ)
    come(next(iter(seam.host.clients)).stream.sock)
    waits = socket.create_connection(seam.at, 10)  # in the accept queue
    waits.sendall(READ)
    seam.socks.append(waits)
    seam.host.accept_pending_connections()
    seam.host.stop_listening()
    assert not seam.host.close_unused_clients()
    for upstream in (server, None):
        upstream, _ = seam.asked(upstream)
        seam.host.close_unused_clients()
        upstream.sendall(OK % (1, b"2"))
    for one in (sock, waits):
        found = seam.rest(one)
        assert found.count(b"200 OK") == 1 and b"Connection: close" in found and found.endswith(b"2")
        one.close()
    seam.until(seam.host.close_unused_clients)


@pytest.mark.parametrize("read", [True, False])
def test_half_a_head_at_the_shutdown_does_not_destroy_an_answer_in_transit(seam, read):
    """If closed at once, the connection would be reset by unread or later data, and the answer lost."""
    sock, client = seam.client(READ, buffer=4096)
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
    server, _ = seam.asked()
    size = 150_000
    server.sendall(OK % (size, b"x" * size))
    seam.until(lambda: client.rpc is None and client.is_idle and seam.idle)
    sock.sendall(READ[:10])
    come(client.stream.sock)
    if read:
        seam.until(lambda: len(client.stream.incoming) == 10)
    seam.host.close_unused_clients()
    seam.turn()
    seam.host.close_unused_clients()
    sock.sendall(READ[10:])
    found = seam.rest(sock)
    assert found.startswith(b"HTTP/1.1 200 ") and found.endswith(b"\r\n\r\n" + b"x" * size)
    sock.close()
    seam.until(seam.host.close_unused_clients)


def test_a_request_after_the_last_answer_does_not_destroy_it(seam):
    sock, client = seam.client(READ, buffer=4096)
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
    server, _ = seam.asked()
    server.sendall(OK % (150_000, b"x" * 150_000))
    seam.until(lambda: client.rpc is None and client.is_idle)
    seam.host.close_unused_clients()
    sock.sendall(READ)
    found = seam.rest(sock)
    assert found.endswith(b"\r\n\r\n" + b"x" * 150_000)


def test_an_idle_client_is_closed_at_once(seam):
    sock, _, _ = seam.kept()
    assert seam.host.close_unused_clients() and not len(seam.host.clients)
    assert sock.recv(10) == b""


@pytest.mark.parametrize("first", ["answer", "end"])
@pytest.mark.parametrize("behind", [b"", READ])
def test_an_answer_in_the_turn_of_the_shutdown_is_forwarded(seam, first, behind):
    """In either order, also with a second request queued: an answer, then an orderly close."""
    sock, client = seam.client(READ + behind)
    server, _ = seam.asked()
    at = client.rpc.upstream.stream.sock
    server.sendall(OK % (1, b"1"))
    come(at)
    if first == "end":
        seam.host.close_unused_clients()
    seam.turn()
    seam.host.close_unused_clients()
    if behind and first == "answer":  # it was started before the shutdown
        seam.asked(server)
        server.sendall(OK % (1, b"2"))
    found = seam.rest(sock)
    assert found.count(b" 200 OK") == (2 if behind and first == "answer" else 1)
    sock.close()
    seam.until(seam.host.close_unused_clients)


def test_a_deadline_in_the_turn_of_the_shutdown_is_answered(seam):
    sock, _ = seam.client(READ)
    seam.asked()
    seam.clock.by += 100_000
    assert not seam.host.close_unused_clients()
    seam.turn()
    assert seam.rest(sock).startswith(b"HTTP/1.1 504 ")
    sock.close()
    seam.until(seam.host.close_unused_clients)


def test_shutdown_succeeds_while_the_listener_is_paused_for_lack_of_descriptors(seam):
    """The paused listener is not in the selector; the shutdown still closes the waiting client."""
    seam.loop.pause(seam.host.listener.sock)
    seam.host.listener._paused = seam.loop.call_after(100_000, seam.host.listener._resume)
    waits = socket.create_connection(seam.at, 10)
    seam.socks.append(waits)
    seam.host.accept_pending_connections()
    seam.host.stop_listening()
    assert seam.host.close_unused_clients() and waits.recv(10) == b""
