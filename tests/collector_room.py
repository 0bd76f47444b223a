"""What accepts callers, on the real loop and driven turn by turn, without a program round it."""

import errno
import os
import socket

from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.inbound_connections import InboundConnections
from indigohitch.platform_protocol.messages import KnownNames
from indigohitch.platform_protocol.resource_limits import ResourceLimits


class Ticking(Clock):
    """Each look at it takes a while."""

    tick = 0

    def now(self):
        self._base += self.tick
        return super().now()


class Exhausted:
    """A listening socket for which there is no descriptor left, a few times."""

    def __init__(self, sock, times):
        self.sock, self.left = sock, times

    def accept(self):
        self.left -= 1
        if self.left >= 0:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()

    def fileno(self):
        return self.sock.fileno()

    def close(self):
        self.sock.close()


class Hall:
    """The real loop and what accepts callers, driven turn by turn."""

    def __init__(self, callers=512):
        self.out = os.open(os.devnull, os.O_WRONLY)
        self.clock = Ticking()
        self.defects, self.heard, self.callers = [], [], []
        self.log = Log(self.clock, "n0", self.out)
        self.loop = EventLoop(self.clock, self.defects.append)
        self.hub = InboundConnections(
            self.loop,
            self.log,
            self.heard.append,
            ("127.0.0.1", 0),
            ResourceLimits(callers, 8, 1 << 24, 1 << 20),
            KnownNames(frozenset({"east", "west"}), frozenset({"search"}), 99, {"b1"}),
        )

    def call(self, said=b"", buffer=0):
        sock = socket.socket()
        if buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.connect(self.hub.listener.sock.getsockname())
        sock.setblocking(False)
        self.callers.append(sock)
        if said:
            sock.send(said)
        return sock

    def accepted(self, count):
        while self.log.counts["accepted"] < count:
            self.loop.turn()

    def turn(self):
        """What one turn adds to the counters."""
        before = self.log.counts.copy()
        self.loop.turn()
        return self.log.counts - before

    def close(self):
        if self.hub.listener.sock.fileno() >= 0:
            self.hub.close()
        self.loop.close()
        for sock in self.callers:
            sock.close()
        os.close(self.out)
        assert not self.defects
