"""One connection at a stand-in for a server: its requests in order, each acted on and answered as it asks."""

from __future__ import annotations

import socket
import struct
from collections import Counter
from typing import Protocol

import httptools
import orjson

from ..load.replay.safety import PATH, proof
from ..net.clock import SECOND
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool
from ..net.stream import Stream
from .seated import Seated
from .stamped import Stamped

# A replay asks for this before it sends what must not run twice.
PROOF = PATH.encode() + b"?"


class Answering(Protocol):
    """What a connection needs of its server.  `acts`: by id how often each was acted on; `service`: ms that
    every answer takes; `lose`: every so many RPCs one is acted on, and reset."""

    loop: EventLoop
    memory: BufferPool
    name: bytes
    service: float
    lose: int
    seated: Seated | None
    stamped: Stamped
    counts: Counter[str]
    acts: dict[str, int]
    peers: set[Peer]


class Peer:
    def __init__(self, server: Answering, sock: socket.socket) -> None:
        self.server = server
        self.stream = Stream.accepted(server.loop, sock, self, Stream.MAX_BUFFERED, server.memory)
        self.queue: list[tuple] = []  # requests whose bodies have come, in order
        self.busy = False
        self.writing = self.more = b""
        self.begin()

    def begin(self) -> None:
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self.target, self.heads, self.got = b"", {}, 0

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.heads[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.method = self.parser.get_method()
        self.act = dict(
            (pair.partition("=")[::2]) for pair in self.heads.get(b"x-act", b"").decode().split(",") if pair
        )
        if self.heads.get(b"expect"):
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if "early" in self.act:
            self.queue.append((self.method, self.target, self.heads, self.act, 0))

    def on_body(self, part: bytes) -> None:
        self.got += len(part)

    def on_message_complete(self) -> None:
        if "early" not in self.act:
            self.queue.append((self.method, self.target, self.heads, self.act, self.got))

    def on_data(self, stream: Stream) -> None:
        data = stream.incoming.take()
        self.server.counts["bytes"] += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError:
            stream.close()
            return
        self.next()

    def next(self) -> None:
        if self.busy or not self.queue or not self.stream.open:
            return
        self.busy = True
        method, target, heads, act, got = self.queue.pop(0)
        server = self.server
        if target.startswith(PROOF):
            self.answer(200, proof(target.partition(b"nonce=")[2].decode("latin-1")).encode(), {})
            return
        if target in (b"/stats", b"/health/live"):
            stats = orjson.dumps(
                {"counts": server.counts, "acts": server.acts}
                | ({"seats": server.seated.figures()} if server.seated else {})
            )
            self.answer(200, stats if target == b"/stats" else b"", {})
            return
        if server.stamped.told(target):
            self.answer(200, b"", {})
            return
        if why := server.stamped.why_not(heads):
            server.counts["older_stamps"] += 1
            self.answer(409, why.encode(), {})
            return
        if server.seated is not None and server.seated.needs(target):
            job, self.more = server.seated.begin(heads.get(b"x-seat"), self.reset)
            if not job:
                self.answer(409, b"no seat", {})
                return
        else:
            job, self.more = 0, b""
        server.counts["requests"] += 1
        server.counts[target.split(b"/")[1].decode("latin-1")] += 1
        if id := heads.get(b"x-id"):
            server.acts[id.decode()] = server.acts.get(id.decode(), 0) + 1
        if "reset" in act or server.lose and server.counts["requests"] % server.lose == 0:
            self.reset()
        elif "mute" not in act:
            body = b"x" * int(act["size"]) if "size" in act else b"%s acted %d" % (server.name, got)
            wait = int(float(act.get("wait", server.service)) * SECOND // 1000)
            answer = (int(act.get("status", 200)), body, act, method)
            if wait:
                server.loop.call_after(wait, lambda: self.acted(job, *answer))
            else:
                self.acted(job, *answer)

    def acted(self, job: int, *answer) -> None:
        """The job is over before a word of its answer goes out."""
        if not job or self.server.seated.end(job):
            self.answer(*answer)

    def reset(self) -> None:
        if not self.stream.open:
            return
        self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.stream.close()

    def answer(self, status: int, body: bytes, act: dict, method: bytes = b"GET") -> None:
        if not self.stream.open:
            return
        chunks = "chunks" in act
        head = b"HTTP/1.1 %d Fine\r\nContent-Type: text/plain\r\nX-Server: %s\r\n%b" % (
            status,
            self.server.name,
            b"Transfer-Encoding: chunked\r\n" if chunks else b"Content-Length: %d\r\n" % len(body),
        )
        if self.server.seated is not None:
            head += self.server.seated.told() + self.more
        if "doubled" in act:
            head += b"Content-Length: 3\r\n"
        if method == b"HEAD":
            body = b""
        elif chunks:
            body = (
                b"".join(
                    b"%x\r\n%b\r\n" % (len(body[i : i + 1000]), body[i : i + 1000])
                    for i in range(0, len(body), 1000)
                )
                + b"0\r\n\r\n"
            )
        if "reset_head" in act:
            self.stream.write(head + b"\r\n" + body[:1])
            self.server.loop.call_after(50, self.reset)
            return
        if "drip" in act:
            self.stream.write(head + b"\r\n")
            self.writing = body
            self.drip(int(act["drip"]) * SECOND // 1000)
            return
        self.writing = memoryview(head + b"\r\n" + body)  # cut without copying the rest
        self.on_output_drained(self.stream)

    def drip(self, gap: int) -> None:
        part, self.writing = self.writing[:1024], self.writing[1024:]
        self.stream.write(part)
        if self.writing:
            self.server.loop.call_after(gap, lambda: self.drip(gap))
        else:
            self.done()

    def done(self) -> None:
        self.busy = False
        self.next()

    def on_output_drained(self, stream: Stream) -> None:
        while self.writing and stream.free_capacity() > 0:
            room = min(stream.free_capacity(), 1 << 18)
            part, self.writing = bytes(self.writing[:room]), self.writing[room:]
            stream.write(part)
        if not self.writing and self.busy:
            self.done()

    def on_closed(self, stream: Stream, why: str) -> None:
        self.server.peers.discard(self)
