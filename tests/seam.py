"""Event loops that the test turns step by step, with peers whose bytes the test writes.

`Wire` has a client of net/http_client.py, `Seam` the host of a sidecar.
"""

import os
import select
import socket

from indigohitch.config.sidecar_file import read
from indigohitch.log import Log
from indigohitch.net.clock import SECOND, Clock
from indigohitch.net.http_client import HttpClient
from indigohitch.net.loop import EventLoop
from indigohitch.sidecar.host import Host

TEXT = """listen {}:{}
rpc search idempotent soft 1s deadline 4s
rpc reserve non-idempotent soft 1s deadline 4s
pool nodes slices 1
server n1 {}:{} pool nodes
route GET /a/{{b}} rpc search pool nodes key path 1
route POST /a/{{b}} rpc search pool nodes key path 1
route POST /r/{{b}} rpc reserve pool nodes key path 1
"""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
READ = b"GET /a/1 HTTP/1.1\r\nHost: t\r\n\r\n"
RESERVE = b"POST /r/1 HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n"


class Shifted(Clock):
    """A clock that the test can advance by `by` ticks."""

    by = 0

    def now(self):
        return super().now() + self.by


def readable(*socks):
    """Returns whether each socket has data or its end to read."""
    return len(select.select(socks, [], [], 0)[0]) == len(socks)


def come(*socks):
    """Waits until data or the end has arrived in the kernel at each socket."""
    for sock in socks:
        assert select.select([sock], [], [], 10)[0]


class Wire:
    """An HTTP client in a loop, and the server's sockets, which the test reads and writes."""

    def __init__(self, idle=SECOND):
        self.broken, self.answers = [], []
        self.loop = EventLoop(Shifted(), self.broken.append)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.client = HttpClient(self.loop, self.listener.getsockname(), idle_span=idle)
        self.peers = []

    def turn(self, until):
        """Turns the loop until the condition holds."""
        for _ in range(2000):
            if until():
                return
            self.loop.call_after(10, lambda: None)  # limits the wait of a turn
            self.loop.turn()
        raise AssertionError("never came true")

    def ask(self, method="POST", body=b"x", span=5 * SECOND):
        self.client.request(method, "/", span, self.answers.append, body, "text/plain")

    def accepted(self):
        """Returns the server's side of the next connection after reading a request from it."""
        self.turn(lambda: readable(self.listener))
        self.peers.append(self.listener.accept()[0])
        return self.heard(self.peers[-1])

    def heard(self, peer):
        self.turn(lambda: readable(peer))
        assert peer.recv(1 << 16)
        return peer

    def answered(self, count):
        self.turn(lambda: len(self.answers) == count)
        return self.answers[-1]

    def come(self):
        """Waits until the peer's data or end is in the kernel, unread."""
        assert select.select([self.client._idle.sock], [], [], 10)[0]

    def close(self):
        assert not self.broken
        self.client.close()
        for sock in (self.listener, *self.peers):
            sock.close()
        self.loop.close()


class Seam:
    """The host of a sidecar in a loop, with one server, the clients and a clock controlled by the test."""

    def __init__(self):
        self.broken = []
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, self.broken.append)
        self.server = socket.create_server(("127.0.0.1", 0))
        listening = socket.create_server(("127.0.0.1", 0))
        self.at = listening.getsockname()
        text = read(TEXT.format(*self.at, *self.server.getsockname()))
        self.host = Host(self.loop, Log(self.clock, "t", os.open(os.devnull, os.O_WRONLY)), text)
        self.pool = self.host.pools["nodes"]
        self.pool.start()
        self.host.start(listening)
        self.host.start_sweeps()
        self.socks = []
        self.has_ended = False

    def turn(self):
        self.loop.call_after(10, lambda: None)  # limits the wait of a turn
        self.loop.turn()
        self.host.turn()

    def until(self, holds):
        for _ in range(3000):
            if holds():
                return
            self.turn()
        raise AssertionError("never came true")

    def pass_sweeps(self, count):
        """Advances the clock sweep by sweep; in one long step it would be a stall of the sidecar itself."""
        for _ in range(count):
            self.clock.by += self.host.SWEEP_INTERVAL
            self.until(lambda: self.clock.now() < self.host._sweep.when)

    def client(self, data=b"", buffer=0):
        """Connects and sends `data`; returns the client's socket and the host's client object."""
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.settimeout(10)
        sock.connect(self.at)
        self.socks.append(sock)
        before = self.host.serial
        self.until(lambda: self.host.serial > before)
        sock.sendall(data)
        return sock, next(c for c in self.host.clients if c.serial == self.host.serial)

    def asked(self, sock=None):
        """Returns the server's side of a connection, by default a new one, and the request received on it."""
        if sock is None:
            self.until(lambda: readable(self.server))
            sock, _ = self.server.accept()
            self.socks.append(sock)
        self.until(lambda: readable(sock))
        return sock, sock.recv(1 << 16)

    def said(self, sock):
        """Returns what the client can read at once, after waiting for data."""
        self.until(lambda: readable(sock))
        return sock.recv(1 << 16)

    def rest(self, sock):
        """Returns all data up to the end of the connection; raises ConnectionResetError."""
        data = b""
        while part := self.said(sock):
            data += part
        return data

    def kept(self):
        """Returns a client's socket and object, and an idle server connection that has served it once."""
        sock, client = self.client(READ)
        server, _ = self.asked()
        server.sendall(OK % (1, b"1"))
        assert self.said(sock).endswith(b"\r\n\r\n1") and len(self.idle) == 1
        return sock, client, server

    @property
    def idle(self):
        return self.pool.servers["n1"].idle

    def end(self):
        """Ends the host as the process does at the end of its drain."""
        self.has_ended = True
        self.host.close()

    def close(self):
        assert not self.broken
        if not self.has_ended:
            self.end()
        for sock in (self.server, *self.socks):
            sock.close()
        self.loop.close()
