"""Transport of a member: its listener, the links that it dials and those that it has accepted."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ...encoding.frames import BrokenFrameError, MessageTypes
from ...encoding.rows import Row
from ...log import Log
from ...net.loop import EventLoop
from ..types import MemberId
from .acceptor import Acceptor, log_broken_frame
from .handshake import REMEDIES, check_member, version_mismatch
from .inbound import InboundLink
from .messages import Handshake, HandshakeAccepted, HandshakeRefused
from .outbound import OutboundLink, Phase

# Maximum number of connections without an accepted handshake: one from each member, and some of other hosts.
MAX_UNIDENTIFIED = 32


class Transport:
    """Maintains the links of this member to all others.

    Callbacks, which the owner sets:
        deliver(peer, message): handles a message of a member.
        record_peer(peer): stores the number of a member; returns why the link is refused, or "".
        make_acceptance(peer): returns the reply to an accepted handshake.
        highest_number(name): returns the highest number ever seen with a name, or 0.
        on_peer_up(name), on_peer_down(name): the link to that member has opened, or was lost.
    """

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        kinds: MessageTypes,
        fleet: str,
        own_id: MemberId,
        token: int,
        chance: Callable[[], float],
    ) -> None:
        """Creates a transport without peers; `chance` returns random numbers in [0, 1) for dial jitter."""
        self.loop = loop
        self.log = log
        self.kinds = kinds
        self.fleet = fleet
        self.token = token
        self.own_id = own_id
        self.chance = chance
        self.peers: dict[str, OutboundLink] = {}
        self.inbound: dict[str, InboundLink] = {}
        self.acceptor = Acceptor(loop, log, kinds, self, "members", MAX_UNIDENTIFIED)
        self.deliver: Callable[[MemberId, Row], None] = lambda peer, message: None
        self.record_peer: Callable[[MemberId], str] = lambda peer: ""
        self.on_peer_up: Callable[[str], None] = lambda name: None
        self.on_peer_down: Callable[[str], None] = lambda name: None
        self.make_acceptance: Callable[[MemberId], HandshakeAccepted] = lambda peer: HandshakeAccepted(
            self.own_id, self.token
        )
        self.highest_number: Callable[[str], int] = lambda name: 0

    def start(self, address: tuple[str, int]) -> None:
        """Listens at the address; raises OSError if that fails."""
        self.acceptor.start(address)

    def set_peers(self, addresses: Mapping[str, tuple[str, int]]) -> None:
        """Sets the addresses of the other members by name, and closes links to other addresses."""
        for name, link in list(self.peers.items()):
            if addresses.get(name) != link.address:
                del self.peers[name]
                link.close()
        for name in [name for name in self.inbound if name not in addresses]:
            self.inbound[name].close()
        for name, address in addresses.items():
            if name not in self.peers:
                self.peers[name] = OutboundLink(self, name, address)

    def set_own_id(self, own_id: MemberId) -> None:
        """Sets the number assigned to this member, and reconnects, as peers learn it only by a handshake."""
        self.own_id = own_id
        for name, link in list(self.peers.items()):
            link.close()
            self.peers[name] = OutboundLink(self, name, link.address)
        for link in list(self.inbound.values()):  # these peers know the old number; they dial again
            link.close()
        self.tick()

    def tick(self) -> None:
        """Runs the timers of all links."""
        now = self.loop.clock.now()
        for link in list(self.peers.values()):
            link.tick(now)
        self.acceptor.tick(now)

    # ---- outbound ----------------------------------------------------------------------------------

    def send(self, peer: MemberId, message: Row) -> bool:
        """Sends to a member if the peer at that name has its number; returns False if it was dropped."""
        link = self.peers.get(peer.name)
        return link is not None and link.peer == peer and link.send(message)

    def send_to(self, name: str, message: Row) -> bool:
        """Sends to the member of that name, whatever its number; returns False if it was dropped."""
        link = self.peers.get(name)
        return link is not None and link.send(message)

    def handshake(self) -> Handshake:
        """Returns the first message of a dialled connection."""
        return Handshake(self.fleet, self.own_id, self.token)

    def on_accepted(self, link: OutboundLink, acceptance: HandshakeAccepted) -> bool:
        """Returns whether the member that replied is the one that was dialled."""
        if acceptance.who.name != link.name:
            why = f"{acceptance.who.name} answers"
        else:
            why = version_mismatch(acceptance)
        why = why or self.record_peer(acceptance.who)
        if why:
            self.log.warning(
                "not_who_was_dialled",
                member=link.name,
                why=why,
                remedy="check the address of that member in this file",
            )
        return not why

    def on_link_up(self, link: OutboundLink) -> None:
        """Logs and reports that the link to a member has opened."""
        self.log.event("member_reached", member=link.name, number=link.acceptance.who.number)
        self.on_peer_up(link.name)

    def on_link_down(self, link: OutboundLink, why: str) -> None:
        """Logs and reports that the link to a member was lost."""
        self.log.warning("member_lost", member=link.name, why=why)
        self.on_peer_down(link.name)

    def on_unreachable(self, link: OutboundLink, why: str) -> None:
        """Ignores a failed dial: it is retried, and only the loss of an open link is logged."""

    def on_reply(self, link: OutboundLink, message: Row) -> None:
        """Ignores the message: over a dialled connection members send back only replies about the link."""

    def on_corrupt_frame(self, name: str, error: BrokenFrameError) -> None:
        """Logs a corrupt frame of a member."""
        log_broken_frame(self.log, name, error, "members")

    # ---- inbound -----------------------------------------------------------------------------------

    def on_handshake(self, link: InboundLink, handshake: Handshake) -> None:
        """Accepts or refuses an inbound link; an accepted one replaces the earlier one of its peer."""
        peer = handshake.who
        why = self._refusal(handshake)
        if why:
            link.send(HandshakeRefused(why))
            link.close()
            return
        previous = self.inbound.get(peer.name)
        if previous is not None:
            previous.close()  # the peer has dialled again: its earlier connection is dead, or soon will be
        link.peer = peer
        link.token = handshake.token
        self.inbound[peer.name] = link
        link.send(self.make_acceptance(peer))
        self.peers[peer.name].on_peer_identified(peer, handshake.token)

    def _refusal(self, handshake: Handshake) -> str:
        """Returns why a handshake is refused, and logs it; "" if it is accepted."""
        peer = handshake.who
        why, kind = check_member(
            handshake, self.fleet, self.own_id.name, self.peers, self.highest_number(peer.name)
        )
        if not why and peer.number:
            why = self.record_peer(peer)
        if why:
            self.log.warning("member_refused", why=why, remedy=REMEDIES.get(kind, "none: the peer retries"))
        return why

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Delivers a message of a member to the owner."""
        self.deliver(link.peer, message)

    def on_closed(self, link: InboundLink) -> None:
        """Removes an inbound link, unless a later one has replaced it."""
        if self.inbound.get(link.peer.name) is link:
            del self.inbound[link.peer.name]

    # ---- close and status --------------------------------------------------------------------------

    def close(self) -> None:
        """Stops listening and closes all links."""
        self.acceptor.close()
        for link in self.peers.values():
            link.close()
        for link in list(self.inbound.values()):
            link.close()

    def status(self) -> dict[str, dict[str, object]]:
        """Returns the state of the link to each member, for `status`."""
        now = self.loop.clock.now()
        return {name: self._link_status(link, now) for name, link in sorted(self.peers.items())}

    def _link_status(self, link: OutboundLink, now: int) -> dict[str, object]:
        inbound = self.inbound.get(link.name)
        return {
            "phase": link.phase.value,
            "number": link.acceptance.who.number if link.acceptance else 0,
            "waiting": len(link.connection.outgoing) if link.connection else 0,
            "dropped": link.dropped,
            "reached": link.phase is Phase.OPEN,
            "heard_ms_ago": (now - inbound.last_received_at) / 10 if inbound else None,
        }
