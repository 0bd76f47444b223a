"""The network side of a subscriber: drives the state machine and its connection to a distributor."""

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

# Heartbeat interval and timeout of the link.  It needs no heartbeats, because the state machine renews its
# lease each second and leaves silent distributors.
NEVER = 1 << 62


class SubscriberConnection:
    """Connects a subscriber to distributors; calls `on_applied(output)` when the content has changed."""

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
        self._received = 0  # bytes over closed connections
        self._sent = 0  # bytes over closed connections
        weights = dict.fromkeys(distributors, 1.0)
        limits = limits or SubscriberLimits()
        self.machine = Subscriber(name, services, weights, limits, random_source, loop.clock.now())
        self.driver = MachineDriver(loop, self.machine, self.execute)

    def start(self) -> None:
        """Starts connecting."""
        self.driver.timer.arm()

    def change_scope(self, services: Collection[ServiceName]) -> None:
        """Changes the scope."""
        self.driver.step(ScopeChanged(frozenset(services)))

    # ---- outputs of the state machine --------------------------------------------------------------

    def execute(self, output: SubscriberOutput) -> None:
        """Executes one output of the state machine."""
        match output:
            case SendToDistributor(message):
                if self.link is not None and not self.link.send(message):
                    self.link.connection.close("send buffer is full")
            case UpdateApplied():
                self.on_applied(output)
            case Dial(distributor):
                self.dial(distributor)
            case Disconnect(_, reason):
                self.disconnect(reason)
            case Note(event, fields):
                self.log.event(event, **fields)

    def dial(self, distributor: DistributorName) -> None:
        """Connects to a distributor."""
        self.link = OutboundLink(self, distributor, self.distributors[distributor], NEVER, NEVER)
        self.link.dial()

    def disconnect(self, reason: str) -> None:
        """Closes the connection and logs the reason."""
        if self.link is not None:
            self.log.event("distributor_left", distributor=self.link.name, why=reason)
            link = self.detach_link()
            link.close()

    def detach_link(self) -> OutboundLink:
        """Returns the current link and adds its bytes to the totals; there is no link after this."""
        link = self.link
        self.link = None
        self._received += link.bytes_received
        self._sent += link.bytes_sent
        return link

    # ---- events of the link ------------------------------------------------------------------------

    def handshake(self) -> Handshake:
        """Returns the handshake to send."""
        return Handshake(self.fleet, MemberId(self.name, 0), self.token, role=SUBSCRIBER)

    def on_accepted(self, link: OutboundLink, accepted: HandshakeAccepted) -> bool:
        """Returns whether the process that answered is the dialled distributor, of a compatible version."""
        reason = (
            f"{accepted.who.name} answers" if accepted.who.name != link.name else version_mismatch(accepted)
        )
        if reason:
            remedy = "check the address of that distributor in the configuration"
            self.log.warning("not_who_was_dialled", distributor=link.name, why=reason, remedy=remedy)
        return not reason

    def on_link_up(self, link: OutboundLink) -> None:
        """Logs the connection and reports it to the state machine."""
        self.log.event("distributor_reached", distributor=link.name)
        self.driver.step(ConnectionEstablished(link.name))

    def on_link_down(self, link: OutboundLink, reason: str) -> None:
        """Reports that the connection has closed."""
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
        """Passes a message of the distributor to the state machine."""
        if link is self.link:
            self.driver.step(DistributorMessageReceived(link.name, message))

    def on_corrupt_frame(self, name: str, broken: BrokenFrameError) -> None:
        """Logs a frame that cannot be decoded."""
        log_broken_frame(self.log, name, broken, "distributors")

    # ---- status ------------------------------------------------------------------------------------

    @property
    def bytes_received(self) -> int:
        """The bytes received over all connections."""
        return self._received + (self.link.bytes_received if self.link is not None else 0)

    @property
    def bytes_sent(self) -> int:
        """The bytes sent over all connections."""
        return self._sent + (self.link.bytes_sent if self.link is not None else 0)

    def status(self) -> dict:
        """Returns JSON values for the `status` command."""
        now = self.loop.clock.now()
        age = self.machine.age(now)
        return {
            "distribution": subscriber_status(self.machine, now)
            | {
                "version": self.machine.version.text(),
                "age_ms": None if age is None else age / 10,
                "current": self.machine.lease_until(now) > now,
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
