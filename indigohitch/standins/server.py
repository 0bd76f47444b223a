"""A stand-in server: answers RPCs, counts those that it acted on, and fails as the request asks.

A request's header `X-Act` selects faults, as `word` or `word=value` separated by commas:
    wait=MS         answer after a delay
    status=N        answer with that status
    size=BYTES      a body of that length; `chunks`: chunked encoding; `drip=MS`: a kilobyte each so many ms
    early           answer before the body has arrived
    reset           reset instead of answering, after acting; `reset_head`: after the head of the answer
    mute            never answer
    doubled         an answer with two Content-Length headers
`X-Id` identifies an action: the server counts how often it acted on each.  GET /stats returns the counts,
GET /health/live answers 200.  An RPC on a licensed path needs a seat (seat_enforcer.py).  One
whose stamp is older than one received before is refused (stamp_guard.py).
"""

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
from .seat_enforcer import SeatEnforcer
from .stamp_guard import StampGuard


def further(n: int, port: int) -> tuple[str, int]:
    """Returns the n-th additional address on loopback, 250 in each network 127.1.x."""
    return f"127.1.{n // 250}.{1 + n % 250}", port


class Server:
    """A stand-in server with its listeners, connections and counts."""

    def __init__(
        self,
        loop: EventLoop,
        name: str,
        at: tuple[str, int],
        service: float = 0.0,
        lose: int = 0,
        seat_enforcer: SeatEnforcer | None = None,
    ) -> None:
        """Begins to listen at `at`.

        `service` is the time in ms that each answer takes.  Each `lose`-th RPC is acted on and then reset
        without an answer; 0: none.  Raises OSError if the address cannot be bound.
        """
        self.seat_enforcer, self.stamps = seat_enforcer, StampGuard()
        self.loop, self.name, self.service, self.lose = loop, name.encode(), service, lose
        self.buffer_pool = BufferPool(1 << 30)
        self.counts: Counter[str] = Counter()
        self.acts: dict[str, int] = {}
        self.peers: set[Peer] = set()
        self.listeners = [Listener(loop, at, self.on_accepted, print)]

    def also(self, count: int, port: int) -> None:
        """Listens at `count` more loopback addresses, as if there were more servers."""
        self.listeners += [
            Listener(self.loop, further(n, port), self.on_accepted, print) for n in range(count)
        ]

    def on_accepted(self, sock: socket.socket) -> bool:
        """Serves an accepted connection; returns True, as the listener goes on accepting."""
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
    """Runs a stand-in server until it is terminated.

    `service` is in ms; `also` is the number of additional addresses; `licensed` are the path prefixes of RPCs
    that need a seat, whose jobs are written to the file `meter`.  Raises SystemExit for an address off
    loopback.
    """
    if not at[0].startswith("127."):
        raise SystemExit("a stand-in listens on loopback only")

    def report_error(error: BaseException) -> None:
        print(f"stand-in: {type(error).__name__}: {error}", file=sys.stderr, flush=True)

    loop = EventLoop(Clock(), report_error)
    seat_enforcer = SeatEnforcer(loop, licensed, meter) if licensed else None
    Server(loop, name, at, service, lose, seat_enforcer).also(also, at[1])
    print(f"{name} on {at[0]}:{at[1]}", flush=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    signal.signal(signal.SIGINT, lambda *_: sys.exit(0))
    while True:
        loop.turn()
