"""Races on an idle client connection: the next request against its end or against unrequested bytes.

One event loop in this process, turned step by step, with a peer whose bytes the test writes.
"""

import select
import socket

import pytest

from seam import OK, Wire, readable


@pytest.fixture
def wire():
    wire = Wire()
    yield wire
    wire.close()


def idle_connection(wire):
    wire.ask()
    peer = wire.accepted()
    peer.sendall(OK % (1, b"1"))
    assert wire.answered(1).body == b"1" and wire.client._idle is not None
    return peer


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("arrives", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"])
def test_a_request_never_uses_a_connection_with_unread_data_or_its_end(wire, method, arrives):
    peer = idle_connection(wire)
    if arrives:
        peer.sendall(arrives)
    else:
        peer.shutdown(socket.SHUT_WR)
    wire.come()
    wire.ask(method, b"x" if method == "POST" else b"")  # before the turn in which the loop would see it
    other = wire.accepted()
    other.sendall(OK % (1, b"2"))
    assert wire.answered(2).outcome == "answered" and wire.answers[1].body == b"2"
    assert len(wire.peers) == 2


def test_an_idle_connection_serves_the_next_request(wire):
    peer = idle_connection(wire)
    wire.ask()
    wire.heard(peer).sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2" and len(wire.peers) == 1


@pytest.mark.parametrize("bytes_first", [0, 20, 40])
def test_a_post_whose_connection_ends_is_not_sent_again(wire, bytes_first):
    """The connection was open when the request was sent: the server may have executed it."""
    peer = idle_connection(wire)
    wire.ask()
    wire.heard(peer).sendall((OK % (9, b"12345"))[:bytes_first])
    peer.close()
    assert wire.answered(2).outcome == "reset" and not readable(wire.listener)


def test_a_get_whose_connection_ends_is_repeated_unless_a_byte_was_received(wire):
    peer = idle_connection(wire)
    wire.ask("GET", b"")
    wire.heard(peer).close()
    other = wire.accepted()
    other.sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2"
    wire.ask("GET", b"")
    wire.heard(other).sendall(b"HTTP/1.1 200")
    other.shutdown(socket.SHUT_WR)
    assert wire.answered(3).outcome == "reset" and not readable(wire.listener)


@pytest.mark.parametrize("pieces", [1, 2])
@pytest.mark.parametrize("behind", [b"junk\r\n\r\n", OK % (5, b"other"), b"\0"])
def test_bytes_after_a_complete_answer_only_end_the_connection(wire, behind, pieces):
    """In the same read or later: the answer counts, and the next request uses a new connection."""
    wire.ask()
    peer = wire.accepted()
    if pieces == 1:
        peer.sendall(OK % (1, b"1") + behind)
    else:
        peer.sendall(OK % (1, b"1"))
        wire.answered(1)
        peer.sendall(behind)
        wire.come()
    first = wire.answered(1)
    assert (first.outcome, first.status, first.body) == ("answered", 200, b"1")
    wire.ask()
    wire.accepted().sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2"


@pytest.mark.parametrize("together", [True, False])
def test_an_interim_answer_is_not_the_answer(wire, together):
    """If it were taken as the answer, the final one would be read as the answer to the next request."""
    wire.ask()
    peer = wire.accepted()
    for status in (b"100 Continue", b"103 Early Hints"):
        peer.sendall(b"HTTP/1.1 %b\r\n\r\n" % status)
        if not together:
            connection = next(iter(wire.client.exchanges)).connection
            assert select.select([connection.sock], [], [], 10)[0]
            wire.loop.turn()
            assert not wire.answers
    peer.sendall(OK % (1, b"1"))
    assert wire.answered(1).status == 200 and wire.answers[0].body == b"1"
    wire.ask()
    wire.heard(peer).sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2" and len(wire.peers) == 1


@pytest.mark.parametrize("upgrade", [b"", b"Connection: upgrade\r\nUpgrade: x\r\n"])
def test_an_unrequested_switch_of_protocols_is_no_answer(wire, upgrade):
    """A status below 400 would count as success."""
    wire.ask()
    wire.accepted().sendall(b"HTTP/1.1 101 Switching Protocols\r\n%b\r\n" % upgrade)
    assert wire.answered(1).outcome == "unreadable" and wire.client._idle is None


@pytest.mark.parametrize("head", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_an_end_before_the_final_answer_is_a_reset(wire, head):
    wire.ask()
    peer = wire.accepted()
    peer.sendall(head)
    peer.shutdown(socket.SHUT_WR)
    assert wire.answered(1).outcome == "reset"


@pytest.mark.parametrize(
    "answer, keeps",
    [
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1", False),
        (b"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n1", False),
        (b"HTTP/1.1 204 No Content\r\n\r\n", True),
        (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", True),
    ],
)
def test_only_a_persistent_connection_is_kept(wire, answer, keeps):
    wire.ask("GET", b"")
    wire.accepted().sendall(answer)
    assert wire.answered(1).outcome == "answered" and (wire.client._idle is not None) == keeps


def test_the_idle_timeout_never_closes_a_connection_under_a_request(wire):
    """Both happen in one turn: in either order, no request is written to a closed connection."""
    peer = idle_connection(wire)
    close = wire.client._deadline
    assert close.action is not None
    wire.ask()
    assert close.action is None  # a close that is due in this turn is cancelled
    wire.heard(peer).sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2"
    wire.client._deadline.action()
    assert wire.client._idle is None
    wire.ask()
    wire.accepted().sendall(OK % (1, b"3"))
    assert wire.answered(3).body == b"3"


def test_an_answer_before_the_whole_request_was_sent_ends_the_connection(wire):
    wire.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    wire.ask(body=b"x" * 1_000_000)
    connection = next(iter(wire.client.exchanges)).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    peer = wire.accepted()
    peer.sendall(OK % (1, b"1"))
    assert wire.answered(1).outcome == "answered"
    assert not connection.open and wire.client._idle is None
