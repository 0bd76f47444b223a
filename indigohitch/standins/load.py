"""A stand-in for clients: an open loop at a fixed rate, or a closed one, over kept and fresh connections.

Latency counts from the time at which a request was due, so that a stall shows in all that waited for it.
A request is lost if no whole answer came for it, or one with a status of 500 and more."""

from __future__ import annotations

import random
import signal
import sys

import orjson

from ..net.clock import SECOND, Clock
from ..net.connection import parse_address
from ..net.loop import EventLoop
from ..net.request_connection import RequestConnection


class Load:
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
        def failed(broken: BaseException) -> None:
            raise broken

        self.loop = EventLoop(Clock(), failed)
        self.loop.pool.available = 1 << 30
        self.to, self.kept, self.fresh, self.reserve, self.keys = to, kept, fresh, reserve, keys
        rng = random.Random(seed)
        self.uniform, self.randrange, self.prefix = rng.random, rng.randrange, prefix
        self.spare: dict[RequestConnection, None] = {}
        self.once: set[RequestConnection] = set()  # wires for one request
        self.kept_open = self.out = self.number = 0
        self.results: list[tuple[int, int, int, str, str]] = []  # due, took, status, id, why
        self.reserves: set[str] = set()
        self.stopped = False
        self.then = None

    def form(self, act: str = "") -> tuple[str, bytes]:
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
        id, data = self.form(act)
        self.out += 1
        if self.uniform() < self.fresh:
            wire = RequestConnection(self)
            self.once.add(wire)
        elif self.spare and self.kept_open >= self.kept:
            wire = next(iter(self.spare))  # the one that rested longest: all stay in use
            del self.spare[wire]
        else:
            wire = RequestConnection(self)
            self.kept_open += 1
        wire.send((due, id), data)

    def free(self, wire: RequestConnection) -> None:
        if len(self.spare) < self.kept:
            self.spare[wire] = None
        else:
            wire.stream.close()
            self.kept_open -= 1

    def on_connection_closed(self, wire: RequestConnection) -> None:
        self.spare.pop(wire, None)
        if wire in self.once:
            self.once.discard(wire)
        else:
            self.kept_open -= 1

    def on_request_ended(self, wire: RequestConnection, job: tuple, status: int, why: str) -> None:
        if wire in self.once:
            self.once.discard(wire)
            wire.stream.close()
        elif wire.is_reusable:
            self.free(wire)
        self.out -= 1
        self.results.append((job[0], self.loop.clock.now() - job[0], status, job[1], why))
        if self.then is not None:
            self.then()

    def run_open(self, rate: float, seconds: float, act=lambda due: "") -> None:
        """`rate` a second, evenly spaced; ends once the last answer came, or after ten seconds more."""
        now = self.loop.clock.now
        begin, total, sent = now(), int(rate * seconds), 0

        def tick() -> None:
            nonlocal sent
            while sent < total and begin + int(sent * SECOND / rate) <= now():
                due = begin + int(sent * SECOND / rate)
                self.begin(due, act(due - begin))
                sent += 1
            if sent < total:
                self.loop.call_at(begin + int(sent * SECOND / rate), tick)

        tick()
        self.turn_until(lambda: sent >= total and not self.out, seconds + 10)

    def run_closed(self, connections: int, seconds: float) -> None:
        """As many at once as connections, each followed by the next."""
        now = self.loop.clock.now
        end = now() + int(seconds * SECOND)
        self.kept = connections

        def then() -> None:
            if now() < end:
                self.begin(now())

        self.then = then
        for _ in range(connections):
            self.begin(now())
        self.turn_until(lambda: now() >= end and not self.out, seconds + 5)

    def turn_until(self, done, most: float) -> None:
        end = self.loop.clock.now() + int(most * SECOND)
        self.loop.call_at(end, lambda: None)
        while not self.stopped and not done() and self.loop.clock.now() < end:
            self.loop.turn()

    def figures(self) -> dict:
        took = sorted(r[1] for r in self.results)
        lost = [r for r in self.results if not 0 < r[2] < 500]
        whys: dict[str, int] = {}
        for r in lost:
            whys[r[4] or str(r[2])] = whys.get(r[4] or str(r[2]), 0) + 1
        return {
            "requests": len(self.results) + self.out,
            "lost": len(lost) + self.out,
            "unanswered": self.out,
            "why": whys,
            "p50_ms": took[len(took) // 2] / 10 if took else None,
            "p99_ms": took[len(took) * 99 // 100] / 10 if took else None,
        }


def main(words: list[str]) -> None:
    """TARGET open RATE SECONDS [KEPT FRESH RESERVE SEED] | TARGET closed CONNECTIONS SECONDS"""
    target, how, first, seconds, *rest = words
    to = parse_address(target)
    if not to[0].startswith("127."):
        raise SystemExit("a stand-in sends to loopback only")
    kept, fresh, reserve, seed = [*map(float, rest), *(50, 0.2, 0.24, 1)[len(rest) :]]
    load = Load(to, int(seed), int(kept), fresh if how == "open" else 0.0, reserve if how == "open" else 0.0)
    signal.signal(signal.SIGTERM, lambda *_: setattr(load, "stopped", True))
    if how == "open":
        load.run_open(float(first), float(seconds))
    else:
        load.run_closed(int(first), float(seconds))
    found = load.figures()
    if how == "closed":
        found["per_second"] = round(len(load.results) / float(seconds))
    else:
        found["results"] = load.results
        found["reserves"] = sorted(load.reserves)
    print(orjson.dumps(found).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
