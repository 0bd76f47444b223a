"""A listener and who has connected to it: a stranger until it has greeted and its host has taken it in."""

from __future__ import annotations

import socket
from typing import Protocol

from ...encoding.frames import BrokenFrameError, MessageTypes
from ...encoding.rows import Row
from ...log import Log
from ...net.listener import Listener
from ...net.loop import EventLoop
from ...net.ring_buffer import BufferPool
from .inbound import InboundLink
from .messages import Handshake
from .outbound import GREET


class Hosting(Protocol):
    """Who owns the listener."""

    def greeted(self, one: InboundLink, greeting: Handshake) -> None:
        """Sets `one.who` where it takes it in; else answers why and closes it."""

    def heard(self, one: InboundLink, word: Row) -> None: ...

    def gone(self, one: InboundLink) -> None:
        """One that was taken in has closed."""


class Acceptor:
    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        kinds: MessageTypes,
        owner: Hosting,
        whose: str,
        most: int,
        pool: BufferPool | None = None,
    ) -> None:
        """`whose`: port it is, for the log; `most` strangers at a time; `pool`: of the buffers."""
        self.loop, self.log, self.kinds, self.owner = loop, log, kinds, owner
        self.whose, self.most, self.pool = whose, most, pool
        self.strangers: set[InboundLink] = set()
        self.listener: Listener | None = None

    def start(self, at: tuple[str, int]) -> None:
        """Raises OSError where the address can't be had."""
        self.listener = Listener(
            self.loop, at, self.knock, lambda why: self.log.warning("accept_failed", why=why)
        )

    def knock(self, sock: socket.socket) -> bool:
        if len(self.strangers) >= self.most:
            self.log.warning("strangers_too_many", remedy=f"keep others off the {self.whose}' port")
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.strangers.add(InboundLink(self, sock, self.pool))
        return True

    def beat(self, now: int) -> None:
        for one in [one for one in self.strangers if now - one.since > GREET]:
            self.stranger("no greeting")
            one.close()

    # ---- of those who came -------------------------------------------------------------------------

    def greeted(self, one: InboundLink, greeting: Handshake) -> None:
        self.owner.greeted(one, greeting)
        if one.who is not None:
            self.strangers.discard(one)

    def heard(self, one: InboundLink, word: Row) -> None:
        self.owner.heard(one, word)

    def gone(self, one: InboundLink) -> None:
        self.strangers.discard(one)
        if one.who is not None:
            self.owner.gone(one)

    def stranger(self, why: str) -> None:
        self.log.warning("stranger", why=why, remedy=f"keep others off the {self.whose}' port")

    def spoilt(self, name: str, broken: BrokenFrameError) -> None:
        log_broken_frame(self.log, name, broken, self.whose)

    def close(self) -> None:
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for one in list(self.strangers):
            one.close()


def log_broken_frame(log: Log, name: str, broken: BrokenFrameError, whose: str) -> None:
    log.warning(
        "frame_spoilt",
        member=name or "unknown",
        why=broken.what,
        remedy=f"keep others off the {whose}' port; if it is a member, see the network",
    )
