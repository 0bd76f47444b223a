"""The process side of a subscriber: its state machine and its connection to a distributor."""

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
from .subscriber_status import subscriber_status
from .types import DistributorName, ServiceName, SubscriberName

# The machine renews its lease each second and leaves silent distributors: the link needs no heartbeat.
NEVER = 1 << 62


class SubscriberConnection:
    """Connects a subscriber; `on_applied(output)` is called when the content has changed."""

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
        """Starts to connect."""
        self.driver.timer.arm()

    def rescope(self, services: Collection[ServiceName]) -> None:
        """Changes the scope."""
        self.driver.step(ScopeChanged(frozenset(services)))

    # ---- what the machine wants --------------------------------------------------------------------

    def execute(self, output: SubscriberOutput) -> None:
        """Carries out one output of the state machine."""
        match output:
            case SendToDistributor(message):
                if self.link is not None and not self.link.send(message):
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
        """Connects to a distributor."""
        self.link = OutboundLink(self, distributor, self.distributors[distributor], NEVER, NEVER)
        self.link.dial()

    def hang_up(self, reason: str) -> None:
        """Closes the connection."""
        if self.link is not None:
            self.log.event("distributor_left", distributor=self.link.name, why=reason)
            link = self.detach_link()
            link.close()

    def detach_link(self) -> OutboundLink:
        """Returns the present link and counts its bytes; there is none after this."""
        link = self.link
        self.link = None
        self._received += link.bytes_received
        self._sent += link.bytes_sent
        return link

    # ---- what the connection tells -----------------------------------------------------------------

    def handshake(self) -> Handshake:
        """Returns the handshake to send."""
        return Handshake(self.fleet, MemberId(self.name, 0), self.token, role=SUBSCRIBER)

    def on_accepted(self, link: OutboundLink, welcome: HandshakeAccepted) -> bool:
        """Returns whether the distributor is the one that was dialled."""
        reason = f"{welcome.who.name} answers" if welcome.who.name != link.name else version_mismatch(welcome)
        if reason:
            remedy = "see the address of that distributor in this file"
            self.log.warning("not_who_was_dialled", distributor=link.name, why=reason, remedy=remedy)
        return not reason

    def on_link_up(self, link: OutboundLink) -> None:
        """Reports the connection to the state machine."""
        self.log.event("distributor_reached", distributor=link.name)
        self.driver.step(ConnectionEstablished(link.name))

    def on_link_down(self, link: OutboundLink, reason: str) -> None:
        """Reports the end of the connection."""
        self.on_lost(link, reason)

    def on_unreachable(self, link: OutboundLink, reason: str) -> None:
        """Reports a failed attempt to connect."""
        self.on_lost(link, reason)

    def on_lost(self, link: OutboundLink, reason: str) -> None:
        """Logs a lost distributor and reports it to the state machine."""
        if link is self.link:
            self.detach_link()
            self.log.warning(
                "distributor_lost", distributor=link.name, **error_fields(NoDistributorError(reason))
            )
            self.driver.step(ConnectionLost(link.name, reason))

    def on_reply(self, link: OutboundLink, message: Row) -> None:
        """Hands a message of the distributor to the state machine."""
        if link is self.link:
            self.driver.step(DistributorMessageReceived(link.name, message))

    def on_corrupt_frame(self, name: str, broken: BrokenFrameError) -> None:
        """Logs a frame that cannot be decoded."""
        log_broken_frame(self.log, name, broken, "distributors")

    # ---- status ------------------------------------------------------------------------------------

    @property
    def bytes_received(self) -> int:
        """Bytes received over all connections."""
        return self._received + (self.link.bytes_received if self.link is not None else 0)

    @property
    def bytes_sent(self) -> int:
        """Bytes sent over all connections."""
        return self._sent + (self.link.bytes_sent if self.link is not None else 0)

    def status(self) -> dict:
        """Returns plain JSON for the `status` command."""
        now = self.loop.clock.now()
        age = self.machine.age(now)
        return {
            "distribution": subscriber_status(self.machine, now)
            | {
                "version": self.machine.version.text(),
                "age_ms": None if age is None else age / 10,
                "current": self.machine.acting_until(now) > now,
                "distributor": self.link.name if self.link is not None else "",
                "bytes_received": self.bytes_received,
                "bytes_sent": self.bytes_sent,
            }
        }

    def close(self) -> None:
        """Closes the connection and stops the state machine."""
        self.driver.stop()
        if self.link is not None:
            self.detach_link().close()
