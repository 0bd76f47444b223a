"""Accepts inbound links, each of which is unidentified until its handshake has been accepted."""

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
from .outbound import HANDSHAKE_TIMEOUT


class AcceptorOwner(Protocol):
    """Owner of an acceptor, which decides which handshakes to accept."""

    def on_handshake(self, link: InboundLink, handshake: Handshake) -> None:
        """Sets `link.peer` to accept the handshake; otherwise sends the reason and closes the link."""

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Handles a message from an accepted link."""

    def on_closed(self, link: InboundLink) -> None:
        """Removes an accepted link that has closed."""


class Acceptor:
    """Accepts connections at one address and closes those without an accepted handshake in time."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        kinds: MessageTypes,
        owner: AcceptorOwner,
        port_users: str,
        max_unidentified: int,
        pool: BufferPool | None = None,
    ) -> None:
        """Creates an acceptor, which listens only after `start`.

        Args:
            loop: event loop of this process.
            log: log of this process.
            kinds: message types of the connections.
            owner: decides about handshakes and handles the messages.
            port_users: which kind of peers connects to this port, for the log.
            max_unidentified: maximum number of connections without an accepted handshake.
            pool: pool of the connections' buffers; by default that of the loop.
        """
        self.loop = loop
        self.log = log
        self.kinds = kinds
        self.owner = owner
        self.port_users = port_users
        self.max_unidentified = max_unidentified
        self.pool = pool
        self.unidentified: set[InboundLink] = set()
        self.listener: Listener | None = None

    def start(self, address: tuple[str, int]) -> None:
        """Listens at the address; raises OSError if that fails."""
        self.listener = Listener(
            self.loop, address, self.on_connection, lambda why: self.log.warning("accept_failed", why=why)
        )

    def on_connection(self, sock: socket.socket) -> bool:
        """Takes over an accepted socket; returns False if too many connections are unidentified."""
        if len(self.unidentified) >= self.max_unidentified:
            self.log.warning(
                "strangers_too_many", remedy=f"block other hosts from the {self.port_users}' port"
            )
            return False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unidentified.add(InboundLink(self, sock, self.pool))
        return True

    def tick(self, now: int) -> None:
        """Closes the links whose handshake has timed out."""
        overdue = [link for link in self.unidentified if now - link.accepted_at > HANDSHAKE_TIMEOUT]
        for link in overdue:
            self.on_unidentified("no handshake in time")
            link.close()

    # ---- events of the inbound links -----------------------------------------------------------------

    def on_handshake(self, link: InboundLink, handshake: Handshake) -> None:
        """Passes a handshake to the owner; an accepted link no longer counts as unidentified."""
        self.owner.on_handshake(link, handshake)
        if link.peer is not None:
            self.unidentified.discard(link)

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Passes a message of an accepted link to the owner."""
        self.owner.on_message(link, message)

    def on_closed(self, link: InboundLink) -> None:
        """Removes a closed link, and notifies the owner if the link had been accepted."""
        self.unidentified.discard(link)
        if link.peer is not None:
            self.owner.on_closed(link)

    def on_unidentified(self, why: str) -> None:
        """Logs that a connection is closed without an accepted handshake."""
        self.log.warning("stranger", why=why, remedy=f"block other hosts from the {self.port_users}' port")

    def on_corrupt_frame(self, name: str, error: BrokenFrameError) -> None:
        """Logs a corrupt frame from the named peer; the name is empty for an unidentified one."""
        log_broken_frame(self.log, name, error, self.port_users)

    def close(self) -> None:
        """Stops listening and closes all unidentified links."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for link in list(self.unidentified):
            link.close()


def log_broken_frame(log: Log, name: str, error: BrokenFrameError, port_users: str) -> None:
    """Logs a corrupt frame that a peer of the kind `port_users` sent; an empty name is logged as unknown."""
    log.warning(
        "frame_spoilt",
        member=name or "unknown",
        why=error.problem,
        remedy=f"block other hosts from the {port_users}' port; if a member sent it, check the network",
    )
