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
        random_source: random.Random,
        limits: SubscriberLimits | None = None,
        on_applied: Callable[[UpdateApplied], None] = lambda output: None,
    ) -> None:
        self.loop = loop
        self.log = log
        self.fleet = fleet
        self.name = name
        self.kinds = MESSAGE_TYPES
        self.chance = random_source.random
        self.on_applied = on_applied
        self.distributors = dict(distributors)
        self.token = random_source.getrandbits(62)
        self.link: OutboundLink | None = None
        self._received = 0
        self._sent = 0  # bytes over connections that are closed
        weights = dict.fromkeys(distributors, 1.0)
        limits = limits or SubscriberLimits()
        self.machine = Subscriber(name, services, weights, limits, random_source, loop.clock.now())
        self.driver = MachineDriver(loop, self.machine, self.execute)

    def start(self) -> None:
        self.driver.timer.arm()

    def rescope(self, services: Collection[ServiceName]) -> None:
        self.driver.step(ScopeChanged(frozenset(services)))

    # ---- what the machine wants --------------------------------------------------------------------

    def execute(self, output: SubscriberOutput) -> None:
        match output:
            case SendToDistributor(message):
                if self.link is not None and not self.link.say(message):
                    self.link.connection.close("no room")
            case UpdateApplied():
                self.on_applied(output)
            case Dial(distributor):
                self.dial(distributor)
            case Disconnect(_, reason):
                self.hang_up(reason)
            case Note(event, fields):
                self.log.event(event, **fields)

    def dial(self, distributor: DistributorName) -> None:
        self.link = OutboundLink(self, distributor, self.distributors[distributor], NEVER, NEVER)
        self.link.dial()

    def hang_up(self, reason: str) -> None:
        if self.link is not None:
            self.log.event("distributor_left", distributor=self.link.name, why=reason)
            link = self.dropped()
            link.close()

    def dropped(self) -> OutboundLink:
        link = self.link
        self.link = None
        self._received += link.received
        self._sent += link.sent
        return link

    # ---- what the connection tells -----------------------------------------------------------------

    def greeting(self) -> Handshake:
        return Handshake(self.fleet, MemberId(self.name, 0), self.token, role=SUBSCRIBER)

    def welcomed(self, link: OutboundLink, welcome: HandshakeAccepted) -> bool:
        reason = f"{welcome.who.name} answers" if welcome.who.name != link.name else version_mismatch(welcome)
        if reason:
            remedy = "see the address of that distributor in this file"
            self.log.warning("not_who_was_dialled", distributor=link.name, why=reason, remedy=remedy)
        return not reason

    def up(self, link: OutboundLink) -> None:
        self.log.event("distributor_reached", distributor=link.name)
        self.driver.step(ConnectionEstablished(link.name))

    def down(self, link: OutboundLink, reason: str) -> None:
        self.lost(link, reason)

    def unreached(self, link: OutboundLink, reason: str) -> None:
        self.lost(link, reason)

    def lost(self, link: OutboundLink, reason: str) -> None:
        if link is self.link:
            self.dropped()
            self.log.warning(
                "distributor_lost", distributor=link.name, **error_fields(NoDistributorError(reason))
            )
            self.driver.step(ConnectionLost(link.name, reason))

    def replied(self, link: OutboundLink, message: Row) -> None:
        if link is self.link:
            self.driver.step(DistributorMessageReceived(link.name, message))

    def spoilt(self, name: str, broken: BrokenFrameError) -> None:
        log_broken_frame(self.log, name, broken, "distributors")

    # ---- told to people ----------------------------------------------------------------------------

    @property
    def received(self) -> int:
        return self._received + (self.link.received if self.link is not None else 0)

    @property
    def sent(self) -> int:
        return self._sent + (self.link.sent if self.link is not None else 0)

    def status(self) -> dict:
        now = self.loop.clock.now()
        age = self.machine.age(now)
        return {
            "distribution": self.machine.status(now)
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
        self.driver.stop()
        if self.link is not None:
            self.dropped().close()
