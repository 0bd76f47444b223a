"""Inbound connections on the real event loop, driven turn by turn without a process around it."""

import errno
import os
import socket

from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.inbound_connections import InboundConnections
from indigohitch.platform_protocol.messages import KnownNames
from indigohitch.platform_protocol.resource_limits import ResourceLimits


class TickingClock(Clock):
    """A clock that `tick` moves forward at each reading."""

    tick = 0

    def now(self):
        self._base += self.tick
        return super().now()


class ExhaustedListener:
    """A listening socket whose first `times` calls of `accept` fail for want of a descriptor."""

    def __init__(self, sock, times):
        self.sock = sock
        self.remaining_failures = times

    def accept(self):
        self.remaining_failures -= 1
        if self.remaining_failures >= 0:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()

    def fileno(self):
        return self.sock.fileno()

    def close(self):
        self.sock.close()


class InboundHarness:
    """Inbound connections on an event loop that is driven turn by turn, and their clients."""

    def __init__(self, max_connections=512):
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        self.clock = TickingClock()
        self.defects = []
        self.events = []
        self.clients = []
        self.log = Log(self.clock, "n0", self.log_fd)
        self.loop = EventLoop(self.clock, self.defects.append)
        self.inbound = InboundConnections(
            self.loop,
            self.log,
            self.events.append,
            ("127.0.0.1", 0),
            ResourceLimits(max_connections, 8, 1 << 24, 1 << 20),
            KnownNames(frozenset({"east", "west"}), frozenset({"search"}), 99, {"b1"}),
        )

    def connect(self, data=b"", receive_buffer=0):
        """Connect a client that sends `data`; return its socket."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.connect(self.inbound.listener.sock.getsockname())
        sock.setblocking(False)
        self.clients.append(sock)
        if data:
            sock.send(data)
        return sock

    def run_until_accepted(self, count):
        while self.log.counts["accepted"] < count:
            self.loop.turn()

    def turn(self):
        """Run one turn of the loop; return what it adds to the counters."""
        before = self.log.counts.copy()
        self.loop.turn()
        return self.log.counts - before

    def close(self):
        if self.inbound.listener.sock.fileno() >= 0:
            self.inbound.close()
        self.loop.close()
        for sock in self.clients:
            sock.close()
        os.close(self.log_fd)
        assert not self.defects
