"""All links of a member: its listener, whom it dials, who came."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...encoding.frames import BrokenFrameError, MessageTypes
from ...encoding.rows import Row
from ...log import Log
from ...net.loop import EventLoop
from ..types import MemberId
from .acceptor import Acceptor, log_broken_frame
from .handshake import REMEDIES, refused, version_mismatch
from .inbound import InboundLink
from .messages import Handshake, HandshakeAccepted, HandshakeRefused
from .outbound import OutboundLink, Phase

# Connections that have not greeted yet: members dial one each, and anyone may knock.
STRANGERS = 32


class Transport:
    """`heard(who, word)`: a member's word.  `met(who) -> why`: a number shows itself; "" once it is kept.
    `welcome(who) -> Welcome`: what one who greets is told.  `up(name)`, `down(name)`: our words reach it, or
    don't any more.  `chance`: of a seeded generator, for the spread of diallings."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        kinds: MessageTypes,
        fleet: str,
        me: MemberId,
        token: int,
        chance: Callable[[], float],
    ) -> None:
        self.loop, self.log, self.kinds, self.fleet, self.token = loop, log, kinds, fleet, token
        self.me, self.chance = me, chance
        self.peers: dict[str, OutboundLink] = {}
        self.came: dict[str, InboundLink] = {}
        self.arrivals = Acceptor(loop, log, kinds, self, "members", STRANGERS)
        self.on_heard: Callable[[MemberId, Row], None] = lambda who, word: None
        self.on_met: Callable[[MemberId], str] = lambda who: ""
        self.on_up: Callable[[str], None] = lambda name: None
        self.on_down: Callable[[str], None] = lambda name: None
        self.facts: Callable[[MemberId], HandshakeAccepted] = lambda who: HandshakeAccepted(
            self.me, self.token
        )
        self.known: Callable[[str], int] = lambda name: 0  # the highest number met of a name

    def start(self, at: tuple[str, int]) -> None:
        """Raises OSError where the address can't be had."""
        self.arrivals.start(at)

    def relist(self, peers: Mapping[str, tuple[str, int]]) -> None:
        """The others, by name, with the addresses at which this one reaches them."""
        for name, link in list(self.peers.items()):
            if peers.get(name) != link.to:
                del self.peers[name]
                link.close()
        for name in [name for name in self.came if name not in peers]:
            self.came[name].close()
        for name, to in peers.items():
            if name not in self.peers:
                self.peers[name] = OutboundLink(self, name, to)

    def renumber(self, me: MemberId) -> None:
        """This member has got its number: the others hear of it by new greetings."""
        self.me = me
        for name, link in list(self.peers.items()):
            link.close()
            self.peers[name] = OutboundLink(self, name, link.to)
        for one in list(self.came.values()):  # who dialled us knows the old number: it dials anew
            one.close()
        self.beat()

    def beat(self) -> None:
        now = self.loop.clock.now()
        for link in list(self.peers.values()):
            link.beat(now)
        self.arrivals.beat(now)

    # ---- our words ---------------------------------------------------------------------------------

    def say(self, to: MemberId, word: Row) -> bool:
        """To the member of that number, and no other that bears its name; False where it was dropped."""
        link = self.peers.get(to.name)
        return link is not None and link.who == to and link.say(word)

    def say_to(self, name: str, word: Row) -> bool:
        """Whatever its number."""
        link = self.peers.get(name)
        return link is not None and link.say(word)

    def greeting(self) -> Handshake:
        return Handshake(self.fleet, self.me, self.token)

    def welcomed(self, link: OutboundLink, welcome: HandshakeAccepted) -> bool:
        """Whether who answers is who was dialled."""
        why = f"{welcome.who.name} answers" if welcome.who.name != link.name else version_mismatch(welcome)
        why = why or self.on_met(welcome.who)
        if why:
            self.log.warning(
                "not_who_was_dialled",
                member=link.name,
                why=why,
                remedy="see the address of that member in this file",
            )
        return not why

    def up(self, link: OutboundLink) -> None:
        self.log.event("member_reached", member=link.name, number=link.welcome.who.number)
        self.on_up(link.name)

    def down(self, link: OutboundLink, why: str) -> None:
        self.log.warning("member_lost", member=link.name, why=why)
        self.on_down(link.name)

    def unreached(self, link: OutboundLink, why: str) -> None:
        """It is dialled again, and said only once it was reached."""

    def replied(self, link: OutboundLink, word: Row) -> None:
        """Members say nothing over a connection that the other one dialled."""

    def spoilt(self, name: str, broken: BrokenFrameError) -> None:
        log_broken_frame(self.log, name, broken, "members")

    # ---- others' -----------------------------------------------------------------------------------

    def greeted(self, one: InboundLink, greeting: Handshake) -> None:
        name = greeting.who.name
        why, kind = refused(greeting, self.fleet, self.me.name, self.peers, self.known(name))
        if not why and greeting.who.number and (why := self.on_met(greeting.who)):
            kind = ""
        if why:
            self.log.warning("member_refused", why=why, remedy=REMEDIES.get(kind, "it will come again"))
            one.answer(HandshakeRefused(why))
            one.close()
            return
        if (before := self.came.get(name)) is not None:
            before.close()  # it has dialled anew: the old one is dead, or will be
        one.who, one.token = greeting.who, greeting.token
        self.came[name] = one
        one.answer(self.facts(greeting.who))
        self.peers[name].come(greeting.who, greeting.token)

    def heard(self, one: InboundLink, word: Row) -> None:
        self.on_heard(one.who, word)

    def gone(self, one: InboundLink) -> None:
        if self.came.get(one.who.name) is one:
            del self.came[one.who.name]

    # ---- the end -----------------------------------------------------------------------------------

    def close(self) -> None:
        self.arrivals.close()
        for link in self.peers.values():
            link.close()
        for one in list(self.came.values()):
            one.close()

    def figures(self) -> dict:
        now = self.loop.clock.now()
        return {
            name: {
                "phase": link.phase.value,
                "number": link.welcome.who.number if link.welcome else 0,
                "waiting": len(link.connection.outgoing) if link.connection else 0,
                "dropped": link.dropped,
                "reached": link.phase is Phase.OPEN,
                "heard_ms_ago": (now - self.came[name].heard_at) / 10 if name in self.came else None,
            }
            for name, link in sorted(self.peers.items())
        }
