"""A subscriber's process side: its machine, and the connection to the one distributor that it asks."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping

from ...encoding.frames import BrokenFrameError
from ...encoding.rows import Row
from ...errors import error_fields
from ...log import Log
from ...net.loop import EventLoop
from ..transport.acceptor import log_broken_frame
from ..transport.handshake import version_mismatch
from ..transport.messages import SUBSCRIBER, Handshake, HandshakeAccepted
from ..transport.outbound import OutboundLink
from ..types import MemberId
from .errors import NoDistributorError
from .interfaces import (
    ConnectionEstablished,
    ConnectionLost,
    Dial,
    Disconnect,
    DistributorMessageReceived,
    Note,
    ScopeChanged,
    SendToDistributor,
    SubscriberOutput,
    UpdateApplied,
)
from .limits import SubscriberLimits
from .machine_driver import MachineDriver
from .messages import MESSAGE_TYPES
from .subscriber import Subscriber
from .types import DistributorName, ServiceName, SubscriberName

# The machine asks for its lease each second and gives up who is silent: the link needs no pulses.
NEVER = 1 << 62


class SubscriberConnection:
    """`applied(output)`: the content held is another."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        fleet: str,
        name: SubscriberName,
        services: Collection[ServiceName],
        distributors: Mapping[DistributorName, tuple[str, int]],
        chance: random.Random,
        limits: SubscriberLimits | None = None,
        applied: Callable[[UpdateApplied], None] = lambda output: None,
    ) -> None:
        self.loop, self.log, self.fleet, self.name = loop, log, fleet, name
        self.kinds, self.chance, self.applied = MESSAGE_TYPES, chance.random, applied
        self.distributors = dict(distributors)
        self.token = chance.getrandbits(62)
        self.link: OutboundLink | None = None
        self._received = self._sent = 0  # bytes over connections that are closed
        weights = dict.fromkeys(distributors, 1.0)
        limits = limits or SubscriberLimits()
        self.machine = Subscriber(name, services, weights, limits, chance, loop.clock.now())
        self.stepping = MachineDriver(loop, self.machine, self.carry)

    def start(self) -> None:
        self.stepping.timer.arm()

    def rescope(self, services: Collection[ServiceName]) -> None:
        self.stepping.step(ScopeChanged(frozenset(services)))

    # ---- what the machine wants --------------------------------------------------------------------

    def carry(self, output: SubscriberOutput) -> None:
        match output:
            case SendToDistributor(message):
                if self.link is not None and not self.link.send(message):
                    self.link.connection.close("no room")
            case UpdateApplied():
                self.applied(output)
            case Dial(distributor):
                self.dial(distributor)
            case Disconnect(_, why):
                self.hang_up(why)
            case Note(event, fields):
                self.log.event(event, **fields)

    def dial(self, distributor: DistributorName) -> None:
        self.link = OutboundLink(self, distributor, self.distributors[distributor], NEVER, NEVER)
        self.link.dial()

    def hang_up(self, why: str) -> None:
        if self.link is not None:
            self.log.event("distributor_left", distributor=self.link.name, why=why)
            link = self.dropped()
            link.close()

    def dropped(self) -> OutboundLink:
        link, self.link = self.link, None
        self._received += link.bytes_received
        self._sent += link.bytes_sent
        return link

    # ---- what the connection tells -----------------------------------------------------------------

    def handshake(self) -> Handshake:
        return Handshake(self.fleet, MemberId(self.name, 0), self.token, role=SUBSCRIBER)

    def on_accepted(self, link: OutboundLink, welcome: HandshakeAccepted) -> bool:
        why = f"{welcome.who.name} answers" if welcome.who.name != link.name else version_mismatch(welcome)
        if why:
            remedy = "see the address of that distributor in this file"
            self.log.warning("not_who_was_dialled", distributor=link.name, why=why, remedy=remedy)
        return not why

    def on_link_up(self, link: OutboundLink) -> None:
        self.log.event("distributor_reached", distributor=link.name)
        self.stepping.step(ConnectionEstablished(link.name))

    def on_link_down(self, link: OutboundLink, why: str) -> None:
        self.lost(link, why)

    def on_unreachable(self, link: OutboundLink, why: str) -> None:
        self.lost(link, why)

    def lost(self, link: OutboundLink, why: str) -> None:
        if link is self.link:
            self.dropped()
            self.log.warning(
                "distributor_lost", distributor=link.name, **error_fields(NoDistributorError(why))
            )
            self.stepping.step(ConnectionLost(link.name, why))

    def on_reply(self, link: OutboundLink, word: Row) -> None:
        if link is self.link:
            self.stepping.step(DistributorMessageReceived(link.name, word))

    def on_corrupt_frame(self, name: str, broken: BrokenFrameError) -> None:
        log_broken_frame(self.log, name, broken, "distributors")

    # ---- told to people ----------------------------------------------------------------------------

    @property
    def received(self) -> int:
        return self._received + (self.link.bytes_received if self.link is not None else 0)

    @property
    def sent(self) -> int:
        return self._sent + (self.link.bytes_sent if self.link is not None else 0)

    def figures(self) -> dict:
        now = self.loop.clock.now()
        age = self.machine.age(now)
        return {
            "distribution": self.machine.figures(now)
            | {
                "version": self.machine.version.text(),
                "age_ms": None if age is None else age / 10,
                "current": self.machine.acting_until(now) > now,
                "distributor": self.link.name if self.link is not None else "",
                "bytes_received": self.received,
                "bytes_sent": self.sent,
            }
        }

    def close(self) -> None:
        self.stepping.end()
        if self.link is not None:
            self.dropped().close()
