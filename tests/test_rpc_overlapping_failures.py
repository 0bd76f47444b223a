"""Overlapping events of one RPC: its answer, its deadline, the end of its connection, unrequested bytes."""

import socket
from dataclasses import replace

import pytest

from peers import reset
from seam import OK, READ, RESERVE, come, readable


def end_connection(sock, how):
    """Ends a server connection by a reset, after part of an answer, or without a byte."""
    if how == "reset":
        reset(sock)
    else:
        sock.sendall({"part": b"HTTP/1.1 200 OK\r\nConte", "end": b""}[how])
        sock.close()


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("how", ["end", "part", "reset"])
def test_a_reservation_is_sent_once_however_its_connection_ends(seam, kept, how):
    """The client gets its answer in the turn that sees the end of the connection."""
    sock, client, server = seam.kept() if kept else (*seam.client(), None)
    seam.pool.tables[0].retry_level = 3  # even the highest retry level must not repeat it
    sock.sendall(RESERVE)
    server, _ = seam.asked(server)
    upstream_sock = client.rpc.upstream.stream.sock
    end_connection(server, how)
    come(upstream_sock)
    seam.turn()
    seam.turn()  # after part of an answer, the end is read in the next turn
    assert readable(sock) and sock.recv(4096).startswith(b"HTTP/1.1 502 ")
    assert not readable(seam.server) and not seam.idle


@pytest.mark.parametrize("how, again", [("end", True), ("reset", True), ("part", False)])
def test_an_idempotent_rpc_is_repeated_if_an_idle_connection_ended_without_a_byte(seam, how, again):
    """A reset too: the server closed with the RPC unread.  On a new connection the RPC may have run."""
    sock, _, server = seam.kept()
    sock.sendall(READ)
    for _ in range(2 if again else 1):
        server, _ = seam.asked(server)
        end_connection(server, how)
        server = None
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_an_rpc_is_not_repeated_if_a_new_connection_ends(seam):
    sock, _ = seam.client(READ)
    server, _ = seam.asked()
    server.close()
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_an_rpc_is_not_repeated_if_a_reused_connection_ends_later(seam):
    """Only an immediate close proves that nothing ran; after a while the RPC may have run."""
    sock, client, server = seam.kept()
    sock.sendall(READ)
    seam.asked(server)
    seam.clock.by += 10_000
    server.close()
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_a_reservation_never_uses_a_connection_that_has_ended(seam):
    sock, client, server = seam.kept()
    sock.sendall(RESERVE)
    come(client.stream.sock)  # ready first, so the loop handles it first
    server.close()
    come(seam.idle[0].stream.sock)
    other, request = seam.asked()
    assert request.startswith(b"POST /r/1 ")
    other.sendall(OK % (1, b"2"))
    assert seam.said(sock).endswith(b"\r\n\r\n2")


def test_unrequested_bytes_are_not_the_answer_to_the_next_rpc(seam):
    """A second answer is in the kernel when the next RPC would use the connection."""
    sock, _ = seam.client(READ + READ)
    server, _ = seam.asked()
    first = OK.replace(b"%d", b"%04d") % (4096 - 41, b"x" * (4096 - 41))
    assert len(first) == 4096  # the size of one read
    server.sendall(first + OK % (5, b"other"))
    other, _ = seam.asked()
    other.sendall(OK % (1, b"2"))
    data = b""
    while not data.endswith(b"\r\n\r\n2"):
        data += seam.said(sock)
    assert b"other" not in data


def test_an_empty_chunked_body_is_complete_in_the_second_attempt(seam):
    """The idle connection ends as the RPC is sent: the RPC is repeated, including its last chunk."""
    sock, _, server = seam.kept()
    sock.sendall(b"POST /a/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
    _, first = seam.asked(server)
    server.close()
    other, second = seam.asked()
    assert first == second and second.endswith(b"\r\n\r\n0\r\n\r\n")
    other.sendall(OK % (1, b"2"))
    assert seam.said(sock).endswith(b"\r\n\r\n2")


@pytest.mark.parametrize("request_", [READ, RESERVE])
def test_an_answer_that_arrived_in_the_turn_of_the_deadline_counts(seam, request_):
    sock, client = seam.client(request_)
    server, _ = seam.asked()
    server.sendall(OK % (1, b"1"))
    come(client.rpc.upstream.stream.sock)
    seam.clock.by += 100_000
    seam.turn()
    assert readable(sock) and sock.recv(4096).endswith(b"\r\n\r\n1")


@pytest.mark.parametrize("piece", [1_000_000, 1000])
def test_an_early_answer_counts_although_the_rest_of_the_request_is_reset(seam, piece):
    """The server refuses the body and closes with some of it unread: its answer arrives before the reset."""
    seam.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock, client = seam.client(RESERVE.replace(b"Length: 0", b"Length: 40000000"))
    sock.setblocking(False)
    server, _ = seam.asked()
    stream = client.rpc.upstream.stream
    if piece > 1000:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

        def is_blocked():
            """Sends more of the body; returns whether some of it waits in the ring for the server."""
            try:
                sock.send(b"x" * piece)
            except BlockingIOError:
                pass
            return len(stream.outgoing)

        seam.until(is_blocked)
    else:
        sock.send(b"x" * piece)
        come(client.stream.sock)  # handled before the server's socket
        seam.turn()
        sock.send(b"x" * piece)
        come(client.stream.sock)
    server.sendall(b"HTTP/1.1 413 No\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno")
    server.close()
    seam.turn()
    assert seam.said(sock).startswith(b"HTTP/1.1 413 ") and not readable(seam.server)


def test_a_late_answer_is_never_read_as_that_of_another_rpc(seam):
    sock, client = seam.client(READ)
    server, _ = seam.asked()
    seam.clock.by += 100_000
    seam.turn()
    assert readable(sock) and sock.recv(4096).startswith(b"HTTP/1.1 504 ")
    try:
        server.sendall(OK % (5, b"other"))
    except OSError:
        pass
    sock.sendall(READ)
    other, _ = seam.asked()
    other.sendall(OK % (1, b"2"))
    assert seam.said(sock).endswith(b"\r\n\r\n2")


def test_a_request_repeated_by_its_client_is_a_separate_rpc(seam):
    """While the first is in flight, neither waits for the other, gets its answer or ends it."""
    (one, _), (two, _) = seam.client(RESERVE), seam.client(RESERVE)
    (first, _), (second, _) = seam.asked(), seam.asked()
    second.sendall(OK % (1, b"2"))
    assert seam.said(two).endswith(b"2")
    first.sendall(OK % (1, b"1"))
    assert seam.said(one).endswith(b"1")


def test_a_client_that_sent_data_during_a_stall_is_not_too_slow(seam):
    """The sweep is due in the turn that reads the data, after a stall of the process."""
    half, _ = seam.client(READ[:10])
    slow, client = seam.client(READ[:10])
    seam.until(lambda: len(client.stream.incoming) == 10)
    seam.clock.by += 600_000
    half.sendall(READ[10:])
    seam.turn()
    seam.turn()
    server, _ = seam.asked()
    server.sendall(OK % (1, b"1"))
    slow.sendall(READ[10:])
    seam.asked(server)
    server.sendall(OK % (1, b"2"))
    assert seam.said(half).endswith(b"1") and seam.said(slow).endswith(b"2")
    assert "client_too_slow" not in seam.host.log.counts


@pytest.mark.parametrize("withdrawn", [False, True])
def test_a_server_may_change_its_address_while_an_rpc_is_in_flight(seam, withdrawn):
    """The answer from the old address counts; later RPCs use the new one, if the server is not withdrawn."""
    sock, _, _ = seam.kept()
    sock.sendall(READ)
    seam.turn()
    moved = seam.pool.servers["n1"]
    old, seam.server = seam.server, socket.create_server(("127.0.0.1", 0))
    server = seam.socks[-1]  # its idle connection
    moved.withdrawn = withdrawn
    seam.pool.update_servers({"n1": replace(seam.pool.text.servers["n1"], address=seam.server.getsockname())})
    seam.asked(server)
    server.sendall(OK % (1, b"1"))
    assert seam.said(sock).endswith(b"\r\n\r\n1")
    assert not moved.idle and all(moved not in table.servers for table in seam.pool.tables)
    sock.sendall(READ)
    if withdrawn:
        assert seam.said(sock).startswith(b"HTTP/1.1 503 ")
    else:
        other, _ = seam.asked()
        other.sendall(OK % (1, b"2"))
        assert seam.said(sock).endswith(b"\r\n\r\n2")
    assert not readable(old) and seam.pool.servers["n1"].held == 0
    old.close()
