"""The platform as a coordinator meets it on sockets: relay, discovery and backends as stand-ins, and the
program itself."""

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
    """All that a coordinator talks to.  Faults wait in lists; each is met once, in order."""

    def __init__(self, path, backends=6, slices=12, proxies=3, sockets=1024, memory=192):
        self.path, self.program = path, None
        self.limits = {"cores": 1.0, "memory_mb": memory, "sockets": sockets}
        self.lock = threading.RLock()
        self.relay, self.discovery = Peer(self._relay), Peer(self._discovery)
        self.relay_faults, self.news_faults, self.discovery_faults = [], [], []
        self.behaviour, self.probed = {}, []  # of backends; who was probed, in order
        self.backends, self.listed, self.version, self.changes = {}, {}, 1, []
        for n in range(backends):
            self.add(f"b{n}")
        self.proxies = set(range(proxies))
        self.tables = {s: {f"b{s % backends}": 1.0} for s in range(slices)}
        self.out, self.refused, self.calls, self.marks, self.news = set(), set(), [], [], []
        self.times = []  # of the calls carried out
        self.marks_told = True  # proxies answer marks
        self.streams_mute = False  # news streams that begin now stay without a byte
        self.known = self.whole()

    # ---- backends and discovery

    def add(self, id):
        peer = Peer(lambda sock, method, target, body: self._backend(id, sock, target))
        self.backends[id] = peer
        self.change(id, "SERVING", peer.address)

    def change(self, id, state="SERVING", address=None, started=0):
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
        return {"generation": self.version, "reset": True, "instances": list(self.listed.values())}

    def _backend(self, id, sock, target):
        self.probed.append((id, target))
        how = self.behaviour.get(id)
        return fail(sock, how) if how else http(sock, '{"pending":1,"svc_ms":3.5}')

    def _discovery(self, sock, method, target, body):
        how = self.discovery_faults.pop(0) if self.discovery_faults else None
        if how not in (None, "whole", "close"):
            return fail(sock, how)
        asked = dict(parse_qsl(urlsplit(target).query))
        if "from" in asked:
            end = time.monotonic() + int(asked["hold_ms"]) / 1000
            while self.version <= int(asked["from"]) and time.monotonic() < end and how != "whole":
                time.sleep(0.005)
            with self.lock:
                entries = [e for v, e in self.changes if v > int(asked["from"])]
                found = {"generation": self.version, "reset": False, "instances": entries}
        else:
            how = how or "whole"
        http(sock, json.dumps(self.whole() if how == "whole" else found))
        if how == "close":
            sock.shutdown(socket.SHUT_RDWR)

    # ---- the program

    def start(self, words=(), **more):
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
        """Another file, and the signal."""
        self.program.file.write_text(json.dumps(self.found | more))
        self.program.process.send_signal(signal.SIGHUP)

    def move(self, ports=(0, 0)):
        """Relay and discovery at new addresses too; what was there before takes no new connection."""
        left = self.relay, self.discovery
        self.relay, self.discovery = Peer(self._relay, ports[0]), Peer(self._discovery, ports[1])
        self.reload(store={"address": self.relay.address}, discovery=self.discovery.address)
        for peer in left:
            peer.stop()
        return left

    def serving(self, words=()):
        program = self.start(words)
        eventually(lambda: program.said("phase", now="serving"))
        return program

    def call(self):
        host, port = self.listen.split(":")
        return socket.create_connection((host, int(port)), 10)

    def close(self):
        if self.program is not None and self.program.process.poll() is None:
            self.program.process.kill()
            self.program.process.wait()
        for peer in [self.relay, self.discovery, *self.backends.values()]:
            peer.close()


def drain(platform, backend):
    """A change that the module must answer with orders; waits until they stand."""
    platform.change(backend, "DRAINING")
    eventually(lambda: platform.agrees() and not any(backend in t for t in platform.tables.values()))


def heartbeat(platform):
    with platform.call() as sock:
        sock.sendall(b"hb\r\n")
        return sock.makefile("rb").readline() == b"hb_ok\r\n"


def none_lost(platform, merged=False):
    """Marks count the calls: every one stood, in order, the same again only before anything later.  Where
    calls that waited were merged into one, only the last of their marks is told."""
    marks = [m for m, before in zip(platform.marks, [0, *platform.marks]) if m != before]
    if merged:
        return marks == sorted(set(marks))
    return marks == list(range(marks[0], marks[0] + len(marks)))
