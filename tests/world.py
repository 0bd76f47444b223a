"""A stand-in for proxies, store and channel: applies orders, and checks the rules after every step.
Below it the platform as the coordinator meets it on sockets."""
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import deque
from urllib.parse import parse_qs, parse_qsl, urlencode, urlsplit

from indigohitch import interface as face
from indigohitch.logic import SECOND, Coordinator

BOOT = dict(
    coordinators=1, own_number=0, discovery="ask", may_probe=True, may_tell=False, admission="share",
    cold_from=0.2, warm_within=15 * SECOND, drain_grace=3 * SECOND, fall_multiple=4.0,
    overload_for=2 * SECOND, bare_limit=7 * SECOND, envelope=16, lines_per_s=10000, queue_cap=15000,
    messages_most=12, counted_over=10 * SECOND, transit=3000, transit_most=7600,
    report_every=2 * SECOND, pick="two",
    methods=(face.Method("search", 20000, 60000, 2.0, "idempotent", "all", 0),
             face.Method("reserve", 12000, 30000, 2.0, "non_idempotent", "all", 0)))


def entry(id, state="ready", started=0, weight=6.0, kind="std", zone="east"):
    return face.Listed(id, state, weight, zone, 0, kind, started)


class World:
    def __init__(self, seed=1, now=1000 * SECOND, **boot):
        self.now, self.boot = now, BOOT | boot
        self.c = Coordinator(seed, self.boot)
        self.tables, self.listed, self.told, self.proxies = {}, {}, {}, set()
        self.bare, self.given, self.queue, self.sent, self.log = {}, {}, 0.0, deque(), []
        self.taken = deque()                    # when a cold backend was given a slice: (time, backend)
        self.timers = [now]
        self.out = set()                        # withdrawn
        self.marks, self.total = [], 0.0        # marks not answered, with all lines sent up to them

    def start(self, backends=6, slices=12, proxies=4, scope="full"):
        owners = [f"b{i}" for i in range(backends)]
        events = [face.BackendList(scope, 1, tuple(entry(b) for b in owners))]
        for s in range(slices):
            events += [face.Charge(s, True), face.StoredLine(s, owners[s % backends], 1.0)]
        return self.step(0, *events, *(face.ProxyJoined(p, "east", 5.0, True) for p in range(proxies)))

    def step(self, span, *events):
        """Let `span` pass in beats, then hand over the events; returns all orders."""
        end, out = self.now + span, []
        while span and self.now < end:
            due = min(self.timers, default=end)
            if due > end:
                break
            out += self._handle(max(due, self.now), [face.TimerDue("beat")])
        self.now = max(self.now, end)
        return out + self._handle(self.now, list(events))

    def run(self, span, rates=None, bad=(), service=None, queued=None, probe=True):
        """Plain traffic: sums each report period, from every slice in charge."""
        out, every = [], self.boot["report_every"]
        for _ in range(0, span, every):
            events, tries = [], {}
            for s, lines in sorted(self.tables.items()):
                rate = (rates or {}).get(s, 2.0) * every / SECOND
                events.append(face.SliceDemand(s, "search", round(rate), 0, every))
                for b, weight in lines.items():
                    tries[b] = tries.get(b, 0) + rate * weight / sum(lines.values())
            for b, n in sorted(tries.items()):
                n = round(n)
                load = {"service_time": (service or {}).get(b, 2500), "queued": (queued or {}).get(b, 0)}
                load = {} if b in bad else load
                failed, took = (n, 0) if b in bad else (0, 2500)
                events.append(face.Traffic("east", b, n, failed, took, every, load))
            events += self.probes(bad) if probe else []
            out += self.step(every, *events)
        return out

    def probes(self, bad=()):
        found = [face.Probed(b, "timeout" if b in bad else "ok", 6000) for b in self.asked]
        self.asked = []
        return found

    def acks(self):
        self.queue = 0.0                        # all of it has left the channel
        return ()

    def answered(self):
        """Marks whose lines have left the channel."""
        done = [mark for mark, at in self.marks if at <= self.total - self.queue]
        self.marks = self.marks[len(done):]
        return [face.Acked(p, mark, 0) for mark in done for p in sorted(self.proxies)]

    asked: list = []

    def _handle(self, now, events):
        self.now = now
        self.timers = [t for t in self.timers if t > now]
        for e in events:
            self.hear(e)
        orders = self.c.handle(now, self.answered() + events)
        self.log.append((now, orders))
        lines = sum(isinstance(o, (face.SetLine, face.SetLevel, face.Withdraw, face.Mark)) for o in orders)
        self.asked = self.asked + [o.backend for o in orders if isinstance(o, face.Probe)]
        for o in orders:
            self.apply(o)
        self.check(now, lines)
        return orders

    def hear(self, e):
        if isinstance(e, face.BackendList):
            for x in e.entries:
                self.listed[x.backend] = x
                if x.state == "ready":
                    self.told.pop(x.backend, None)
                else:
                    self.told.setdefault(x.backend, self.now)
            if e.scope in ("full", "remembered"):
                for b in set(self.listed) - {x.backend for x in e.entries}:
                    if not self.boot.get("dropped_stay_open"):
                        del self.listed[b]
                        self.told.setdefault(b, self.now)
        elif isinstance(e, face.Charge):
            self.tables.pop(e.slice, None)
            self.given[e.slice] = self.now
            if e.held:
                self.tables[e.slice] = {}
        elif isinstance(e, face.StoredLine):
            self.tables[e.slice][e.backend] = e.weight
        elif isinstance(e, face.ProxyJoined):
            self.proxies.add(e.proxy)
        elif isinstance(e, face.ProxyLeft):
            self.proxies.discard(e.proxy)

    def cold(self, b):
        x = self.listed.get(b)
        return x is not None and x.started and self.now - x.started < self.boot["warm_within"]

    def apply(self, o):
        if isinstance(o, face.SetTimer):
            assert o.due > self.now
            self.timers.append(o.due)
        elif isinstance(o, face.SetLine):
            table = self.tables[o.table]        # only slices in charge
            assert o.backend in self.listed or o.backend in self.told or o.backend in table
            assert table.get(o.backend, 0.0) != o.weight, "a standing value repeated"
            if o.weight:
                assert self.listed[o.backend].state == "ready", "a line to one that drains"
                if self.cold(o.backend):
                    self.taken.append((self.now, o.backend))
                table[o.backend] = o.weight
            else:
                del table[o.backend]
        elif isinstance(o, face.Withdraw):
            (self.out.add if o.out else self.out.discard)(o.backend)
            assert not o.out or self.listed[o.backend].state != "ready", "shut out though ready"
        elif isinstance(o, face.SetLevel):
            kinds = [self.boot["methods"][k] for k in o.methods or range(len(self.boot["methods"]))]
            assert o.level >= 0 and (o.tries < 2 or all(m.repeat == "idempotent" for m in kinds))

    def check(self, now, lines):
        assert self.timers, "no timer left"
        warm = [b for b, x in self.listed.items() if x.state == "ready" and not self.cold(b)]
        for s, lines_out in self.tables.items():
            table = [b for b in lines_out if b not in self.out]
            # Bare: no slice without a line while a warm backend is known.
            if table or not warm or not self.proxies:
                self.bare.pop(s, None)
            assert now - self.bare.setdefault(s, now) < self.boot["bare_limit"] if not table and warm \
                and self.proxies else True, f"slice {s} bare"
            # Drain: out in good time for the way to the proxies.
            for b in table:
                left = self.boot["drain_grace"] - self.boot["transit_most"]
                since = max(self.told.get(b, now), self.given[s])
                assert not self.proxies or now - since <= left, f"{b} drains, still in {s}"
        # Queue: lines that wait, messages to a proxy.
        if self.sent:
            pace = self.boot["lines_per_s"] / self.boot.get("slow", 2) / SECOND    # a slow day
            passed = (now - self.sent[-1][1]) * pace
            self.queue = max(0.0, self.queue - passed)
        if lines and self.proxies:
            self.queue += len(self.proxies) * (lines + self.boot["envelope"])
            self.total += len(self.proxies) * (lines + self.boot["envelope"])
            self.marks.append((next(o.mark for o in self.log[-1][1] if isinstance(o, face.Mark)), self.total))
            self.sent.append((now, now))
        elif self.sent:
            self.sent[-1] = (self.sent[-1][0], now)
        assert self.queue <= self.boot["queue_cap"]
        while self.sent and self.sent[0][0] <= now - self.boot["counted_over"] and len(self.sent) > 1:
            self.sent.popleft()
        if self.boot["messages_most"]:
            assert len(self.sent) <= self.boot["messages_most"], "too many messages"

    def owners(self):
        return {s: max(t, key=t.get) for s, t in self.tables.items() if t}


# ---- the platform on loopback: relay, discovery and backends as stand-ins, and the program itself --------

SETTINGS = {
    "balancers": 1, "discovery": "ask", "period": 4.0,
    "classes": [{"name": "search", "aim": 2000.0, "deadline": 6000.0, "importance": 2.0,
                 "repeat": "read_like", "surprise": 1},
                {"name": "reserve", "aim": 1200.0, "deadline": 3000.0, "importance": 2.0,
                 "repeat": "non_idempotent"}],
    "rules": {"warm-within": 15000.0, "cold-from": 0.2, "drain-grace": 3000.0, "unheard-of": 3},
    "family-info": {"admission": "share", "egress-per-s": 10000.0, "queue-cap": 15000.0, "envelope": 8.0,
                    "report-every": 100.0},
    "bounds": {"may-probe": True}, "report": {"columns": ["pending", "new_one", "svc_ms"]}}


def eventually(holds, seconds=12.0):
    """Wait for a condition; what it last said is in the message."""
    end = time.monotonic() + seconds
    while not (said := holds()):
        assert time.monotonic() < end, f"never came true: {said!r}"
        time.sleep(0.01)
    return said


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def free_address():
    with socket.create_server(("127.0.0.1", 0)) as free:
        return f"127.0.0.1:{free.getsockname()[1]}"


class Peer:
    """A listening socket; each connection is served in a thread of its own, request by request."""

    def __init__(self, answer, port=0):
        self.answer, self.connections, self.open = answer, 0, True
        self.sock = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.all = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            self.all.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            with sock.makefile("rb") as lines:
                while start := lines.readline():
                    size = 0
                    while (line := lines.readline().strip()):
                        name, _, value = line.partition(b":")
                        size = int(value) if name.lower() == b"content-length" else size
                    method, target, _ = start.decode().split()
                    if self.answer(sock, method, target, lines.read(size).decode()) == "hang":
                        while sock.recv(4096):
                            pass
        except (OSError, ValueError):
            pass

    def stop(self):
        """Take no new connection."""
        self.open = False
        self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def close(self):
        if self.open:
            self.stop()
        for sock in self.all:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


def http(sock, body, status="200 OK"):
    sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def fail(sock, how):
    """What any of the peers may do instead of an answer; None if it is none of these."""
    if how == "reset":
        reset(sock)
        raise OSError
    if how == "garbage":
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n<<{[")
    elif how == "rubbish":
        sock.sendall(b"\0\xff no HTTP at all\r\n\r\n")
    elif how == "503":
        http(sock, "", "503 Service Unavailable")
    return "hang" if how == "silent" else how


class Platform:
    """All that a coordinator talks to.  Faults wait in lists; each is met once, in order."""

    def __init__(self, path, backends=6, slices=12, proxies=3, sockets=1024, memory=192):
        self.path, self.program = path, None
        self.limits = {"cores": 1.0, "memory_mb": memory, "sockets": sockets}
        self.lock = threading.RLock()
        self.relay, self.discovery = Peer(self._relay), Peer(self._discovery)
        self.relay_faults, self.news_faults, self.discovery_faults = [], [], []
        self.behaviour, self.probed = {}, []    # of backends; who was probed, in order
        self.backends, self.listed, self.version, self.changes = {}, {}, 1, []
        for n in range(backends):
            self.add(f"b{n}")
        self.proxies = set(range(proxies))
        self.tables = {s: {f"b{s % backends}": 1.0} for s in range(slices)}
        self.out, self.refused, self.calls, self.marks, self.news = set(), set(), [], [], []
        self.times = []                         # of the calls carried out
        self.known = self.whole()

    # ---- backends and discovery

    def add(self, id):
        peer = Peer(lambda sock, method, target, body: self._backend(id, sock, target))
        self.backends[id] = peer
        self.change(id, "SERVING", peer.address)

    def change(self, id, state="SERVING", address=None, started=0):
        with self.lock:
            self.version += 1
            entry = {"instanceId": id, "hostPort": address or self.listed[id]["hostPort"], "zone": "east",
                     "machineType": "std", "cell": 0, "lifecycle": state, "weight": 6.0,
                     "startedAtMs": started}
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

    # ---- the relay

    def _relay(self, sock, method, target, body):
        if method == "GET":
            return self._stream(sock)
        form = parse_qs(body)
        assert target == "/" and form["Action"] == ["CommitChanges"] and len(form["orders"][0]) <= 60000
        orders = form["orders"][0].split(";")
        how = self.relay_faults.pop(0) if self.relay_faults else "answer"
        if how in ("Throttling", "ValidationError"):
            return http(sock, f"<Response><Error><Code>{how}</Code></Error></Response>", "400 Bad Request")
        how, _, done = how.partition(" ")
        if how in ("answer", "close") or done:
            taken = self._carry_out(orders)
        if how not in ("answer", "close"):
            return fail(sock, how)
        http(sock, f'<?xml version="1.0"?>\n<Response><results><item><ok_count>{taken}</ok_count></item>'
                   '</results></Response>')
        if how == "close":
            sock.shutdown(socket.SHUT_RDWR)

    def _carry_out(self, orders):
        with self.lock:
            self.calls.append(orders)
            self.times.append(time.monotonic())
            for taken, order in enumerate(orders):
                kind, *words = order.split(",")
                if kind == "put" and words[1] in self.refused:
                    return taken
                table = self.tables.get(int(words[0])) if kind in ("put", "wipe") else None
                if kind == "put" and table is not None:
                    table.pop(words[1], None)
                    if float(words[2]):
                        table[words[1]] = float(words[2])
                elif kind in ("eject", "uneject"):
                    (self.out.add if kind == "eject" else self.out.discard)(words[0])
                elif kind == "fence":
                    self.marks.append(int(words[0]))
                    for proxy in self.proxies:
                        self.tell("done", id=proxy, seq=words[0], ms=3.5)
            return len(orders)

    def tell(self, kind, **words):
        with self.lock:
            for queue in self.news:
                queue.append(f"event: {kind}\ndata: {urlencode(words)}\n\n")

    def _stream(self, sock):
        queue = []
        with self.lock:
            for proxy in sorted(self.proxies):
                queue.append(f"event: attach\ndata: id={proxy}&site=east&rps=5.0&new=1\n\n")
            for number, table in self.tables.items():
                queue.append(f"event: owner\ndata: range={number}&flag=1\n\n")
                queue += [f"event: entry\ndata: range={number}&target={b}&rps={w}\n\n"
                          for b, w in table.items()]
            self.news.append(queue)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n")
        alive = time.monotonic() + 0.1
        while True:
            if self.news_faults:
                how = self.news_faults.pop(0)
                self.news.remove(queue)
                if how == "unreadable":
                    sock.sendall(b"14\r\nevent: attach\ndata: \xff\n\n\r\n")
                return fail(sock, how) or "hang"
            with self.lock:
                told, queue[:] = "".join(queue), []
            if time.monotonic() > alive:
                told, alive = told + ":\n\n", time.monotonic() + 0.2
            for piece in (told[:len(told) // 2], told[len(told) // 2:]):    # in pieces, cut anywhere
                if piece:
                    sock.sendall(f"{len(piece):x}\r\n{piece}\r\n".encode())
            time.sleep(0.005)

    def agrees(self):
        """Every slice in charge has one line, at a backend that serves and is not shut out."""
        with self.lock:
            serving = {b for b, e in self.listed.items() if e["lifecycle"] == "SERVING"} - self.out
            return all(len(t) == 1 and set(t) <= serving for t in self.tables.values())

    # ---- the program

    def start(self, words=(), **more):
        self.listen = free_address()
        self.found = {"name": "n0", "listen": self.listen, "discovery": self.discovery.address,
                      "seed": "8c1f30d2", "known": self.known, "settings": SETTINGS,
                      "limits": self.limits, "store": {"address": self.relay.address}} | more
        self.program = Program(self.path, json.dumps(self.found), words, BALANCER_LISTEN=self.found["listen"],
                               BALANCER_DISCOVERY=self.found["discovery"])
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


class Program:
    def __init__(self, path, config, words=(), **variables):
        self.file = path / "config.json"
        self.file.write_text(config)
        environ = os.environ | {"BALANCER_NAME": "n0", "BALANCER_CONFIG": str(self.file)} | variables
        self.process = subprocess.Popen([sys.executable, "-m", "indigohitch", *words], env=environ,
                                        stdout=subprocess.PIPE, stderr=subprocess.PIPE)
        self.log = []
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            self.log.append(json.loads(line))

    def said(self, event, **words):
        return [e for e in list(self.log) if e["event"] == event and words.items() <= e.items()]

    def counters(self):
        before = len(self.said("counters"))
        self.process.send_signal(signal.SIGUSR1)
        return eventually(lambda: self.said("counters")[before:])[0]

    def end(self):
        """SIGTERM; the exit code.  SIGKILL would come after 0.7 s."""
        self.process.send_signal(signal.SIGTERM)
        code = self.process.wait(10)
        self.reader.join(5)
        ending, ended = (self.said("phase", now=now)[0]["ms"] for now in ("ending", "ended"))
        assert ended - ending < 600
        return code
