"""An RPC on which two things meet: its answer, its deadline, the end of its connection, another's bytes."""
import socket

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
    seam.pool.tables[0].tries = 3                   # whatever the orders say
    sock.sendall(RESERVE)
    server, _ = seam.asked(server)
    at = client.rpc.upstream.stream.sock
    ends(server, how)
    come(at)
    seam.turn()
    seam.turn()                                     # after a part: the end is read in the next
    assert readable(sock) and sock.recv(4096).startswith(b"HTTP/1.1 502 ")
    assert not readable(seam.server) and not seam.idle


def test_a_reservation_never_takes_a_connection_that_shows_its_end(seam):
    sock, client, server = seam.kept()
    sock.sendall(RESERVE)
    come(client.stream.sock)                        # made ready first: it is met first
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
    assert len(first) == 4096                       # as much as is read at once
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
