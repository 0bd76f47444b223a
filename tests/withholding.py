"""Ways in which another machine withholds what a start might wait for: each has an address, and `close`."""

import socket

from peers import Peer, http
from waiting import free_address


class Blackhole:
    """A listener whose accept queue is full: who connects is not answered at all."""

    def __init__(self):
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(0)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.filling = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.sock.getsockname())
            self.filling.append(sock)

    def close(self):
        for sock in (self.sock, *self.filling):
            sock.close()


class Away:
    def __init__(self):
        self.address, self.close = free_address(), lambda: None


def throttling():
    return Peer(
        lambda sock, *_: http(
            sock, "<Response><Error><Code>Throttling</Code></Error></Response>", "503 Service Unavailable"
        )
    )


def silent():
    return Peer(lambda *_: "hang")


KINDS = (Away, throttling, silent, Blackhole)
