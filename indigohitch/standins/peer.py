"""One connection at a stand-in server: handles its requests in order and answers as each one asks."""

from __future__ import annotations

import socket
from collections import Counter
from typing import Any, Protocol

import httptools
import orjson

from ..load.replay.safety import PATH, proof
from ..net.clock import SECOND
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool
from ..net.stream import Stream
from .seat_enforcer import SeatEnforcer
from .stamp_guard import StampGuard

# A replay requests this proof before it sends requests that must not run twice.
PROOF_PREFIX = PATH.encode() + b"?"


class PeerServer(Protocol):
    """What a connection needs of its server.

    `acts` counts by id how often each request was acted on.  `service` is the time in ms that each answer
    takes.  Each `lose`-th RPC is acted on and then reset without an answer; 0: none.
    """

    loop: EventLoop
    buffer_pool: BufferPool
    name: bytes
    service: float
    lose: int
    seat_enforcer: SeatEnforcer | None
    stamps: StampGuard
    counts: Counter[str]
    acts: dict[str, int]
    peers: set[Peer]


class Peer:
    """A client's connection: parses its requests, queues them and answers one at a time."""

    def __init__(self, server: PeerServer, sock: socket.socket) -> None:
        self.server = server
        self.stream = Stream.accepted(server.loop, sock, self, Stream.MAX_BUFFERED, server.buffer_pool)
        self.queue: list[tuple] = []  # requests ready to be handled, in order
        self.busy = False
        self.unsent = self.extra_headers = b""
        self.start_parser()

    def start_parser(self) -> None:
        """Creates the HTTP parser, which calls the methods below as it parses."""
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self.target, self.headers, self.body_bytes = b"", {}, 0

    def on_url(self, part: bytes) -> None:
        """Appends a part of the target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header under its name in lower case."""
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Reads the directives of `X-Act`; queues the request at once if they say `early`."""
        self.method = self.parser.get_method()
        self.directives = dict(
            (pair.partition("=")[::2]) for pair in self.headers.get(b"x-act", b"").decode().split(",") if pair
        )
        if self.headers.get(b"expect"):
            self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if "early" in self.directives:
            self.queue.append((self.method, self.target, self.headers, self.directives, 0))

    def on_body(self, part: bytes) -> None:
        """Counts the bytes of the body, which is not kept."""
        self.body_bytes += len(part)

    def on_message_complete(self) -> None:
        """Queues the request unless it was queued early."""
        if "early" not in self.directives:
            self.queue.append((self.method, self.target, self.headers, self.directives, self.body_bytes))

    def on_data(self, stream: Stream) -> None:
        """Parses what arrived and handles the next request; closes the connection if it is not HTTP."""
        data = stream.incoming.take()
        self.server.counts["bytes"] += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass
        except httptools.HttpParserError:
            stream.close()
            return
        self.handle_next()

    def handle_next(self) -> None:
        """Handles the oldest queued request unless one is being answered."""
        if self.busy or not self.queue or not self.stream.open:
            return
        self.busy = True
        method, target, headers, directives, body_bytes = self.queue.pop(0)
        server = self.server
        if target.startswith(PROOF_PREFIX):
            self.answer(200, proof(target.partition(b"nonce=")[2].decode("latin-1")).encode(), {})
            return
        if target in (b"/stats", b"/health/live"):
            stats = orjson.dumps(
                {"counts": server.counts, "acts": server.acts}
                | ({"seats": server.seat_enforcer.figures()} if server.seat_enforcer else {})
            )
            self.answer(200, stats if target == b"/stats" else b"", {})
            return
        if server.stamps.apply_fleet_message(target):
            self.answer(200, b"", {})
            return
        if reason := server.stamps.rejection_reason(headers):
            server.counts["older_stamps"] += 1
            self.answer(409, reason.encode(), {})
            return
        if server.seat_enforcer is not None and server.seat_enforcer.needs_seat(target):
            job, self.extra_headers = server.seat_enforcer.begin(headers.get(b"x-seat"), self.reset)
            if not job:
                self.answer(409, b"no seat", {})
                return
        else:
            job, self.extra_headers = 0, b""
        server.counts["requests"] += 1
        server.counts[target.split(b"/")[1].decode("latin-1")] += 1
        if request_id := headers.get(b"x-id"):
            server.acts[request_id.decode()] = server.acts.get(request_id.decode(), 0) + 1
        if "reset" in directives or server.lose and server.counts["requests"] % server.lose == 0:
            self.reset()
        elif "mute" not in directives:
            body = (
                b"x" * int(directives["size"])
                if "size" in directives
                else b"%s acted %d" % (server.name, body_bytes)
            )
            delay = int(float(directives.get("wait", server.service)) * SECOND // 1000)
            answer = (int(directives.get("status", 200)), body, directives, method)
            if delay:
                server.loop.call_after(delay, lambda: self.finish_job(job, *answer))
            else:
                self.finish_job(job, *answer)

    def finish_job(self, job: int, *answer: Any) -> None:  # noqa: ANN401 - the arguments of `answer`
        """Ends the job, before the first byte of its answer is sent, and answers unless it was aborted."""
        if not job or self.server.seat_enforcer.end(job):
            self.answer(*answer)

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if not self.stream.open:
            return
        self.stream.set_ends_with_reset(True)
        self.stream.close()

    def answer(self, status: int, body: bytes, directives: dict, method: bytes = b"GET") -> None:
        """Sends the answer in the way that the directives ask for."""
        if not self.stream.open:
            return
        chunks = "chunks" in directives
        head = b"HTTP/1.1 %d Fine\r\nContent-Type: text/plain\r\nX-Server: %s\r\n%b" % (
            status,
            self.server.name,
            b"Transfer-Encoding: chunked\r\n" if chunks else b"Content-Length: %d\r\n" % len(body),
        )
        if self.server.seat_enforcer is not None:
            head += self.server.seat_enforcer.clock_header() + self.extra_headers
        if "doubled" in directives:
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
        if "reset_head" in directives:
            self.stream.write(head + b"\r\n" + body[:1])
            self.server.loop.call_after(50, self.reset)
            return
        if "drip" in directives:
            self.stream.write(head + b"\r\n")
            self.unsent = body
            self.send_slowly(int(directives["drip"]) * SECOND // 1000)
            return
        self.unsent = memoryview(head + b"\r\n" + body)  # slicing a memoryview copies nothing
        self.on_output_drained(self.stream)

    def send_slowly(self, interval: int) -> None:
        """Sends a kilobyte every `interval` tenths of a ms."""
        part, self.unsent = self.unsent[:1024], self.unsent[1024:]
        self.stream.write(part)
        if self.unsent:
            self.server.loop.call_after(interval, lambda: self.send_slowly(interval))
        else:
            self.on_answer_sent()

    def on_answer_sent(self) -> None:
        """Continues with the next request."""
        self.busy = False
        self.handle_next()

    def on_output_drained(self, stream: Stream) -> None:
        """Sends as much of the answer as the stream has room for."""
        while self.unsent and stream.free_capacity() > 0:
            room = min(stream.free_capacity(), 1 << 18)
            part, self.unsent = bytes(self.unsent[:room]), self.unsent[room:]
            stream.write(part)
        if not self.unsent and self.busy:
            self.on_answer_sent()

    def on_closed(self, stream: Stream, why: str) -> None:
        """Removes the connection from the server."""
        self.server.peers.discard(self)
