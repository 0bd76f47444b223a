"""The platform as a coordinator sees it over sockets: stand-ins for relay, discovery and backends.

It starts the program too.
"""

import json
import signal
import socket
import threading
import time
from urllib.parse import parse_qsl, urlsplit

from peers import Peer, fail, http
from program import Program
from relay_standin import RelayStandIn
from waiting import eventually, free_address

SETTINGS = {
    "balancers": 1,
    "discovery": "ask",
    "period": 4.0,
    "classes": [
        {
            "name": "search",
            "aim": 2000.0,
            "deadline": 6000.0,
            "importance": 2.0,
            "repeat": "read_like",
            "surprise": 1,
        },
        {"name": "reserve", "aim": 1200.0, "deadline": 3000.0, "importance": 2.0, "repeat": "non_idempotent"},
    ],
    "rules": {"warm-within": 15000.0, "cold-from": 0.2, "drain-grace": 3000.0, "unheard-of": 3},
    "family-info": {
        "admission": "share",
        "egress-per-s": 10000.0,
        "queue-cap": 15000.0,
        "envelope": 8.0,
        "report-every": 100.0,
    },
    "bounds": {"may-probe": True},
    "report": {"columns": ["pending", "new_one", "svc_ms"]},
}


class Platform(RelayStandIn):
    """All that a coordinator connects to.  Faults are queued in lists; each occurs once, in order."""

    def __init__(self, path, backends=6, slices=12, proxies=3, sockets=1024, memory=192):
        self.path = path
        self.program = None
        self.limits = {"cores": 1.0, "memory_mb": memory, "sockets": sockets}
        self.lock = threading.RLock()
        self.relay = Peer(self._relay)
        self.discovery = Peer(self._discovery)
        self.relay_faults = []
        self.news_faults = []  # of event streams
        self.discovery_faults = []
        self.behaviour = {}  # fault by backend
        self.probed = []  # backend and target of each probe
        self.backends = {}
        self.listed = {}
        self.version = 1
        self.changes = []
        for number in range(backends):
            self.add(f"b{number}")
        self.proxies = set(range(proxies))
        self.tables = {number: {f"b{number % backends}": 1.0} for number in range(slices)}
        self.out = set()  # ejected backends
        self.refused = set()  # backends whose put orders the relay refuses
        self.calls = []  # the orders of each call that was executed
        self.times = []  # when each of these calls was executed
        self.marks = []  # the numbers of executed fence orders
        self.news = []  # the queue of each open event stream
        self.marks_told = True  # whether proxies acknowledge fences
        self.streams_mute = False  # whether new event streams stay without a byte
        self.known = self.whole()

    # ---- backends and discovery

    def add(self, id):
        """Starts a backend and lists it as SERVING."""
        peer = Peer(lambda sock, method, target, body: self._backend(id, sock, target))
        self.backends[id] = peer
        self.change(id, "SERVING", peer.address)

    def change(self, id, state="SERVING", address=None, started=0):
        """Changes the entry of a backend in the list of discovery."""
        with self.lock:
            self.version += 1
            entry = {
                "instanceId": id,
                "hostPort": address or self.listed[id]["hostPort"],
                "zone": "east",
                "machineType": "std",
                "cell": 0,
                "lifecycle": state,
                "weight": 6.0,
                "startedAtMs": started,
            }
            self.changes.append((self.version, entry))
            self.listed[id] = entry
            if state == "DELETED":
                del self.listed[id]

    def whole(self):
        """Returns the full list of backends, as discovery sends it."""
        return {"generation": self.version, "reset": True, "instances": list(self.listed.values())}

    def _backend(self, id, sock, target):
        self.probed.append((id, target))
        how = self.behaviour.get(id)
        return fail(sock, how) if how else http(sock, '{"pending":1,"svc_ms":3.5}')

    def _discovery(self, sock, method, target, body):
        how = self.discovery_faults.pop(0) if self.discovery_faults else None
        if how not in (None, "whole", "close"):
            return fail(sock, how)
        parameters = dict(parse_qsl(urlsplit(target).query))
        if "from" in parameters:
            deadline = time.monotonic() + int(parameters["hold_ms"]) / 1000
            while self.version <= int(parameters["from"]) and time.monotonic() < deadline and how != "whole":
                time.sleep(0.005)
            with self.lock:
                entries = [entry for version, entry in self.changes if version > int(parameters["from"])]
                changes = {"generation": self.version, "reset": False, "instances": entries}
        else:
            how = how or "whole"
        http(sock, json.dumps(self.whole() if how == "whole" else changes))
        if how == "close":
            sock.shutdown(socket.SHUT_RDWR)

    # ---- the program

    def start(self, words=(), **more):
        """Starts the program with these arguments; `more` replaces entries of its configuration."""
        self.listen = free_address()
        self.found = {
            "name": "n0",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": "8c1f30d2",
            "known": self.known,
            "settings": SETTINGS,
            "limits": self.limits,
            "store": {"address": self.relay.address},
        } | more
        self.program = Program(
            self.path,
            json.dumps(self.found),
            words,
            BALANCER_LISTEN=self.found["listen"],
            BALANCER_DISCOVERY=self.found["discovery"],
        )
        return self.program

    def reload(self, **more):
        """Rewrites the configuration file, with these entries replaced, and sends SIGHUP."""
        self.program.file.write_text(json.dumps(self.found | more))
        self.program.process.send_signal(signal.SIGHUP)

    def move(self, ports=(0, 0)):
        """Moves relay and discovery to new addresses and reloads the program.

        Returns the peers at the old addresses, which accept no new connections but keep the open ones.
        """
        old_peers = self.relay, self.discovery
        self.relay = Peer(self._relay, ports[0])
        self.discovery = Peer(self._discovery, ports[1])
        self.reload(store={"address": self.relay.address}, discovery=self.discovery.address)
        for peer in old_peers:
            peer.stop()
        return old_peers

    def serving(self, words=()):
        """Starts the program and waits until it serves."""
        program = self.start(words)
        eventually(lambda: program.said("phase", now="serving"))
        return program

    def call(self):
        """Opens a connection to the program."""
        host, port = self.listen.split(":")
        return socket.create_connection((host, int(port)), 10)

    def close(self):
        if self.program is not None and self.program.process.poll() is None:
            self.program.process.kill()
            self.program.process.wait()
        for peer in [self.relay, self.discovery, *self.backends.values()]:
            peer.close()


def drain(platform, backend):
    """Drains a backend and waits until the tables no longer use it: the module must issue orders for that."""
    platform.change(backend, "DRAINING")
    eventually(lambda: platform.agrees() and not any(backend in table for table in platform.tables.values()))


def heartbeat(platform):
    """Returns whether the program answers a heartbeat."""
    with platform.call() as sock:
        sock.sendall(b"hb\r\n")
        return sock.makefile("rb").readline() == b"hb_ok\r\n"


def none_lost(platform, merged=False):
    """Returns whether all calls were executed in order; a call may be repeated only before any later one.

    The marks of fence orders number the calls.  Where waiting calls were merged (`merged`), only the last of
    their marks is sent.
    """
    marks = [mark for mark, before in zip(platform.marks, [0, *platform.marks]) if mark != before]
    if merged:
        return marks == sorted(set(marks))
    return marks == list(range(marks[0], marks[0] + len(marks)))
