"""Links between subscribers and distributors in memory: frames in order, with delays, cut by the test."""

from dataclasses import dataclass, field

from distribution_truth import MS
from indigohitch.encoding.frames import FrameDecoder
from indigohitch.fleet.distribution import interfaces
from indigohitch.fleet.distribution.messages import MESSAGE_TYPES


@dataclass(eq=False)
class Link:
    number: int
    subscriber: str
    server: str
    frames: tuple = field(default_factory=lambda: (FrameDecoder(MESSAGE_TYPES), FrameDecoder(MESSAGE_TYPES)))
    last: list = field(default_factory=lambda: [0, 0])


class Network:
    """Used by World."""

    # ---- the network -------------------------------------------------------------------------------

    def cut(self, link):
        if self.links.pop(link.number, None) is None:
            return
        subscriber = self.subscribers[link.subscriber]
        self.at(self.now + 5 * MS, self.put, subscriber, interfaces.ConnectionLost(link.server))
        if link.server in self.servers:
            self.put(self.servers[link.server], interfaces.SubscriberDisconnected(link.number))

    def dial(self, subscriber, to):
        if (old := self.link_of(subscriber.name)) is not None:
            self.hang_up(old)
        if to not in self.servers or subscriber.name in self.unreachable:
            self.at(self.now + 5 * MS, self.put, subscriber, interfaces.ConnectionLost(to))
            return
        link = self.latest[subscriber.name] = Link(next(self.numbers), subscriber.name, to)
        self.links[link.number] = link
        self.at(self.now + MS, self.put, subscriber, interfaces.ConnectionEstablished(to))
        self.at(
            self.now + MS,
            self.put,
            self.servers[to],
            interfaces.SubscriberConnected(link.number, subscriber.name),
        )

    def link_of(self, subscriber):
        link = self.latest.get(subscriber)
        return link if link is not None and link.number in self.links else None

    def hang_up(self, link):
        if self.links.pop(link.number, None) is not None and link.server in self.servers:
            self.at(
                self.now + MS,
                self.put,
                self.servers[link.server],
                interfaces.SubscriberDisconnected(link.number),
            )

    def send(self, link, way, message):
        """As bytes, in order, each later than the one before; `way` 0: to the distributor."""
        link.last[way] = max(link.last[way], self.now + self.chance.randrange(1, 10 * MS))
        self.at(link.last[way], self.deliver, link, way, MESSAGE_TYPES.frame(message))

    def deliver(self, link, way, data):
        if link.number not in self.links:
            return
        name = link.server if way == 0 else link.subscriber
        if name in self.stopped:
            self.held_back.setdefault(name, []).append((self.deliver, link, way, data))
            return
        for message, _ in link.frames[way].feed(data):
            if way == 0:
                self.put(self.servers[link.server], interfaces.MessageReceived(link.number, message))
            else:
                self.put(
                    self.subscribers[link.subscriber],
                    interfaces.DistributorMessageReceived(link.server, message),
                )
