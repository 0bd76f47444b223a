"""The owner of an inbound link, for tests: accepts each handshake and records what it is told."""

from indigohitch.fleet.distribution.messages import MESSAGE_TYPES


class LinkOwner:
    """Accepts each handshake of an inbound link."""

    kinds = MESSAGE_TYPES

    def __init__(self, loop):
        self.loop = loop
        self.seen = []

    def on_handshake(self, link, handshake):
        link.peer = handshake.who

    def on_message(self, link, message):
        self.seen.append(message)

    def on_closed(self, link):
        self.seen.append("closed")

    def on_unidentified(self, why):
        self.seen.append(why)

    def on_corrupt_frame(self, name, error):
        self.seen.append(str(error))
