"""Runs the discovery client in the process of a test: on the real event loop and sockets, turn by turn, with
discovery servers in the same thread that respond on demand, and a clock that the test advances."""

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
    """Provides a clock that only the test advances."""

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
    """Return the body of a list of backends."""
    return json.dumps({"generation": generation, "reset": full, "instances": entries}).encode()


class Call:
    """Holds a received request; the client reads what is written in response when the loop runs."""

    def __init__(self, sock, target):
        self.sock = sock
        self.target = target

    def write(self, data):
        self.sock.sendall(data)

    def respond(self, body, status="200 OK"):
        self.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)

    def send_changes(self, generation, *entries):
        self.respond(listed(generation, *entries))

    def send_full(self, generation, *entries):
        self.respond(listed(generation, *entries, full=True))

    def fail(self):
        self.respond(b"", "503 Service Unavailable")

    def reset(self):
        reset(self.sock)

    @property
    def is_abandoned(self):
        """Return whether the client has closed the connection."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


class Registry:
    """Plays a discovery server at an address of its own."""

    def __init__(self, room):
        self.room = room
        self.socks = []
        self.requests = []
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()

    def receive(self):
        """Accept waiting connections and read waiting requests."""
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
                self.requests.append(Call(sock, head.split()[1].decode()))

    def next_request(self):
        """Run the loop until a request arrives, and return it."""
        self.room.run_until(lambda: self.receive() or self.requests)
        return self.requests.pop(0)

    def has_no_request(self):
        """Return whether no further request arrives within a few turns of the loop."""
        self.room.run_turns()
        self.receive()
        return not self.requests


class Room:
    """Sets up a discovery client with its event loop, clock and log, and three discovery servers."""

    def __init__(self, version=41):
        self.clock = Hands()
        self.defects = []
        self.updates = []  # the lists that the client passed on
        self.loop = EventLoop(self.clock, self.defects.append)
        self.log_fd = os.memfd_create("log")
        self.log = Log(self.clock, "n0", self.log_fd)
        self.registry = Registry(self)
        self.other_registries = [Registry(self), Registry(self)]
        self.discovery = Discovery(self.loop, self.log, self.registry.address, version, self.on_list)

    def on_list(self, update, addresses):
        self.updates.append(update)

    def run_turns(self, count=5):
        for _ in range(count):
            end = self.loop.call_after(5, lambda: None)  # ends the turn if nothing arrives
            self.loop.turn()
            end.cancel()

    def run_until(self, holds, seconds=10.0):
        end = time.monotonic() + seconds
        while not holds():
            assert time.monotonic() < end and not self.defects, f"never came true: {self.defects!r}"
            self.run_turns(1)

    def advance(self, span):
        """Advance the clock, and run the loop so that due timers fire."""
        self.clock.time += span
        self.run_turns()

    def update_after(self, action, count=1):
        """Run the loop until `count` lists were passed on after `action`; returns the last of them."""
        before = len(self.updates)
        action()
        self.run_until(lambda: len(self.updates) >= before + count)
        return self.updates[-1]

    def wait_for_responses(self, count):
        """Run the loop until `count` responses were read in total."""
        self.run_until(lambda: self.log.counts["discovery_answers"] == count)

    def log_entries(self, event):
        lines = map(json.loads, os.pread(self.log_fd, 1 << 20, 0).splitlines())
        return [line for line in lines if line["event"] == event]

    def start_watch(self, generation=41, *entries):
        """Subscribe, send the first full list, and return the request of the watch that follows."""
        self.discovery.subscribe(True)
        self.registry.next_request().send_full(generation, *entries or (entry("b0"), entry("b1", "DRAINING")))
        watch = self.registry.next_request()
        assert "hold_ms=3000" in watch.target
        return watch

    @property
    def state(self):
        """Return the state of each backend after all lists that were passed on."""
        states = {}
        for update in self.updates:
            states = {} if update.scope == "full" else states
            states |= {e.backend: e.state for e in update.entries}
        return states

    def close(self):
        self.discovery.close()
        self.loop.close()
        os.close(self.log_fd)
        for registry in (self.registry, *self.other_registries):
            for sock in (registry.sock, *registry.socks):
                sock.close()
