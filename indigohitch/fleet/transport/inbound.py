"""The accepting end of a link; `outbound` contains the dialling end."""

from __future__ import annotations

import socket
from typing import Protocol

from ...encoding.frames import BrokenFrameError, FrameDecoder, MessageTypes
from ...encoding.rows import Row
from ...net.connection import Connection
from ...net.loop import EventLoop
from ...net.ring_buffer import BufferPool, RingBuffer
from ..types import MemberId
from .messages import Handshake, Ping, Pong

# Bytes that a connection may buffer unread, in addition to one frame of the largest size.
EXTRA_UNREAD_BYTES = 64 << 10
# Body of a frame before the handshake is accepted; a handshake has a few hundred bytes.
MAX_HANDSHAKE_BYTES = 4 << 10
# Bounds on an unidentified connection's reads in a turn of the event loop.
UNIDENTIFIED_READS = 1
UNIDENTIFIED_READ_BYTES = 4 << 10
# The same for an accepted one; the owner may lower them.
PEER_READS = 4
PEER_READ_BYTES = 4 << 10
# Length of the magic at the start of a frame; it reveals another protocol before a whole header has arrived.
MAGIC_BYTES = 4


class InboundOwner(Protocol):
    """Owner of inbound links, called at their events."""

    loop: EventLoop
    kinds: MessageTypes

    def on_handshake(self, link: InboundLink, handshake: Handshake) -> None:
        """Accepts the link by setting its `peer`, or closes it."""

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Handles a message of an accepted link."""

    def on_closed(self, link: InboundLink) -> None:
        """Removes the link; called at least once for each link."""

    def on_unidentified(self, why: str) -> None:
        """Reports that a link is closed without an accepted handshake."""

    def on_corrupt_frame(self, name: str, error: BrokenFrameError) -> None:
        """Reports a corrupt frame of the named peer; the name is empty if the link is unidentified."""


class InboundLink:
    """A connection that another process dialled; `peer` is None until its handshake is accepted."""

    def __init__(self, owner: InboundOwner, sock: socket.socket, pool: BufferPool | None = None) -> None:
        """Takes over an accepted socket; `pool` provides its buffers, by default the pool of the loop."""
        self.owner = owner
        self.peer: MemberId | None = None
        self.token = 0
        self.accepted_at = owner.loop.clock.now()
        self.last_received_at = self.accepted_at
        self.frames = FrameDecoder(owner.kinds, MAX_HANDSHAKE_BYTES)
        self.max_frame_bytes = owner.kinds.max_frame_bytes  # once it is accepted; the owner may lower it
        self.peer_reads = PEER_READS
        self.peer_read_bytes = PEER_READ_BYTES
        self.pool = pool or owner.loop.pool
        self.reserved_bytes = 0  # of the pool, for the incomplete frame
        self.connection = Connection.accepted(
            owner.loop, sock, self, owner.kinds.max_frame_bytes + EXTRA_UNREAD_BYTES, self.pool
        )
        self.connection.limit_reads(UNIDENTIFIED_READS, UNIDENTIFIED_READ_BYTES, low_priority=True)

    def on_data(self, connection: Connection) -> None:
        """Handles the frames that have arrived; a corrupt one closes the link."""
        self.last_received_at = self.owner.loop.clock.now()
        try:
            for message, _ in self.frames.feed(connection.incoming.take()):
                self._on_frame(message)
                if not connection.open:
                    return
            if not self.owner.kinds.magic.startswith(self.frames.buffer[:MAGIC_BYTES]):
                # Less than a header has arrived, but its magic is wrong already: do not wait for the rest.
                raise BrokenFrameError("another protocol")
        except BrokenFrameError as error:
            self.owner.on_corrupt_frame(self.peer.name if self.peer else "", error)
            self.close()
            return
        if not self._reserve(len(self.frames.buffer) - RingBuffer.FIRST_BLOCK):
            self.owner.on_unidentified("its frame does not fit into the memory for connections")
            self.close()

    def _reserve(self, size: int) -> bool:
        """Reserves this size of the pool in place of what was reserved; returns whether it was available."""
        more = max(0, size) - self.reserved_bytes
        if more > 0 and not self.pool.take(more):
            return False
        if more < 0:
            self.pool.give(-more)
        self.reserved_bytes += more
        return True

    def _on_frame(self, message: Row) -> None:
        if self.peer is not None:
            self._on_peer_message(message)
        elif isinstance(message, Handshake):
            self.owner.on_handshake(self, message)
            if self.peer is not None and self.connection.open:
                self._on_accepted()
        else:
            self.owner.on_unidentified(f"{type(message).__name__} before the handshake")
            self.close()

    def _on_accepted(self) -> None:
        """Lifts the limits of unidentified connections."""
        self.frames.max_body_bytes = self.max_frame_bytes
        self.connection.limit_reads(self.peer_reads, self.peer_read_bytes, low_priority=False)

    def _on_peer_message(self, message: Row) -> None:
        if isinstance(message, Ping):
            self.send(Pong(message.number))
        else:
            self.owner.on_message(self, message)

    def send(self, message: Row) -> bool:
        """Sends a message; returns False if it was dropped."""
        return self.send_frame(self.owner.kinds.frame(message))

    def send_frame(self, data: bytes) -> bool:
        """Sends an encoded frame; returns False if it does not fit into the buffer or the link is closed."""
        if not self.connection.open or self.connection.outgoing.free_capacity() < len(data):
            return False
        self.connection.write(data)
        return True

    def on_closed(self, connection: Connection, why: str) -> None:
        """Reports to the owner that the connection has ended."""
        self._reserve(0)
        self.owner.on_closed(self)

    def close(self) -> None:
        """Closes the connection and reports it to the owner; may be called again."""
        if self.connection.open:
            self.connection.close()
        self._reserve(0)
        self.owner.on_closed(self)
