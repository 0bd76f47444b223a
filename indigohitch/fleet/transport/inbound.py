"""The end of a link that is accepted; ends.py has the one that dials."""

from __future__ import annotations

import socket
from typing import Protocol

from ...encoding.frames import BrokenFrameError, FrameDecoder, MessageTypes
from ...encoding.rows import Row
from ...net.connection import Connection
from ...net.loop import EventLoop
from ...net.ring_buffer import BufferPool
from .messages import Handshake, Ping, Pong


class Host(Protocol):
    """Who accepts connections."""

    loop: EventLoop
    kinds: MessageTypes

    def greeted(self, one: InboundLink, greeting: Handshake) -> None: ...

    def heard(self, one: InboundLink, word: Row) -> None: ...

    def gone(self, one: InboundLink) -> None: ...

    def stranger(self, why: str) -> None:
        """Someone who has not greeted is sent away."""

    def spoilt(self, name: str, broken: BrokenFrameError) -> None: ...


class InboundLink:
    """Another one's words to us; a stranger until it has greeted."""

    def __init__(self, links: Host, sock: socket.socket, pool: BufferPool | None = None) -> None:
        """`pool`: of its buffers, the loop's own where none is named."""
        self.links, self.who, self.token = links, None, 0
        self.since = self.heard_at = links.loop.clock.now()
        self.frames = FrameDecoder(links.kinds)
        self.connection = Connection.accepted(
            links.loop, sock, self, links.kinds.most + (64 << 10), pool or links.loop.pool
        )

    def on_data(self, connection: Connection) -> None:
        self.heard_at = self.links.loop.clock.now()
        try:
            for word, _ in self.frames.feed(connection.incoming.take()):
                self.take(word)
                if not connection.open:
                    return
            if not self.links.kinds.magic.startswith(self.frames.rest[:4]):
                raise BrokenFrameError("another protocol")  # less than a head: nobody need wait for the rest
        except BrokenFrameError as broken:
            self.links.spoilt(self.who.name if self.who else "", broken)
            self.close()

    def take(self, word: Row) -> None:
        if self.who is None:
            if isinstance(word, Handshake):
                self.links.greeted(self, word)
            else:
                self.links.stranger(f"{type(word).__name__} before a greeting")
                self.close()
        elif isinstance(word, Ping):
            self.answer(Pong(word.number))
        else:
            self.links.heard(self, word)

    def answer(self, word: Row) -> bool:
        """False where it was dropped."""
        return self.put(self.links.kinds.frame(word))

    def put(self, data: bytes) -> bool:
        """A frame; False where it was dropped."""
        if not self.connection.open or self.connection.outgoing.room() < len(data):
            return False
        self.connection.write(data)
        return True

    def on_closed(self, connection: Connection, why: str) -> None:
        self.links.gone(self)

    def close(self) -> None:
        if self.connection.open:
            self.connection.close()
        self.links.gone(self)
