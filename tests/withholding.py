"""Stand-ins for an unavailable relay or discovery, each with an `address` and `close`."""

import socket

from peers import Peer, http
from waiting import free_address


class Blackhole:
    """A listener with a full accept queue, so that connects get no answer at all."""

    def __init__(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.fillers = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self.fillers.append(sock)

    def close(self):
        for sock in (self.sock, *self.fillers):
            sock.close()


class Away:
    """An address that refuses connections."""

    def __init__(self):
        self.address = free_address()
        self.close = lambda: None


def throttling():
    """Return a server that answers each request with a throttling error."""
    return Peer(
        lambda sock, *_: http(
            sock, "<Response><Error><Code>Throttling</Code></Error></Response>", "503 Service Unavailable"
        )
    )


def silent():
    """Return a server that accepts requests and never answers them."""
    return Peer(lambda *_: "hang")


KINDS = (Away, throttling, silent, Blackhole)
