"""HTTP/1.1 as the stand-ins of a soak serve it, on the project's loop; answers may be withheld."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import httptools

from indigohitch.net.connection import Connection
from indigohitch.net.listener import Listener
from indigohitch.net.loop import EventLoop

Asked = Callable[["Peer", str, str, str], None]  # who asks, method, target, body
MOST = 4 << 20  # bytes that a request may hold


class Peer:
    """One accepted connection: the reader of its bytes, and where its answers go."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.connection: Connection | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.body = b"", bytearray()

    @property
    def open(self) -> bool:
        return self.connection is not None and self.connection.open

    def write(self, data: bytes) -> None:
        if self.open:
            self.connection.write(data)

    def answer(self, body: str, status: str = "200 OK") -> None:
        data = body.encode()
        self.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)

    def end(self) -> None:
        if self.open:
            self.connection.close()
        self.server.peers.discard(self)

    def reset(self) -> None:
        if self.open:
            linger = struct.pack("ii", 1, 0)
            self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self.connection.close("reset")
        self.server.peers.discard(self)

    # ---- what the connection and the parser tell

    def on_connected(self, connection: Connection) -> None: ...

    def on_data(self, connection: Connection) -> None:
        try:
            self.parser.feed_data(connection.incoming.take())
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()

    def on_closed(self, connection: Connection, why: str) -> None:
        self.server.peers.discard(self)
        self.server.left(self)

    def on_message_begin(self) -> None:
        self.target, self.body = b"", bytearray()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        self.server.asked(self, method, self.target.decode(), self.body.decode())


class Server:
    """Listens on loopback; its port stays its own while it is closed for a move."""

    def __init__(
        self, loop: EventLoop, asked: Asked, left: Callable[[Peer], None] = lambda peer: None
    ) -> None:
        self.loop, self.asked, self.left = loop, asked, left
        self.peers: set[Peer] = set()
        self.listener = Listener(loop, ("127.0.0.1", 0), self._greet, lambda why: None)
        self.port = self.listener.sock.getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def _greet(self, sock: socket.socket) -> bool:
        peer = Peer(self)
        peer.connection = Connection.accepted(self.loop, sock, peer, MOST, self.loop.pool)
        self.peers.add(peer)
        return True

    def close(self) -> None:
        self.listener.close()
        for peer in list(self.peers):
            peer.end()
