"""The network side of a distributor: accepts subscribers and drives the state machine."""

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

# All subscribers of a failed distributor may connect within a second.
MAX_UNIDENTIFIED = 512
# Of what a subscriber sends; the longest is a request for 512 services with their digests.
MAX_SUBSCRIBER_FRAME_BYTES = 256 << 10
# Bounds on the reads of a subscriber in a turn of the event loop: it sends a renewal a second.
SUBSCRIBER_READS = 1
SUBSCRIBER_READ_BYTES = 4 << 10
# For the buffers of all connections; once it is used up, a connection that needs a buffer is closed.
BUFFER_POOL_BYTES = 64 << 20
# Output buffer beyond one update, for handshake replies and answers to lease renewals.
SPARE_OUTPUT_BYTES = 1 << 10
# A subscriber renews its lease each second: one that is silent for this long is stopped or partitioned.
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
        self.connection_numbers: dict[InboundLink, int] = {}
        self.last_connection_number = 0  # number of the newest connection
        self.bytes_sent = 0
        self.driver = MachineDriver(loop, machine, self.execute)

    def start(self, address: tuple[str, int]) -> None:
        """Starts listening; raises OSError if the address is not available."""
        self.acceptor.start(address)
        self.log.event("distributes", address=f"{address[0]}:{address[1]}")

    @property
    def is_listening(self) -> bool:
        """Whether the listener is open."""
        return self.acceptor.listener is not None

    def check_connections(self, now: int) -> None:
        """Drops silent subscribers and shrinks unused output buffers; called once a second."""
        self.acceptor.tick(now)
        for number, link in list(self.connections.items()):
            if now - link.last_received_at > SUBSCRIBER_TIMEOUT:
                self.drop(number, "silent", "check whether it runs; it reconnects by itself")
            else:
                link.connection.outgoing.trim()

    def drop(self, number: int, reason: str, remedy: str) -> None:
        """Closes a connection and logs the reason."""
        link = self.connections[number]
        self.log.warning("subscriber_dropped", subscriber=link.peer.name, why=reason, remedy=remedy)
        link.close()

    # ---- inbound links -----------------------------------------------------------------------------

    def on_handshake(self, link: InboundLink, handshake: links.Handshake) -> None:
        """Accepts or refuses a subscriber."""
        reason, kind = check_subscriber(handshake, self.fleet)
        if reason:
            self.log.warning("subscriber_refused", why=reason, remedy=REMEDIES[kind])
            link.send(links.HandshakeRefused(reason))
            link.close()
            return
        if len(self.connections) >= self.limits.subscribers + MAX_UNIDENTIFIED:
            self.log.warning("subscriber_refused", why="connections", remedy="see who connects to this port")
            link.send(links.HandshakeRefused("too many connections"))
            link.close()
            return
        self.last_connection_number += 1
        link.peer = handshake.who
        link.token = handshake.token
        link.max_frame_bytes = MAX_SUBSCRIBER_FRAME_BYTES
        link.peer_reads = SUBSCRIBER_READS
        link.peer_read_bytes = SUBSCRIBER_READ_BYTES
        self.connections[self.last_connection_number] = link
        self.connection_numbers[link] = self.last_connection_number
        link.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        link.connection.outgoing.set_max_size(self.limits.update_bytes + SPARE_OUTPUT_BYTES)
        link.send(links.HandshakeAccepted(self.member, self.token))
        self.driver.step(SubscriberConnected(self.last_connection_number, handshake.who.name))

    def on_message(self, link: InboundLink, message: Row) -> None:
        """Passes a subscriber's message to the state machine."""
        if link in self.connection_numbers:
            self.driver.step(MessageReceived(self.connection_numbers[link], message))

    def on_closed(self, link: InboundLink) -> None:
        """Reports a closed connection to the state machine."""
        number = self.connection_numbers.pop(link, None)
        if number is not None:
            del self.connections[number]
            self.driver.step(SubscriberDisconnected(number))

    # ---- outputs of the state machine --------------------------------------------------------------

    def execute(self, output: DistributorOutput) -> None:
        """Executes one output of the state machine."""
        match output:
            case SendToSubscriber(number, message):
                self.send(number, message)
            case CloseConnection(number, _):
                self.close_connection(number)
            case Note(event, fields):
                self.log.event(event, **fields)

    def send(self, number: int, message: Row) -> None:
        """Sends a message, or drops a subscriber whose send buffer is full."""
        link = self.connections.get(number)
        if link is None:
            return
        data = MESSAGE_TYPES.frame(message)
        if not link.send_frame(data):
            self.drop(number, "its send buffer is full", "check whether it runs; it reconnects by itself")
            return
        self.bytes_sent += len(data)
        link.connection.outgoing.trim()

    def close_connection(self, number: int) -> None:
        """Closes a connection without reporting that to the state machine."""
        link = self.connections.pop(number, None)
        if link is not None:
            del self.connection_numbers[link]
            link.close()

    # ---- shutdown and status -----------------------------------------------------------------------

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.acceptor.close()
        self.driver.step(ShutdownStarted())
        self.driver.stop()
        for number in list(self.connections):
            self.close_connection(number)

    def status(self) -> dict:
        """Returns JSON values for the `status` command."""
        return {
            "listens": self.is_listening,
            "connections": len(self.connections),
            "bytes_sent": self.bytes_sent,
        }
