"""Responses and connects that complete in the turn of their deadline, on a loop that the test runs."""

import fcntl
import socket
import sys
import termios

import pytest

from indigohitch.net.clock import SECOND
from seam import OK, Wire


@pytest.fixture
def wire():
    wire = Wire()
    yield wire
    wire.close()


def unread_bytes(sock):
    """Returns how many received bytes the kernel buffers."""
    return int.from_bytes(fcntl.ioctl(sock, termios.FIONREAD, bytes(4)), sys.byteorder)


@pytest.mark.parametrize("size", [1, 150_000])
def test_a_response_received_before_its_deadline_counts_in_the_turn_of_the_deadline(wire, size):
    """One turn reads less than 150,000 bytes, so the exchange once timed out with data in the kernel."""
    wire.ask()
    connection = next(iter(wire.client.exchanges)).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    peer = wire.accepted()
    response = OK % (size, b"x" * size)
    peer.sendall(response)
    while unread_bytes(connection.sock) < len(response):
        pass
    wire.loop.clock.by += 20 * SECOND
    wire.loop.turn()
    assert wire.answered(1).outcome == "answered" and len(wire.answers[0].body) == size


@pytest.mark.parametrize("size", [0, 20, 300])
def test_a_response_after_its_deadline_is_discarded(wire, size):
    """The peer sends nothing or only a part before; the next request uses a connection of its own."""
    wire.ask()
    peer = wire.accepted()
    peer.sendall((OK % (400, b"x" * 400))[:size])
    wire.loop.clock.by += 20 * SECOND
    assert wire.answered(1).outcome == "timeout" and len(wire.answers) == 1
    with pytest.raises(OSError):
        while True:  # the closed connection resets
            peer.sendall(OK % (5, b"other"))
    wire.ask()
    wire.accepted().sendall(OK % (1, b"2"))
    assert wire.answered(2).body == b"2"


def test_a_peer_that_never_stops_sending_times_out(wire):
    wire.client.request("GET", "/", SECOND, wire.answers.append)
    connection = next(iter(wire.client.exchanges)).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    peer = wire.accepted()
    peer.sendall(b"HTTP/1.1 200 OK\r\n")
    wire.loop.clock.by += SECOND
    for _ in range(200):
        while not wire.answers and unread_bytes(connection.sock) < 100_000:  # more than a turn reads
            peer.sendall(b"X-More: %b\r\n" % (b"x" * 30_000))
        wire.loop.clock.by += SECOND // 100
        if not wire.answers:
            wire.loop.turn()
    assert wire.answers and wire.answers[0].outcome == "timeout"


def test_a_connect_established_in_the_turn_of_its_deadline_counts(wire):
    wire.ask()
    wire.loop.clock.by += SECOND  # past the connect deadline, but the kernel has established the connection
    wire.accepted().sendall(OK % (1, b"1"))
    assert wire.answered(1).outcome == "answered" and len(wire.peers) == 1
