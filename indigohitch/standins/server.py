"""A stand-in for a server: answers RPCs, counts what it acted on, and fails as the request asks.

A request's header `X-Act` orders faults, as `word` or `word=value` by commas:
    wait=MS         answer so much later
    status=N        with that status
    size=BYTES      a body of that length; `chunks`: in chunks; `drip=MS`: a kilobyte each so many ms
    early           answer before the body has come
    reset           reset instead of answering, after acting; `reset_head`: after the answer's head
    mute            never answer
    doubled         an answer with two lengths
`X-Id` names an act: how often each was acted on is kept.  GET /stats tells the counts, GET /health/live
answers 200.  With licensed paths it takes these by their seats alone (seated.py); an RPC by an older stamp
than has come is refused (stamped.py)."""

from __future__ import annotations

import signal
import socket
import sys
from collections import Counter

from ..net.clock import Clock
from ..net.listener import Listener
from ..net.loop import EventLoop
from ..net.ring_buffer import BufferPool
from .peer import Peer
from .seated import Seated
from .stamped import Stamped


def further(n: int, port: int) -> tuple[str, int]:
    return f"127.1.{n // 250}.{1 + n % 250}", port


class Server:
    def __init__(
        self,
        loop: EventLoop,
        name: str,
        at: tuple[str, int],
        service: float = 0.0,
        lose: int = 0,
        seated: Seated | None = None,
    ) -> None:
        """`service`: ms that every answer takes; `lose`: every so many RPCs one is acted on, and reset."""
        self.seated, self.stamped = seated, Stamped()
        self.loop, self.name, self.service, self.lose = loop, name.encode(), service, lose
        self.memory = BufferPool(1 << 30)
        self.counts: Counter[str] = Counter()
        self.acts: dict[str, int] = {}
        self.peers: set[Peer] = set()
        self.listeners = [Listener(loop, at, self.greet, print)]

    def also(self, count: int, port: int) -> None:
        """Listen at further addresses of the loopback range, as if there were more servers."""
        self.listeners += [Listener(self.loop, further(n, port), self.greet, print) for n in range(count)]

    def greet(self, sock: socket.socket) -> bool:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.counts["connections"] += 1
        self.peers.add(Peer(self, sock))
        return True


def main(
    at: tuple[str, int],
    name: str,
    service: float,
    also: int = 0,
    lose: int = 0,
    licensed: tuple[str, ...] = (),
    meter: str = "",
) -> None:
    if not at[0].startswith("127."):
        raise SystemExit("a stand-in listens on loopback only")

    def failed(broken: BaseException) -> None:
        print(f"stand-in: {type(broken).__name__}: {broken}", file=sys.stderr, flush=True)

    loop = EventLoop(Clock(), failed)
    seated = Seated(loop, licensed, meter) if licensed else None
    Server(loop, name, at, service, lose, seated).also(also, at[1])
    print(f"{name} on {at[0]}:{at[1]}", flush=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(0))
    while True:
        loop.turn()
