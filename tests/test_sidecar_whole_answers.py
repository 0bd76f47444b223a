"""An answer that is whole reaches its client whole, whatever ends beside it."""

import socket

import pytest

from indigohitch.net.clock import SECOND
from indigohitch.sidecar.handover import SidecarHandover
from peers import reset
from received_answer import WHOLE, ReceivedAnswer, receive
from seam import OK, READ, RESERVE, come, readable
from slow_clients import (
    CHUNKS,
    CONNECTION_END,
    LENGTH,
    REQUEST,
    SIZE,
    VERSIONS,
    received,
    send,
    slow_client,
    use_up_memory,
    whole_answer,
)


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CONNECTION_END])
@pytest.mark.parametrize("version", VERSIONS)
@pytest.mark.parametrize("is_memory_used_up", [True, False])
def test_a_whole_answer_of_a_server_that_has_closed_reaches_a_slow_client(
    seam, version, framing, is_memory_used_up
):
    """Guards against losing the end of an answer for which the client's ring had no room at the close."""
    if is_memory_used_up:
        use_up_memory(seam)
    sock, client = slow_client(seam, REQUEST.format(version).encode())
    server, _ = seam.asked()
    send(seam, server, whole_answer(framing))
    server.close()
    upstream = client.rpc.upstream
    seam.until(lambda: not upstream.stream.open)
    answer = received(seam, sock, version)
    assert answer.verdict == WHOLE and answer.body == b"x" * SIZE
    assert seam.loop.pool.available == seam.host.text.limits["memory"]


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS])
@pytest.mark.parametrize("version", VERSIONS)
def test_a_whole_answer_of_a_server_that_has_reset_reaches_a_slow_client(seam, version, framing):
    """Guards against breaking off an answer that was received whole before the reset."""
    use_up_memory(seam)
    sock, client = slow_client(seam, REQUEST.format(version).encode())
    server, _ = seam.asked()
    send(seam, server, whole_answer(framing))
    upstream = client.rpc.upstream
    seam.until(lambda: len(upstream.stream.incoming) and not readable(upstream.stream.sock))
    reset(server)
    seam.until(lambda: not upstream.stream.open)
    answer = received(seam, sock, version)
    assert answer.verdict == WHOLE and answer.body == b"x" * SIZE


def test_a_body_that_arrives_with_a_long_head_is_forwarded_although_memory_is_used_up(seam):
    """Guards against an answer that stalls because its head leaves no room for the body."""
    use_up_memory(seam)
    sock, _ = seam.client(READ)
    server, _ = seam.asked()
    server.sendall((OK % (5, b"whole")).replace(b"OK\r\n", b"OK\r\nX-Long: " + b"y" * 4100 + b"\r\n"))
    assert received(seam, sock, "1.1").body == b"whole"


# ---- earlier answers on the same connection


@pytest.mark.parametrize("second", [READ, REQUEST.format("1.0").encode()])
def test_an_answer_that_breaks_off_leaves_the_one_before_it_whole(seam, second):
    """Guards against dropping an earlier answer that is queued when the next one breaks off."""
    sock, client = slow_client(seam, RESERVE + second)
    server, _ = seam.asked()
    send(seam, server, whole_answer(LENGTH, 30_000))  # fewer bytes than keep the next request waiting
    seam.until(lambda: client.rpc is None or client.rpc.head.method == "GET")
    data = b""
    if client.rpc is None:  # the next request waits until the first answer was received
        while len(data) < 30_000:
            data += seam.said(sock)
    server, _ = seam.asked(server)
    server.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
    seam.until(lambda: client.rpc.answer is not None)
    server.close()
    seam.until(lambda: client.rpc is None)
    rest = receive(sock, lambda: seam.said(sock))
    data += rest.data
    first_size = data.index(b"\r\n\r\n") + 4 + 30_000
    first = ReceivedAnswer(data[:first_size], False)
    assert first.verdict == WHOLE and first.body == b"x" * 30_000
    assert ReceivedAnswer(data[first_size:], rest.was_reset).verdict != WHOLE


def test_an_answer_is_never_left_out_between_two_others(seam):
    """Guards against the next answer in the place of one that did not fit into the memory limit."""
    use_up_memory(seam)
    paths = [b"/nowhere/" + b"%d" % number for number in range(400)]
    sock, client = slow_client(
        seam, b"".join(b"GET " + path + b" HTTP/1.1\r\nHost: t\r\n\r\n" for path in paths) + READ
    )
    seam.until(lambda: len(client.stream.outgoing))
    data = b""
    while data.count(b"\r\n\r\nno such route\n") < len(paths):
        data += seam.said(sock)
    server, _ = seam.asked()
    server.sendall((OK % (4, b"last")).replace(b"OK\r\n", b"OK\r\nX-Long: " + b"y" * 9000 + b"\r\n"))
    while not data.endswith(b"\r\n\r\nlast"):
        data += seam.said(sock)
    assert data.count(b"HTTP/1.1 404 ") == len(paths) and data.count(b"HTTP/1.1 200 ") == 1


@pytest.mark.parametrize("version", VERSIONS)
def test_what_was_sent_of_an_answer_is_delivered_before_it_breaks_off(seam, version):
    """Guards against a reset that discards the beginning, so that the client gets no answer at all."""
    sock, client = slow_client(seam, REQUEST.format(version).encode())
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    server, _ = seam.asked()
    send(seam, server, whole_answer(CHUNKS).removesuffix(b"0\r\n\r\n"))
    seam.until(lambda: client.rpc.answer is not None and client.rpc.answer.head.body.total == SIZE)
    server.close()
    seam.until(lambda: client.rpc is None)
    answer = receive(sock, lambda: seam.said(sock))
    assert answer.status == 200 and answer.body == b"x" * SIZE and answer.verdict != WHOLE
    assert answer.was_reset == (version == "1.0")


# ---- a lingering close


def test_a_client_that_reads_on_keeps_the_end_of_its_answer_although_it_still_sends(seam):
    """Guards against a reset within the end of an answer that takes longer than the linger time."""
    sock, client = slow_client(seam, REQUEST.format("1.0").encode())
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    server, _ = seam.asked()
    server.sendall(whole_answer(LENGTH, 100_000))
    seam.until(lambda: client.lingering)
    data = b""
    for _ in range(12):
        data += sock.recv(4096)
        seam.pass_sweeps(1)
        sock.send(b"x")
    while part := seam.said(sock):
        data += part
    assert ReceivedAnswer(data, False).body == b"x" * 100_000


# ---- an upgrade


def test_a_connection_that_no_process_takes_over_is_closed_behind_its_whole_answer(seam):
    """Guards against a reset, by unread input, of an answer on its way as an upgrade fails to pass it."""
    sock, client = slow_client(seam, READ)
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    server, _ = seam.asked()
    send(seam, server, whole_answer(LENGTH, 100_000))
    seam.until(lambda: client.is_idle)
    sock.send(READ[:10])
    come(client.stream.sock)  # unread
    handover = SidecarHandover(seam.host, lambda: None, lambda listener: None, lambda: None)
    handover.drain(lambda connection: False)
    answer = receive(sock)
    assert answer.verdict == WHOLE and answer.body == b"x" * 100_000 and not answer.was_reset


# ---- a client that does not read


@pytest.mark.parametrize("framing", [LENGTH, CHUNKS, CONNECTION_END])
@pytest.mark.parametrize("version", VERSIONS)
def test_what_a_client_left_unread_for_too_long_is_not_taken_for_whole(seam, version, framing):
    """Guards against an orderly end where the rest of an answer that was received whole is dropped."""
    seam.host.text.waits["stream"] = SECOND
    sock, client = slow_client(seam, REQUEST.format(version).encode())
    server, _ = seam.asked()
    send(seam, server, whole_answer(framing))
    server.close()
    seam.until(lambda: client.rpc is None and len(client.stream.outgoing))
    seam.pass_sweeps(4)
    assert not client.stream.open
    assert receive(sock).verdict != WHOLE
