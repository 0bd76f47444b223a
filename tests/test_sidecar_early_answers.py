"""An early answer, given while the request still comes, and the reset that its server sends behind it."""

import socket

from indigohitch.net.ring_buffer import RingBuffer
from indigohitch.sidecar.delivery import unacknowledged_byte_count
from peers import reset
from received_answer import WHOLE, receive
from seam import READ, RESERVE, come
from slow_clients import (
    LENGTH,
    SMALL_BUFFER,
    received,
    send,
    slow_client,
    use_up_memory,
    whole_answer,
)


def refuse_early(seam):
    """Returns a slow client that still sends, its object, and its server, which reads nothing of the body."""
    seam.server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    sock, client = slow_client(seam, RESERVE.replace(b"Length: 0", b"Length: 40000000"))
    sock.setblocking(False)
    server, _ = seam.asked()
    stream = client.rpc.upstream.stream
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)

    def is_blocked():
        try:
            sock.send(b"x" * 100_000)
        except BlockingIOError:
            pass
        return len(stream.outgoing)

    seam.until(is_blocked)
    return sock, client, server


def test_an_early_answer_larger_than_the_ring_outlives_the_reset_after_it(seam):
    """Guards against discarding what the kernel holds of an answer when a write to its server fails."""
    use_up_memory(seam)  # the rings hold less of the answer than the kernel has received
    sock, client, server = refuse_early(seam)
    stream = client.rpc.upstream.stream
    send(seam, server, whole_answer(LENGTH, 100_000))
    seam.until(lambda: stream.reading_paused and not unacknowledged_byte_count(server))
    server.close()  # with the body unread: a reset
    sock.settimeout(10)
    answer = received(seam, sock, "1.1")
    assert not stream.open and answer.verdict == WHOLE and answer.body == b"x" * 100_000


def test_an_answer_without_length_is_not_whole_if_a_reset_was_met_while_writing(seam):
    """Guards against taking the end of the data after a failed write for the end of an answer."""
    sock, client, server = refuse_early(seam)
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    server.sendall(head + b"x" * (2 * RingBuffer.FIRST_BLOCK - len(head)))  # read in two full blocks
    come(client.rpc.upstream.stream.sock)
    server.close()  # with the body unread: a reset
    sock.settimeout(10)
    assert receive(sock, lambda: seam.said(sock)).verdict != WHOLE


def test_an_answer_without_length_is_whole_if_the_server_ended_it_before_the_reset(seam):
    """Guards against taking an orderly end for a reset because later data of the request was rejected."""
    sock, client, server = refuse_early(seam)
    server.sendall(b"HTTP/1.1 200 OK\r\n\r\nwhole")
    server.shutdown(socket.SHUT_WR)
    come(client.rpc.upstream.stream.sock)
    server.close()
    sock.settimeout(10)
    assert receive(sock, lambda: seam.said(sock)).body == b"whole"


def test_two_writes_that_fail_in_one_turn_leave_a_reset_a_reset(seam):
    """Guards against the error of the second write, which says less, in the place of the reset."""
    sock, client = seam.client(READ)
    server, _ = seam.asked()
    stream = client.rpc.upstream.stream
    server.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    come(stream.sock)
    reset(server)
    stream.write(b"one")
    stream.write(b"two")
    assert receive(sock, lambda: seam.said(sock)).verdict != WHOLE
