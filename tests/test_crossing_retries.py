"""An RPC on which two things meet: its answer, its deadline, the end of its connection, another's bytes."""

import socket
from dataclasses import replace

import pytest

from peers import reset
from seam import OK, READ, RESERVE, Seam, come, readable


@pytest.fixture
def seam():
    found = Seam()
    yield found
    found.close()


def ends(sock, how):
    """The server lets go of a connection."""
    if how == "reset":
        reset(sock)
    else:
        sock.sendall({"part": b"HTTP/1.1 200 OK\r\nConte", "end": b""}[how])
        sock.close()


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("how", ["end", "part", "reset"])
def test_a_reservation_goes_out_once_whatever_its_connection_does(seam, kept, how):
    """And the client hears in the turn that shows it."""
    sock, client, server = seam.kept() if kept else (*seam.client(), None)
    seam.pool.tables[0].retry_level = 3  # whatever the orders say
    sock.sendall(RESERVE)
    server, _ = seam.asked(server)
    at = client.rpc.upstream.stream.sock
    ends(server, how)
    come(at)
    seam.turn()
    seam.turn()  # after a part: the end is read in the next
    assert readable(sock) and sock.recv(4096).startswith(b"HTTP/1.1 502 ")
    assert not readable(seam.server) and not seam.idle


@pytest.mark.parametrize("how, again", [("end", True), ("reset", True), ("part", False)])
def test_what_may_run_twice_goes_again_where_a_kept_connection_ended_without_a_byte(seam, how, again):
    """By a reset too: the server closed with the RPC unread.  On a new connection it is the server's end."""
    sock, _, server = seam.kept()
    sock.sendall(READ)
    for _ in range(2 if again else 1):
        server, _ = seam.asked(server)
        ends(server, how)
        server = None
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_a_new_connection_that_ends_has_ended_on_the_rpc(seam):
    sock, _ = seam.client(READ)
    server, _ = seam.asked()
    server.close()
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_a_kept_connection_that_ends_later_has_ended_on_the_rpc(seam):
    """The level of further tries is for proof only: it has run for a while, perhaps."""
    sock, client, server = seam.kept()
    sock.sendall(READ)
    seam.asked(server)
    seam.clock.by += 10_000
    server.close()
    assert seam.said(sock).startswith(b"HTTP/1.1 502 ") and not readable(seam.server)


def test_a_reservation_never_takes_a_connection_that_shows_its_end(seam):
    sock, client, server = seam.kept()
    sock.sendall(RESERVE)
    come(client.stream.sock)  # made ready first: it is met first
    server.close()
    come(seam.idle[0].stream.sock)
    other, request = seam.asked()
    assert request.startswith(b"POST /r/1 ")
    other.sendall(OK % (1, b"2"))
    assert seam.said(sock).endswith(b"\r\n\r\n2")


def test_bytes_that_nobody_asked_for_are_no_answer_to_the_next(seam):
    """A second answer lies in the kernel as the next RPC takes the connection."""
    sock, _ = seam.client(READ + READ)
    server, _ = seam.asked()
    first = OK.replace(b"%d", b"%04d") % (4096 - 41, b"x" * (4096 - 41))
    assert len(first) == 4096  # as much as is read at once
    server.sendall(first + OK % (5, b"other"))
    other, _ = seam.asked()
    other.sendall(OK % (1, b"2"))
    found = b""
    while not found.endswith(b"\r\n\r\n2"):
        found += seam.said(sock)
    assert b"other" not in found


def test_an_empty_body_in_chunks_is_whole_at_the_second_try_too(seam):
    """The kept connection ends as the RPC goes out: it may go again, and with its last chunk."""
    sock, _, server = seam.kept()
    sock.sendall(b"POST /a/1 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
    _, first = seam.asked(server)
    server.close()
    other, second = seam.asked()
    assert first == second and second.endswith(b"\r\n\r\n0\r\n\r\n")
    other.sendall(OK % (1, b"2"))
    assert seam.said(sock).endswith(b"\r\n\r\n2")


@pytest.mark.parametrize("request_", [READ, RESERVE])
def test_an_answer_that_is_there_in_the_turn_of_the_deadline_counts(seam, request_):
    sock, client = seam.client(request_)
    server, _ = seam.asked()
    server.sendall(OK % (1, b"1"))
    come(client.rpc.upstream.stream.sock)
    seam.clock.by += 100_000
    seam.turn()
    assert readable(sock) and sock.recv(4096).endswith(b"\r\n\r\n1")


@pytest.mark.parametrize("piece", [1_000_000, 1000])
def test_an_early_answer_counts_though_the_rest_of_the_request_meets_a_reset(seam, piece):
    """The server refuses the body and closes with some of it unread: its answer is there before the reset."""
    seam.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock, client = seam.client(RESERVE.replace(b"Length: 0", b"Length: 40000000"))
    sock.setblocking(False)
    server, _ = seam.asked()
    stream = client.rpc.upstream.stream
    if piece > 1000:
        stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

        def stuck():
            """The body waits in the ring for the server to read."""
            try:
                sock.send(b"x" * piece)
            except BlockingIOError:
                pass
            return len(stream.outgoing)

        seam.until(stuck)
    else:
        sock.send(b"x" * piece)
        come(client.stream.sock)  # met first, and then the server's
        seam.turn()
        sock.send(b"x" * piece)
        come(client.stream.sock)
    server.sendall(b"HTTP/1.1 413 No\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno")
    server.close()
    seam.turn()
    assert seam.said(sock).startswith(b"HTTP/1.1 413 ") and not readable(seam.server)


def test_a_late_answer_is_never_another_rpcs(seam):
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


def test_a_repeat_of_the_client_is_an_rpc_of_its_own(seam):
    """The first is still in flight: neither waits for the other, gets its answer or ends it."""
    (one, _), (two, _) = seam.client(RESERVE), seam.client(RESERVE)
    (first, _), (second, _) = seam.asked(), seam.asked()
    second.sendall(OK % (1, b"2"))
    assert seam.said(two).endswith(b"2")
    first.sendall(OK % (1, b"1"))
    assert seam.said(one).endswith(b"1")


def test_who_spoke_while_the_process_stood_still_was_not_silent(seam):
    """The sweep is due in the turn that reads it."""
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
def test_a_server_that_moves_while_an_rpc_is_out_at_it(seam, withdrawn):
    """The answer from the old address counts, and every next RPC goes to the new one, as the orders stand."""
    sock, _, _ = seam.kept()
    sock.sendall(READ)
    seam.turn()
    found = seam.pool.servers["n1"]
    old, seam.server = seam.server, socket.create_server(("127.0.0.1", 0))
    server = seam.socks[-1]  # of the kept connection
    found.withdrawn = withdrawn
    seam.pool.update_servers({"n1": replace(seam.pool.text.servers["n1"], address=seam.server.getsockname())})
    seam.asked(server)
    server.sendall(OK % (1, b"1"))
    assert seam.said(sock).endswith(b"\r\n\r\n1")
    assert not found.idle and all(found not in table.servers for table in seam.pool.tables)
    sock.sendall(READ)
    if withdrawn:
        assert seam.said(sock).startswith(b"HTTP/1.1 503 ")
    else:
        other, _ = seam.asked()
        other.sendall(OK % (1, b"2"))
        assert seam.said(sock).endswith(b"\r\n\r\n2")
    assert not readable(old) and seam.pool.servers["n1"].held == 0
    old.close()
