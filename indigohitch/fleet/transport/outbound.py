"""The dialling end of a link; `inbound` contains the accepting end."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from ...encoding.frames import BrokenFrameError, FrameDecoder, MessageTypes
from ...encoding.rows import Row
from ...log import Log
from ...net.clock import SECOND
from ...net.connection import Connection
from ...net.loop import EventLoop
from ..types import MemberId
from .messages import Handshake, HandshakeAccepted, HandshakeRefused, Ping, Pong
from .phases import Phase

# For a connect and for a handshake; on the network of one site neither succeeds after longer than this.
HANDSHAKE_TIMEOUT = SECOND
PING_INTERVAL = SECOND // 2
# Longer than any pause of a healthy process.  A link without replies for this time is closed and dialled
# again, as the messages buffered on it are outdated by then.
SILENCE_TIMEOUT = 2 * SECOND
# First and largest backoff between dials, so that a member that is back receives a leader's messages within
# the time of one or two elections.
MIN_BACKOFF = SECOND // 20
MAX_BACKOFF = SECOND // 2
# Size of the kernel's send buffer of a link.  Data in it cannot be withdrawn when it is outdated.
SEND_BUFFER_BYTES = 128 << 10


class Dialler(Protocol):
    """Owner of dialled links; `chance` returns random numbers in [0, 1) for the jitter of the backoff."""

    loop: EventLoop
    log: Log
    kinds: MessageTypes
    chance: Callable[[], float]

    def handshake(self) -> Handshake:
        """Returns the first message of a connection."""

    def on_accepted(self, link: OutboundLink, acceptance: HandshakeAccepted) -> bool:
        """Returns whether the process that replied is the one that was dialled."""

    def on_link_up(self, link: OutboundLink) -> None:
        """Reports that the link is open."""

    def on_link_down(self, link: OutboundLink, why: str) -> None:
        """Reports that an open link is lost."""

    def on_unreachable(self, link: OutboundLink, why: str) -> None:
        """Reports that the peer could not be connected, or did not accept the handshake."""

    def on_reply(self, link: OutboundLink, message: Row) -> None:
        """Handles a message that came back over the link and is not about the link itself."""

    def on_corrupt_frame(self, name: str, error: BrokenFrameError) -> None:
        """Reports a corrupt frame of the named peer."""


class OutboundLink:
    """Sends messages to one peer, and dials it again whenever the connection is lost.

    A message that does not fit into the buffer is dropped, never queued, as Raft retransmits what matters.
    """

    def __init__(
        self,
        owner: Dialler,
        name: str,
        address: tuple[str, int],
        ping_interval: int = PING_INTERVAL,
        silence_timeout: int = SILENCE_TIMEOUT,
    ) -> None:
        """Creates a link that dials at its first tick; the intervals are in ticks of the clock."""
        self.owner = owner
        self.name = name
        self.address = address
        self.ping_interval = ping_interval
        self.silence_timeout = silence_timeout
        self.phase = Phase.DISCONNECTED
        self.phase_since = 0
        self.next_dial_at = 0
        self.backoff = MIN_BACKOFF
        self.connection: Connection | None = None
        self.frames = FrameDecoder(owner.kinds)
        self.acceptance: HandshakeAccepted | None = None  # the last one; stays valid when the link is lost
        self.last_received_at = 0
        self.next_ping_at = 0
        self.pings = 0
        self.dropped = 0
        self.bytes_received = 0
        self.bytes_sent = 0

    @property
    def peer(self) -> MemberId | None:
        """The member at the other end; None while the link is not open."""
        return self.acceptance.who if self.phase is Phase.OPEN else None

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.phase_since = self.owner.loop.clock.now()

    # ---- timers --------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Dials, closes or pings the link, whichever is due."""
        match self.phase:
            case Phase.DISCONNECTED:
                if now >= self.next_dial_at:
                    self.dial()
            case Phase.DIALLING | Phase.HANDSHAKING:
                if now - self.phase_since > HANDSHAKE_TIMEOUT:
                    self.connection.close("timed out")
            case _:
                self._check_liveness(now)

    def _check_liveness(self, now: int) -> None:
        if now - self.last_received_at > self.silence_timeout:
            self.owner.log.warning(
                "member_silent",
                member=self.name,
                ms=(now - self.last_received_at) / 10,
                remedy="check that it runs and that its address is reachable",
            )
            self.connection.close("no reply to pings")
        elif now >= self.next_ping_at:
            self.pings += 1
            self.next_ping_at = now + self.ping_interval
            self._write(Ping(self.pings))

    def dial(self) -> None:
        """Starts to connect; a failure schedules the next dial."""
        self.owner.log.count("links_dialled")
        try:
            self.connection = Connection.dial(self.owner.loop, self.address, self)
        except OSError as error:
            self._lose(str(error))
            return
        self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.frames = FrameDecoder(self.owner.kinds)
        self._enter(Phase.DIALLING)

    # ---- events of the connection ----------------------------------------------------------------------

    def on_connected(self, connection: Connection) -> None:
        """Sends the handshake over the new connection."""
        self._enter(Phase.HANDSHAKING)
        self._write(self.owner.handshake())

    def on_data(self, connection: Connection) -> None:
        """Handles the frames that have arrived; a corrupt one closes the connection."""
        data = connection.incoming.take()
        self.bytes_received += len(data)
        try:
            for message, _ in self.frames.feed(data):
                self._on_frame(message)
                if not connection.open:
                    return
        except BrokenFrameError as error:
            self.owner.on_corrupt_frame(self.name, error)
            connection.close("corrupt frame")

    def _on_frame(self, message: Row) -> None:
        now = self.owner.loop.clock.now()
        match message:
            case HandshakeAccepted() if self.phase is Phase.HANDSHAKING:
                self._on_accepted(now, message)
            case HandshakeRefused(why):
                self.owner.log.warning("refused_by_member", member=self.name, why=why)
                self.backoff = MAX_BACKOFF
                self.connection.close("handshake refused")
            case Pong():
                self.last_received_at = now
            case _ if self.phase is Phase.OPEN:
                self.last_received_at = now
                self.owner.on_reply(self, message)

    def _on_accepted(self, now: int, acceptance: HandshakeAccepted) -> None:
        if not self.owner.on_accepted(self, acceptance):
            self.connection.close("not the peer that was dialled")
            return
        self.acceptance = acceptance
        self.last_received_at = now
        self.backoff = MIN_BACKOFF
        self.next_ping_at = now + self.ping_interval
        self._enter(Phase.OPEN)
        self.owner.on_link_up(self)

    def on_closed(self, connection: Connection, why: str) -> None:
        """Schedules the next dial, unless the link was closed or has a newer connection."""
        if connection is self.connection and self.phase is not Phase.CLOSED:
            self._lose(why)

    def _lose(self, why: str) -> None:
        """Schedules the next dial with exponential backoff; jitter keeps members from dialling at once."""
        was_open = self.phase is Phase.OPEN
        self.connection = None
        self._enter(Phase.DISCONNECTED)
        self.next_dial_at = self.phase_since + int(self.backoff * (0.5 + self.owner.chance()))
        self.backoff = min(2 * self.backoff, MAX_BACKOFF)
        if was_open:
            self.owner.on_link_down(self, why)
        else:
            self.owner.on_unreachable(self, why)

    # ---- calls of the owner ----------------------------------------------------------------------------

    def send(self, message: Row) -> bool:
        """Sends a message; returns False if it was dropped."""
        if self.phase is not Phase.OPEN:
            self.dropped += 1
            return False
        return self._write(message)

    def _write(self, message: Row) -> bool:
        data = self.owner.kinds.frame(message)
        if self.connection.outgoing.free_capacity() < len(data):
            self.dropped += 1
            self.owner.log.count("words_dropped")
            return False
        self.connection.write(data)
        self.bytes_sent += len(data)
        return True

    def on_peer_identified(self, peer: MemberId, token: int) -> None:
        """Dials at once, because the peer has just dialled this member and so is reachable.

        An open link to an earlier start of the peer, or to the peer under an earlier number, is closed.
        """
        if self.phase is Phase.OPEN and (self.acceptance.who, self.acceptance.token) != (peer, token):
            self.connection.close("the peer restarted or changed its number")
        if self.phase is Phase.DISCONNECTED:
            self.next_dial_at = 0
            self.backoff = MIN_BACKOFF
            self.tick(self.owner.loop.clock.now())

    def close(self) -> None:
        """Closes the link permanently."""
        self._enter(Phase.CLOSED)
        if self.connection is not None:
            self.connection.close()
