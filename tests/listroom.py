"""Discovery's client in process: the real loop and sockets, turn by turn, its other side in the same thread,
which answers when told, and a clock that is put forward by hand."""

import json
import os
import socket
import time

from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.discovery import Discovery
from peers import reset


class Hands:
    """A clock that goes only as it is put forward."""

    time = 1_700_000_000 * SECOND

    def now(self):
        return self.time


def entry(id, state="SERVING", started=0):
    return {
        "instanceId": id,
        "hostPort": "127.0.0.1:1",
        "zone": "east",
        "machineType": "std",
        "cell": 0,
        "lifecycle": state,
        "weight": 6.0,
        "startedAtMs": started,
    }


def listed(generation, *entries, full=False):
    return json.dumps({"generation": generation, "reset": full, "instances": entries}).encode()


class Call:
    """A request that has come; what is written to it is heard when the loop turns."""

    def __init__(self, sock, target):
        self.sock, self.target = sock, target

    def write(self, data):
        self.sock.sendall(data)

    def answer(self, body, status="200 OK"):
        self.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def changes(self, generation, *entries):
        self.answer(listed(generation, *entries))

    def full(self, generation, *entries):
        self.answer(listed(generation, *entries, full=True))

    def fail(self):
        self.answer(b"", "503 Service Unavailable")

    def reset(self):
        reset(self.sock)

    @property
    def given_up(self):
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


class Registry:
    def __init__(self, room):
        self.room, self.socks, self.calls = room, [], []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.to = self.sock.getsockname()

    def look(self):
        try:
            while True:
                sock, _ = self.sock.accept()
                sock.setblocking(False)
                self.socks.append(sock)
        except OSError:
            pass
        for sock in self.socks:
            try:
                head = sock.recv(4096)
            except OSError:
                continue
            if head:
                self.calls.append(Call(sock, head.split()[1].decode()))

    def call(self):
        """The next request."""
        self.room.until(lambda: self.look() or self.calls)
        return self.calls.pop(0)

    def quiet(self):
        """Whether no request has come that was not taken."""
        self.room.turns()
        self.look()
        return not self.calls


class Room:
    def __init__(self, version=41):
        self.clock, self.defects, self.told = Hands(), [], []
        self.loop = EventLoop(self.clock, self.defects.append)
        self.lines = os.memfd_create("log")
        self.log = Log(self.clock, "n0", self.lines)
        self.registry = Registry(self)
        self.others = [Registry(self), Registry(self)]
        self.discovery = Discovery(self.loop, self.log, self.registry.to, version, self.hear)

    def hear(self, news, addresses):
        self.told.append(news)

    def turns(self, count=5):
        for _ in range(count):
            end = self.loop.call_after(5, lambda: None)  # a turn ends though nothing comes
            self.loop.turn()
            end.cancel()

    def until(self, holds, seconds=10.0):
        end = time.monotonic() + seconds
        while not holds():
            assert time.monotonic() < end and not self.defects, f"never came true: {self.defects!r}"
            self.turns(1)

    def forward(self, span):
        """So much later; what is due is met."""
        self.clock.time += span
        self.turns()

    def hears(self, call, count=1):
        """Turn until so much more was told after `call` answered."""
        before = len(self.told)
        call()
        self.until(lambda: len(self.told) >= before + count)
        return self.told[-1]

    def answered(self, count):
        """Turn until so many answers were read in all."""
        self.until(lambda: self.log.counts["discovery_answers"] == count)

    def said(self, event):
        lines = map(json.loads, os.pread(self.lines, 1 << 20, 0).splitlines())
        return [line for line in lines if line["event"] == event]

    def begin(self, generation=41, *entries):
        """Subscribed, the first list heard, a watch out: the call."""
        self.discovery.subscribe(True)
        self.registry.call().full(generation, *entries or (entry("b0"), entry("b1", "DRAINING")))
        watch = self.registry.call()
        assert "hold_ms=3000" in watch.target
        return watch

    @property
    def state(self):
        """Of each backend, as all that was told makes it."""
        found = {}
        for news in self.told:
            found = {} if news.scope == "full" else found
            found |= {e.backend: e.state for e in news.entries}
        return found

    def close(self):
        self.discovery.close()
        self.loop.close()
        os.close(self.lines)
        for registry in (self.registry, *self.others):
            for sock in (registry.sock, *registry.socks):
                sock.close()
