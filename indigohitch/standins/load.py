"""A stand-in for clients: an open loop at a fixed rate, or a closed one, over persistent and new connections.

Latency counts from the time at which a request was due, so a stall shows in all requests that it delayed.
A request is lost if no complete answer arrived for it, or one with a status of 500 or more.
"""

from __future__ import annotations

import random
import signal
import sys
from collections.abc import Callable

import orjson

from ..net.clock import SECOND, Clock
from ..net.connection import parse_address
from ..net.loop import EventLoop
from ..net.request_connection import RequestConnection


class Load:
    """Sends requests and records their results.

    `kept` is the number of persistent connections, `fresh` the share of requests on a connection of their
    own, `reserve` the share of requests that reserve, `keys` the number of places.  Each request's id begins
    with `prefix`.
    """

    def __init__(
        self,
        to: tuple[str, int],
        seed: int = 1,
        kept: int = 50,
        fresh: float = 0.2,
        reserve: float = 0.24,
        keys: int = 5000,
        prefix: str = "r",
    ) -> None:
        def raise_error(error: BaseException) -> None:
            raise error

        self.loop = EventLoop(Clock(), raise_error)
        self.loop.pool.available = 1 << 30
        self.to, self.kept, self.fresh, self.reserve, self.keys = to, kept, fresh, reserve, keys
        rng = random.Random(seed)
        self.uniform, self.randrange, self.prefix = rng.random, rng.randrange, prefix
        self.idle: dict[RequestConnection, None] = {}
        self.single_use: set[RequestConnection] = set()  # connections for one request each
        self.kept_open = self.out = self.number = 0  # `out`: requests in flight
        self.results: list[tuple[int, int, int, str, str]] = []  # due, duration, status, id, reason
        self.reserves: set[str] = set()
        self.stopped = False
        self.on_result = None

    def build_request(self, act: str = "") -> tuple[str, bytes]:
        """Returns the id and the bytes of the next request; `act` is its `X-Act` header."""
        self.number += 1
        id, key = f"{self.prefix}{self.number}", self.randrange(self.keys)
        extra = f"X-Act: {act}\r\n" if act else ""
        if self.uniform() < self.reserve:
            self.reserves.add(id)
            body = b'{"place":%d}' % key
            return id, (
                f"POST /places/{key}/reserve HTTP/1.1\r\nHost: t\r\nX-Id: {id}\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode() + body
        return id, f"GET /vacancies/{key} HTTP/1.1\r\nHost: t\r\nX-Id: {id}\r\n{extra}\r\n".encode()

    def begin(self, due: int, act: str = "") -> None:
        """Sends a request that was due at `due`, over an idle, a new or a single-use connection."""
        id, data = self.build_request(act)
        self.out += 1
        if self.uniform() < self.fresh:
            connection = RequestConnection(self)
            self.single_use.add(connection)
        elif self.idle and self.kept_open >= self.kept:
            connection = next(iter(self.idle))  # the one idle for the longest time, so that all stay in use
            del self.idle[connection]
        else:
            connection = RequestConnection(self)
            self.kept_open += 1
        connection.send((due, id), data)

    def release(self, connection: RequestConnection) -> None:
        """Makes the connection idle, or closes it if enough are idle."""
        if len(self.idle) < self.kept:
            self.idle[connection] = None
        else:
            connection.stream.close()
            self.kept_open -= 1

    def on_connection_closed(self, connection: RequestConnection) -> None:
        """Forgets a connection that was closed."""
        self.idle.pop(connection, None)
        if connection in self.single_use:
            self.single_use.discard(connection)
        else:
            self.kept_open -= 1

    def on_request_ended(self, connection: RequestConnection, job: tuple, status: int, why: str) -> None:
        """Records the result of a request; `status` is 0 if no complete answer arrived."""
        if connection in self.single_use:
            self.single_use.discard(connection)
            connection.stream.close()
        elif connection.is_reusable:
            self.release(connection)
        self.out -= 1
        self.results.append((job[0], self.loop.clock.now() - job[0], status, job[1], why))
        if self.on_result is not None:
            self.on_result()

    def run_open(self, rate: float, seconds: float, act: Callable[[int], str] = lambda due: "") -> None:
        """Sends `rate` requests a second, evenly spaced, for `seconds`.

        Returns once the last answer has arrived, or ten seconds after the end.
        """
        now = self.loop.clock.now
        started, total, sent = now(), int(rate * seconds), 0

        def tick() -> None:
            nonlocal sent
            while sent < total and started + int(sent * SECOND / rate) <= now():
                due = started + int(sent * SECOND / rate)
                self.begin(due, act(due - started))
                sent += 1
            if sent < total:
                self.loop.call_at(started + int(sent * SECOND / rate), tick)

        tick()
        self.turn_until(lambda: sent >= total and not self.out, seconds + 10)

    def run_closed(self, connections: int, seconds: float) -> None:
        """Keeps one request in flight per connection for `seconds`."""
        now = self.loop.clock.now
        end = now() + int(seconds * SECOND)
        self.kept = connections

        def begin_next() -> None:
            if now() < end:
                self.begin(now())

        self.on_result = begin_next
        for _ in range(connections):
            self.begin(now())
        self.turn_until(lambda: now() >= end and not self.out, seconds + 5)

    def turn_until(self, done: Callable[[], bool], max_seconds: float) -> None:
        """Runs the loop until `done()`, for at most `max_seconds` or until stopped."""
        end = self.loop.clock.now() + int(max_seconds * SECOND)
        self.loop.call_at(end, lambda: None)
        while not self.stopped and not done() and self.loop.clock.now() < end:
            self.loop.turn()

    def figures(self) -> dict:
        """Returns counts of requests and losses, reasons of losses, and latencies in ms."""
        durations = sorted(result[1] for result in self.results)
        lost = [result for result in self.results if not 0 < result[2] < 500]
        reasons: dict[str, int] = {}
        for result in lost:
            reasons[result[4] or str(result[2])] = reasons.get(result[4] or str(result[2]), 0) + 1
        return {
            "requests": len(self.results) + self.out,
            "lost": len(lost) + self.out,
            "unanswered": self.out,
            "why": reasons,
            "p50_ms": durations[len(durations) // 2] / 10 if durations else None,
            "p99_ms": durations[len(durations) * 99 // 100] / 10 if durations else None,
        }


def main(words: list[str]) -> None:
    """Runs TARGET open RATE SECONDS [KEPT FRESH RESERVE SEED] or TARGET closed CONNECTIONS SECONDS.

    Prints the figures as JSON.  Raises SystemExit for a target off loopback.
    """
    target, mode, amount, seconds, *rest = words
    to = parse_address(target)
    if not to[0].startswith("127."):
        raise SystemExit("a stand-in sends to loopback only")
    kept, fresh, reserve, seed = [*map(float, rest), *(50, 0.2, 0.24, 1)[len(rest) :]]
    load = Load(
        to, int(seed), int(kept), fresh if mode == "open" else 0.0, reserve if mode == "open" else 0.0
    )
    signal.signal(signal.SIGTERM, lambda *_: setattr(load, "stopped", True))
    if mode == "open":
        load.run_open(float(amount), float(seconds))
    else:
        load.run_closed(int(amount), float(seconds))
    report = load.figures()
    if mode == "closed":
        report["per_second"] = round(len(load.results) / float(seconds))
    else:
        report["results"] = load.results
        report["reserves"] = sorted(load.reserves)
    print(orjson.dumps(report).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
