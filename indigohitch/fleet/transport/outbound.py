"""The end of a link that dials; accepted.py has the other one."""

from __future__ import annotations

import enum
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

# A connect or a greeting that takes longer than this on one site's net comes to nothing.
GREET = SECOND
PULSE = SECOND // 2
# Longer than any pause of a healthy process; a link on which nothing comes back any more is dialled anew, as
# what waits on it is old by then.
SILENT = 2 * SECOND
# Until a link is dialled anew: the first time, and at most; a member that is back hears a leader within the
# time of an election or two.
REST, LONGEST_REST = SECOND // 20, SECOND // 2
# Of the kernel's buffer for one link: what waits in it can't be taken back when it has grown old.
KERNEL = 128 << 10


class Phase(enum.Enum):
    RESTING = "resting"
    DIALLING = "dialling"
    GREETING = "greeting"  # connected; the other end has not answered the greeting
    OPEN = "open"
    CLOSED = "closed"


class Dialler(Protocol):
    """Who owns dialled connections.  `chance`: of a seeded generator, for the spread of diallings."""

    loop: EventLoop
    log: Log
    kinds: MessageTypes
    chance: Callable[[], float]

    def greeting(self) -> Handshake: ...

    def welcomed(self, link: OutboundLink, welcome: HandshakeAccepted) -> bool:
        """Whether who answers is who was dialled."""

    def up(self, link: OutboundLink) -> None: ...

    def down(self, link: OutboundLink, why: str) -> None: ...

    def unreached(self, link: OutboundLink, why: str) -> None:
        """It could not be dialled, or did not welcome us."""

    def replied(self, link: OutboundLink, word: Row) -> None:
        """A word that is not about the link itself came back over it."""

    def spoilt(self, name: str, broken: BrokenFrameError) -> None: ...


class OutboundLink:
    """Our words to one member.  What it can't take is dropped, never kept waiting: the ledger says again what
    matters."""

    def __init__(
        self, links: Dialler, name: str, to: tuple[str, int], pulse: int = PULSE, silent: int = SILENT
    ) -> None:
        self.links, self.name, self.to = links, name, to
        self.pulse, self.silent = pulse, silent
        self.phase, self.since = Phase.RESTING, 0
        self.due, self.rest = 0, REST  # of the next dialling
        self.connection: Connection | None = None
        self.welcome: HandshakeAccepted | None = None  # the last one: facts in it stay true
        self.alive = self.pulses = self.pulse_due = self.dropped = 0
        self.received = self.sent = 0  # bytes

    @property
    def who(self) -> MemberId | None:
        return self.welcome.who if self.phase is Phase.OPEN else None

    def be(self, phase: Phase) -> None:
        self.phase, self.since = phase, self.links.loop.clock.now()

    def beat(self, now: int) -> None:
        if self.phase is Phase.RESTING:
            if now >= self.due:
                self.dial()
        elif self.phase in (Phase.DIALLING, Phase.GREETING):
            if now - self.since > GREET:
                self.connection.close("no answer")
        elif now - self.alive > self.silent:
            self.links.log.warning(
                "member_silent",
                member=self.name,
                ms=(now - self.alive) / 10,
                remedy="see whether it runs and whether its address is reached",
            )
            self.connection.close("silent")
        elif now >= self.pulse_due:
            self.pulses += 1
            self.pulse_due = now + self.pulse
            self.write(Ping(self.pulses))

    def dial(self) -> None:
        self.links.log.count("links_dialled")
        try:
            self.connection = Connection.dial(self.links.loop, self.to, self)
        except OSError as bad:
            self.lost(str(bad))
            return
        self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL)
        self.frames = FrameDecoder(self.links.kinds)
        self.be(Phase.DIALLING)

    def on_connected(self, connection: Connection) -> None:
        self.be(Phase.GREETING)
        self.write(self.links.greeting())

    def on_data(self, connection: Connection) -> None:
        data = connection.incoming.take()
        self.received += len(data)
        try:
            for word, _ in self.frames.feed(data):
                self.take(word)
                if not connection.open:
                    return
        except BrokenFrameError as broken:
            self.links.spoilt(self.name, broken)
            connection.close("spoilt")

    def take(self, word: Row) -> None:
        now = self.links.loop.clock.now()
        match word:
            case HandshakeAccepted() if self.phase is Phase.GREETING:
                if not self.links.welcomed(self, word):
                    self.connection.close("not who was called")
                    return
                self.welcome, self.alive, self.rest = word, now, REST
                self.pulse_due = now + self.pulse
                self.be(Phase.OPEN)
                self.links.up(self)
            case HandshakeRefused(why):
                self.links.log.warning("refused_by_member", member=self.name, why=why)
                self.rest = LONGEST_REST
                self.connection.close("refused")
            case Pong():
                self.alive = now
            case _ if self.phase is Phase.OPEN:
                self.alive = now
                self.links.replied(self, word)

    def say(self, word: Row) -> bool:
        """False where it was dropped."""
        if self.phase is not Phase.OPEN:
            self.dropped += 1
            return False
        return self.write(word)

    def write(self, word: Row) -> bool:
        data = self.links.kinds.frame(word)
        if self.connection.outgoing.room() < len(data):
            self.dropped += 1
            self.links.log.count("words_dropped")
            return False
        self.connection.write(data)
        self.sent += len(data)
        return True

    def on_closed(self, connection: Connection, why: str) -> None:
        if connection is self.connection and self.phase is not Phase.CLOSED:
            self.lost(why)

    def lost(self, why: str) -> None:
        """Dialled again after a rest that grows, spread so that many do not come at once."""
        was, self.connection = self.phase, None
        self.be(Phase.RESTING)
        self.due = self.since + int(self.rest * (0.5 + self.links.chance()))
        self.rest = min(2 * self.rest, LONGEST_REST)
        if was is Phase.OPEN:
            self.links.down(self, why)
        else:
            self.links.unreached(self, why)

    def come(self, who: MemberId, token: int) -> None:
        """The other end has shown itself: it is worth dialling at once; anew where it is not the one that
        was met here, but has begun again or got its number."""
        if self.phase is Phase.OPEN and (self.welcome.who, self.welcome.token) != (who, token):
            self.connection.close("it began anew")
        if self.phase is Phase.RESTING:
            self.due, self.rest = 0, REST
            self.beat(self.links.loop.clock.now())

    def close(self) -> None:
        self.be(Phase.CLOSED)
        if self.connection is not None:
            self.connection.close()
