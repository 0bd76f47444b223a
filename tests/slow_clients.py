"""Clients that read slowly, servers' answers of each framing, and what the clients receive."""

from __future__ import annotations

import socket

from received_answer import WHOLE, ReceivedAnswer, receive
from seam import OK

LENGTH, CHUNKS, CONNECTION_END = "length", "chunks", "end of the connection"
REQUEST = "GET /a/1 HTTP/{}\r\nHost: t\r\n\r\n"
VERSIONS = ["1.0", "1.1"]
SIZE = 60_000  # bytes of a body; less than the ring of a server connection
SMALL_BUFFER = 4096  # bytes of a socket buffer


def use_up_memory(seam):
    """Leaves no memory to the rings of clients beyond their first blocks, as many slow readers would."""
    assert seam.host.memory.take(seam.host.memory.available)


def slow_client(seam, request):
    """Returns a client that has not read anything, with small socket buffers."""
    sock, client = seam.client(buffer=SMALL_BUFFER)
    client.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    sock.sendall(request)
    return sock, client


def whole_answer(framing, size=SIZE):
    """Returns an answer of a server; one that the end of the connection ends has no other framing."""
    body = b"x" * size
    if framing == LENGTH:
        return OK % (size, body)
    if framing == CHUNKS:
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, body)
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


def send(seam, server, data):
    """Sends all data as the sidecar reads it; returns once it was sent."""
    server.setblocking(False)
    while data:
        try:
            data = data[server.send(data) :]
        except BlockingIOError:
            seam.turn()


def received(seam, sock, version):
    """Returns what the client receives; over HTTP/1.1 up to the end of one answer: the connection is kept."""
    if version == "1.0":
        return receive(sock, lambda: seam.said(sock))
    data = b""
    while not (answer := ReceivedAnswer(data, False)).verdict == WHOLE:
        part = seam.said(sock)
        if not part:
            return answer
        data += part
    return answer
