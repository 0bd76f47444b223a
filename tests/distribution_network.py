"""Simulated links between subscribers and distributors: ordered frames with random delays."""

from dataclasses import dataclass, field

from distribution_model import MS
from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.messages import MESSAGE_TYPES


@dataclass(eq=False)
class Link:
    """A connection; `decoders` and `last_delivery` have an item for each direction."""

    number: int
    subscriber: str
    distributor: str
    decoders: tuple = field(
        default_factory=lambda: (FrameDecoder(MESSAGE_TYPES), FrameDecoder(MESSAGE_TYPES))
    )
    last_delivery: list = field(default_factory=lambda: [0, 0])


class Network:
    """The network of a `Simulation`."""

    # ---- the network -------------------------------------------------------------------------------

    def break_link(self, link):
        if self.links.pop(link.number, None) is None:
            return
        subscriber = self.subscribers[link.subscriber]
        self.schedule(
            self.now + 5 * MS, self.dispatch, subscriber, interfaces.ConnectionLost(link.distributor)
        )
        if link.distributor in self.distributors:
            self.dispatch(self.distributors[link.distributor], interfaces.SubscriberDisconnected(link.number))

    def dial(self, subscriber, to):
        if (previous := self.link_of(subscriber.name)) is not None:
            self.close_link(previous)
        if to not in self.distributors or subscriber.name in self.isolated:
            self.schedule(self.now + 5 * MS, self.dispatch, subscriber, interfaces.ConnectionLost(to))
            return
        link = self.latest_links[subscriber.name] = Link(next(self.link_numbers), subscriber.name, to)
        self.links[link.number] = link
        self.schedule(self.now + MS, self.dispatch, subscriber, interfaces.ConnectionEstablished(to))
        self.schedule(
            self.now + MS,
            self.dispatch,
            self.distributors[to],
            interfaces.SubscriberConnected(link.number, subscriber.name),
        )

    def link_of(self, subscriber):
        link = self.latest_links.get(subscriber)
        return link if link is not None and link.number in self.links else None

    def close_link(self, link):
        if self.links.pop(link.number, None) is not None and link.distributor in self.distributors:
            self.schedule(
                self.now + MS,
                self.dispatch,
                self.distributors[link.distributor],
                interfaces.SubscriberDisconnected(link.number),
            )

    def send(self, link, direction, message):
        """Sends encoded bytes, which arrive in order; direction 0 is to the distributor."""
        link.last_delivery[direction] = max(
            link.last_delivery[direction], self.now + self.random_source.randrange(1, 10 * MS)
        )
        self.schedule(
            link.last_delivery[direction], self.deliver, link, direction, MESSAGE_TYPES.frame(message)
        )

    def deliver(self, link, direction, data):
        if link.number not in self.links:
            return
        name = link.distributor if direction == 0 else link.subscriber
        if name in self.suspended:
            self.deferred_calls.setdefault(name, []).append((self.deliver, link, direction, data))
            return
        for message, _ in link.decoders[direction].feed(data):
            if direction == 0:
                self.dispatch(
                    self.distributors[link.distributor], interfaces.MessageReceived(link.number, message)
                )
            else:
                self.dispatch(
                    self.subscribers[link.subscriber],
                    interfaces.DistributorMessageReceived(link.distributor, message),
                )
