"""A distributor's process side: its listener, the connections of its subscribers, and its machine."""

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
# A subscriber asks each second: one that is silent for so long is stopped or cut off.
SUBSCRIBER_TIMEOUT = 6 * SECOND


class DistributorListener:
    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        fleet: str,
        me: MemberId,
        token: int,
        machine: Distributor,
        limits: Limits,
    ) -> None:
        self.loop, self.log, self.fleet, self.me, self.token = loop, log, fleet, me, token
        self.limits = limits
        self.arrivals = Acceptor(
            loop, log, MESSAGE_TYPES, self, "subscribers", MAX_UNIDENTIFIED, BufferPool(BUFFER_POOL_BYTES)
        )
        self.connections: dict[int, InboundLink] = {}
        self.numbers: dict[InboundLink, int] = {}
        self.last = self.sent = 0  # number of the last connection; bytes
        self.stepping = MachineDriver(loop, machine, self.carry)

    def start(self, at: tuple[str, int]) -> None:
        """Raises OSError where the address can't be had."""
        self.arrivals.start(at)
        self.log.event("distributes", address=f"{at[0]}:{at[1]}")

    @property
    def open(self) -> bool:
        return self.arrivals.listener is not None

    def beat(self, now: int) -> None:
        self.arrivals.tick(now)
        for number, one in list(self.connections.items()):
            if now - one.last_received_at > SUBSCRIBER_TIMEOUT:
                self.drop(number, "silent", "see whether it runs; it comes back by itself")
            else:
                one.connection.outgoing.trim()

    def drop(self, number: int, why: str, remedy: str) -> None:
        one = self.connections[number]
        self.log.warning("subscriber_dropped", subscriber=one.peer.name, why=why, remedy=remedy)
        one.close()

    # ---- who comes ---------------------------------------------------------------------------------

    def on_handshake(self, one: InboundLink, greeting: links.Handshake) -> None:
        why, kind = check_subscriber(greeting, self.fleet)
        if why:
            self.log.warning("subscriber_refused", why=why, remedy=REMEDIES[kind])
            one.send(links.HandshakeRefused(why))
            one.close()
            return
        self.last += 1
        one.peer, one.token = greeting.who, greeting.token
        self.connections[self.last], self.numbers[one] = one, self.last
        one.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        one.connection.outgoing.allow(self.limits.update_bytes + SPARE_OUTPUT_BYTES)
        one.send(links.HandshakeAccepted(self.me, self.token))
        self.stepping.step(SubscriberConnected(self.last, greeting.who.name))

    def on_message(self, one: InboundLink, word: Row) -> None:
        if one in self.numbers:
            self.stepping.step(MessageReceived(self.numbers[one], word))

    def on_closed(self, one: InboundLink) -> None:
        number = self.numbers.pop(one, None)
        if number is not None:
            del self.connections[number]
            self.stepping.step(SubscriberDisconnected(number))

    # ---- what the machine wants --------------------------------------------------------------------

    def carry(self, output: DistributorOutput) -> None:
        match output:
            case SendToSubscriber(number, message):
                self.send(number, message)
            case CloseConnection(number, _):
                self.close_one(number)
            case Note(event, fields):
                self.log.event(event, **fields)

    def send(self, number: int, message: Row) -> None:
        one = self.connections.get(number)
        if one is None:
            return
        data = MESSAGE_TYPES.frame(message)
        if not one.send_frame(data):
            self.drop(number, "it does not read", "see whether it runs; it comes back by itself")
            return
        self.sent += len(data)
        one.connection.outgoing.trim()

    def close_one(self, number: int) -> None:
        """The machine knows."""
        one = self.connections.pop(number, None)
        if one is not None:
            del self.numbers[one]
            one.close()

    # ---- the end -----------------------------------------------------------------------------------

    def close(self) -> None:
        self.arrivals.close()
        self.stepping.step(ShutdownStarted())
        self.stepping.end()
        for number in list(self.connections):
            self.close_one(number)

    def figures(self) -> dict:
        return {"listens": self.open, "connections": len(self.connections), "bytes_sent": self.sent}
