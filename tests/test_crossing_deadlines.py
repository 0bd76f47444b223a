"""An answer or a connect of our own client that meets its deadline, on one loop turned by hand."""

import fcntl
import socket
import sys
import termios

import pytest

from indigohitch.net.clock import SECOND
from seam import OK, Wire


@pytest.fixture
def wire():
    found = Wire()
    yield found
    found.close()


def held(sock):
    """Bytes that the kernel holds unread."""
    return int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(4)), sys.byteorder)


@pytest.mark.parametrize("size", [1, 150_000])
def test_an_answer_that_is_there_in_the_turn_of_its_deadline_counts(wire, size):
    """Also one that a single turn does not read to its end."""
    wire.ask()
    connection = next(iter(wire.client.exchanges)).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    peer = wire.accepted()
    answer = OK % (size, b"x" * size)
    peer.sendall(answer)
    while held(connection.sock) < len(answer):
        pass
    wire.loop.clock.by += 20 * SECOND
    wire.loop.turn()
    assert wire.answered(1).outcome == "answered" and len(wire.answers[0].body) == size


@pytest.mark.parametrize("size", [0, 20, 300])
def test_an_answer_after_its_deadline_is_nobodys(wire, size):
    """Silent, or broken off after a part: the next request has a connection of its own."""
    wire.ask()
    peer = wire.accepted()
    peer.sendall((OK % (400, b"x" * 400))[:size])
    wire.loop.clock.by += 20 * SECOND
    assert wire.answered(1).outcome == "timeout" and len(wire.answers) == 1
    with pytest.raises(OSError):
        while True:  # reset: nobody reads there any more
            peer.sendall(OK % (5, b"other"))
    wire.ask()
    wire.accepted().sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2"


def test_a_peer_that_never_stops_is_given_up_nevertheless(wire):
    wire.client.request("GET", "/", SECOND, wire.answers.append)
    connection = next(iter(wire.client.exchanges)).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    peer = wire.accepted()
    peer.sendall(b"HTTP/1.1 200 OK\r\n")
    wire.loop.clock.by += SECOND
    for _ in range(200):
        while not wire.answers and held(connection.sock) < 100_000:  # more than a turn reads
            peer.sendall(b"X-More: %b\r\n" % (b"x" * 30_000))
        wire.loop.clock.by += SECOND // 100
        if not wire.answers:
            wire.loop.turn()
    assert wire.answers and wire.answers[0].outcome == "timeout"


def test_a_connect_that_is_through_in_the_turn_of_its_deadline_counts(wire):
    wire.ask()
    wire.loop.clock.by += SECOND  # the span for it is over, and it has come up
    wire.accepted().sendall(OK % (1, b"1"))
    assert wire.answered(1).outcome == "answered" and len(wire.peers) == 1
