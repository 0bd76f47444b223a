"""The connections of a distributor's process: its listener, its subscribers, its state machine."""

from __future__ import annotations

import socket

from ...encoding.rows import Row
from ...log import Log
from ...net.clock import SECOND
from ...net.loop import EventLoop
from ...net.ring_buffer import BufferPool
from ..transport import messages as links
from ..transport.acceptor import Acceptor
from ..transport.handshake import REMEDIES, check_subscriber
from ..transport.inbound import InboundLink
from ..transport.outbound import SEND_BUFFER_BYTES
from ..types import MemberId
from .distributor import Distributor
from .interfaces import (
    CloseConnection,
    DistributorOutput,
    MessageReceived,
    Note,
    SendToSubscriber,
    ShutdownStarted,
    SubscriberConnected,
    SubscriberDisconnected,
)
from .limits import Limits
from .machine_driver import MachineDriver
from .messages import MESSAGE_TYPES

MAX_UNIDENTIFIED = 512  # all that another distributor served may come within a second
# Of the buffers of all connections: what can't be had closes the connection that wanted it.
BUFFER_POOL_BYTES = 64 << 20
SPARE_OUTPUT_BYTES = 1 << 10  # room beside one update: welcomes and answers to pulses
# A subscriber renews its lease each second: one that is silent for so long is stopped or cut off.
SUBSCRIBER_TIMEOUT = 6 * SECOND


class DistributorListener:
    """Accepts subscribers and carries messages between them and the state machine."""

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        fleet: str,
        member: MemberId,
        token: int,
        machine: Distributor,
        limits: Limits,
    ) -> None:
        self.loop = loop
        self.log = log
        self.fleet = fleet
        self.member = member
        self.token = token
        self.limits = limits
        self.acceptor = Acceptor(
            loop, log, MESSAGE_TYPES, self, "subscribers", MAX_UNIDENTIFIED, BufferPool(BUFFER_POOL_BYTES)
        )
        self.connections: dict[int, InboundLink] = {}
        self.numbers: dict[InboundLink, int] = {}
        self.last_number = 0
        self.bytes_sent = 0  # number of the last connection; bytes
        self.driver = MachineDriver(loop, machine, self.execute)

    def start(self, address: tuple[str, int]) -> None:
        """Starts to listen; raises OSError if the address is not available."""
        self.acceptor.start(address)
        self.log.event("distributes", address=f"{address[0]}:{address[1]}")

    @property
    def is_listening(self) -> bool:
        """Whether the listener is open."""
        return self.acceptor.listener is not None

    def beat(self, now: int) -> None:
        """Drops subscribers that have been silent for too long; called once a second."""
        self.acceptor.tick(now)
        for number, link in list(self.connections.items()):
            if now - link.last_received_at > SUBSCRIBER_TIMEOUT:
                self.drop(number, "silent", "see whether it runs; it comes back by itself")
            else:
                link.connection.outgoing.trim()

    def drop(self, number: int, reason: str, remedy: str) -> None:
        """Closes a connection and logs the reason."""
        link = self.connections[number]
        self.log.warning("subscriber_dropped", subscriber=link.peer.name, why=reason, remedy=remedy)
        link.close()

    # ---- who comes ---------------------------------------------------------------------------------

    def on_handshake(self, link: InboundLink, greeting: links.Handshake) -> None:
        """Accepts or refuses a subscriber."""
        reason, kind = check_subscriber(greeting, self.fleet)
        if reason:
            self.log.warning("subscriber_refused", why=reason, remedy=REMEDIES[kind])
            link.send(links.HandshakeRefused(reason))
            link.close()
            return
        self.last_number += 1
        link.peer = greeting.who
        link.token = greeting.token
        self.connections[self.last_number] = link
        self.numbers[link] = self.last_number
        link.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        link.connection.outgoing.allow(self.limits.update_bytes + SPARE_OUTPUT_BYTES)
        link.send(links.HandshakeAccepted(self.member, self.token))
        self.driver.step(SubscriberConnected(self.last_number, greeting.who.name))

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Hands a subscriber's message to the state machine."""
        if link in self.numbers:
            self.driver.step(MessageReceived(self.numbers[link], message))

    def on_closed(self, link: InboundLink) -> None:
        """Reports a closed connection to the state machine."""
        number = self.numbers.pop(link, None)
        if number is not None:
            del self.connections[number]
            self.driver.step(SubscriberDisconnected(number))

    # ---- what the machine wants --------------------------------------------------------------------

    def execute(self, output: DistributorOutput) -> None:
        """Carries out one output of the state machine."""
        match output:
            case SendToSubscriber(number, message):
                self.send(number, message)
            case CloseConnection(number, _):
                self.close_one(number)
            case Note(event, fields):
                self.log.event(event, **fields)

    def send(self, number: int, message: Row) -> None:
        """Sends a message, or drops a subscriber that does not read."""
        link = self.connections.get(number)
        if link is None:
            return
        data = MESSAGE_TYPES.frame(message)
        if not link.send_frame(data):
            self.drop(number, "it does not read", "see whether it runs; it comes back by itself")
            return
        self.bytes_sent += len(data)
        link.connection.outgoing.trim()

    def close_one(self, number: int) -> None:
        """Closes a connection that the state machine has ended."""
        link = self.connections.pop(number, None)
        if link is not None:
            del self.numbers[link]
            link.close()

    # ---- the end -----------------------------------------------------------------------------------

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.acceptor.close()
        self.driver.step(ShutdownStarted())
        self.driver.stop()
        for number in list(self.connections):
            self.close_one(number)

    def status(self) -> dict:
        """Returns plain JSON for the `status` command."""
        return {
            "listens": self.is_listening,
            "connections": len(self.connections),
            "bytes_sent": self.bytes_sent,
        }
