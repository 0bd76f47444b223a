"""An answer that broke off is never taken for whole by a client; each way in which one can break off."""

import signal
import socket

import pytest

from field import Field
from peers import reset
from received_answer import NO_ANSWER, WHOLE, receive
from seam import READ, RESERVE
from slow_clients import CHUNKS, CONNECTION_END, LENGTH, REQUEST, VERSIONS
from waiting import eventually

SECOND = 10_000  # ticks
SERVER_HEADS = {
    LENGTH: b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n",
    CHUNKS: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    CONNECTION_END: b"HTTP/1.1 200 OK\r\n\r\n",
}
HALF = {LENGTH: b"x" * 10, CHUNKS: b"a\r\n" + b"x" * 10 + b"\r\n", CONNECTION_END: b"x" * 10}
REST = {LENGTH: b"x" * 10, CHUNKS: b"a\r\n" + b"x" * 10 + b"\r\n0\r\n\r\n", CONNECTION_END: b"x" * 10}


def begun(seam, version, framing):
    """Returns a client, its socket and the server's socket, after half of an answer reached the client."""
    sock, client = seam.client(REQUEST.format(version).encode())
    server, _ = seam.asked()
    server.sendall(SERVER_HEADS[framing])
    seam.until(lambda: client.rpc.answer is not None)
    server.sendall(HALF[framing])
    seam.until(lambda: client.rpc.answer.head.body.total == 10)
    return client, sock, server


def received(seam, sock):
    return receive(sock, lambda: seam.said(sock))


def exceed_stream_wait(seam):
    seam.host.text.waits["stream"] = SECOND
    seam.pass_sweeps(4)


def close_client_for_memory(client):
    client.stream.close("flooded")


def leave_in_half(sock):
    sock.shutdown(socket.SHUT_WR)


WAYS = {
    "server closes": lambda seam, client, sock, server: server.close(),
    "server resets": lambda seam, client, sock, server: reset(server),
    "server stops": lambda seam, client, sock, server: exceed_stream_wait(seam),
    "malformed chunk": lambda seam, client, sock, server: server.sendall(b"no size\r\n"),
    "memory limit": lambda seam, client, sock, server: close_client_for_memory(client),
    "end of the drain": lambda seam, client, sock, server: seam.end(),
    "client half-closes": lambda seam, client, sock, server: leave_in_half(sock),
}
CASES = [(framing, way) for framing in SERVER_HEADS for way in WAYS if way != "malformed chunk"]
CASES.append((CHUNKS, "malformed chunk"))
# What the sidecar itself can't tell from a whole answer, nor could a client that asked the server directly.
UNKNOWABLE = (CONNECTION_END, "server closes")


@pytest.mark.parametrize("framing, way", CASES)
@pytest.mark.parametrize("version", VERSIONS)
def test_an_answer_that_broke_off_is_not_taken_for_whole(seam, version, framing, way):
    """Guards against an orderly end of a client's connection whose end delimits an answer that broke off."""
    client, sock, server = begun(seam, version, framing)
    WAYS[way](seam, client, sock, server)
    if (framing, way) == UNKNOWABLE and version == "1.1":
        seam.until(lambda: client.rpc is None)
        leave_in_half(sock)  # the connection is kept
    answer = received(seam, sock)
    assert answer.body == b"x" * 10 or answer.was_reset  # a reset may overtake what was sent before it
    assert (answer.verdict == WHOLE) == ((framing, way) == UNKNOWABLE)


@pytest.mark.parametrize("framing", SERVER_HEADS)
@pytest.mark.parametrize("version", VERSIONS)
def test_a_whole_answer_ends_in_order(seam, version, framing):
    client, sock, server = begun(seam, version, framing)
    server.sendall(REST[framing])
    if framing == CONNECTION_END:
        server.close()
    seam.until(lambda: client.rpc is None)
    if version == "1.1":
        leave_in_half(sock)  # the connection is kept
    answer = received(seam, sock)
    assert answer.verdict == WHOLE and answer.body == b"x" * 20 and not answer.was_reset


# ---- processes


@pytest.fixture
def field(tmp_path):
    field = Field(tmp_path, more=["wait drain 1s", "wait stream 1500ms"]).start()
    yield field
    field.close()


def kill_server(field):
    for process in field.standins:
        process.kill()


def stop_server(field):
    for process in field.standins:
        process.send_signal(signal.SIGSTOP)


def upgrade(field):
    field.process.send_signal(signal.SIGUSR2)


PROCESS_WAYS = {
    "server killed": kill_server,
    "server stopped": stop_server,
    "SIGTERM": lambda field: field.process.send_signal(signal.SIGTERM),
    "upgrade": upgrade,
    "sidecar killed": lambda field: field.process.kill(),
    "sidecar aborts": lambda field: field.process.send_signal(signal.SIGABRT),
}


@pytest.mark.parametrize("way", PROCESS_WAYS)
@pytest.mark.parametrize("version", VERSIONS)
def test_a_client_of_a_process_can_tell_that_its_answer_broke_off(field, version, way):
    """Guards against the same fault where a process dies, stops, is told to end or is replaced."""
    sock = field.raw(
        f"GET /vacancies/1 HTTP/{version}\r\nHost: t\r\nX-Act: chunks,drip=100,size=60000\r\n\r\n".encode()
    )
    first = sock.recv(1 << 16)
    eventually(lambda: len(sock.recv(1 << 16, socket.MSG_PEEK)) > 1000)
    PROCESS_WAYS[way](field)
    answer = receive(sock)
    assert first and answer.verdict != NO_ANSWER
    assert type(answer)(first + answer.data, answer.was_reset).verdict != WHOLE


# ---- a request that was read gets a final answer as long as nothing of another was sent


MALFORMED = SERVER_HEADS[CHUNKS] + b"no size\r\n"


def request_with(request, version):
    return request.replace(b"HTTP/1.1", b"HTTP/" + version.encode())


@pytest.mark.parametrize("version", VERSIONS)
def test_a_malformed_body_that_comes_with_its_head_is_answered(seam, version):
    """Guards against a close without a byte of an answer: the head was dropped with the body behind it."""
    sock, client = seam.client(request_with(RESERVE, version))
    server, _ = seam.asked()
    server.sendall(MALFORMED)
    seam.until(lambda: client.rpc is None)
    if version == "1.1":
        leave_in_half(sock)
    answer = received(seam, sock)
    assert answer.status == 502 and answer.verdict == WHOLE and not answer.was_reset


def test_an_idempotent_rpc_is_tried_again_after_a_malformed_body_until_its_deadline(seam):
    seam.pool.tables[0].retry_level = 3
    sock, client = seam.client(READ)
    for _ in range(2):
        server, _ = seam.asked()
        server.sendall(MALFORMED)
    seam.asked()
    seam.clock.by += 100_000  # beyond the deadline
    assert seam.said(sock).startswith(b"HTTP/1.1 504 ")


@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("behind", [b"", READ])
def test_an_rpc_without_an_answer_gets_one_at_the_end_of_the_drain(seam, version, behind):
    """Guards against a close without an answer as the process ends; the request behind it is not begun."""
    sock, client = seam.client(request_with(RESERVE, version) + behind)
    seam.asked()
    seam.end()
    answer = received(seam, sock)
    assert answer.status == 502 and answer.verdict == WHOLE and not answer.was_reset


def test_an_rpc_that_was_not_sent_is_told_so_at_the_end_of_the_drain(seam):
    seam.server.listen(0)
    fillers = [socket.socket() for _ in range(4)]  # fill the accept queue, so that a connect waits
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(seam.server.getsockname())
    sock, client = seam.client(RESERVE)
    seam.until(lambda: client.rpc is not None)
    assert client.rpc.upstream.stream.connecting
    seam.end()
    assert received(seam, sock).status == 503
    for filler in fillers:
        filler.close()
