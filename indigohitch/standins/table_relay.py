"""A stand-in relay that holds tables: what it takes and what it answers, without a wire."""

from __future__ import annotations

from ..versions.tables import Root
from ..versions.terms import Ack, Claim, Message, Nack, applied


class TableRelay:
    """Applies messages in order, and answers as a relay does."""

    MOST = 1000  # lines remembered since the last whole version

    def __init__(self, root: Root | None = None) -> None:
        self.root = root or Root()
        self.connection = self.taken = 0
        self.base, self.since = b"", ()
        self.refuses = False
        self.false_digests = 0  # answers still to be given with a digest that is not true

    def connect(self, connection: int) -> Claim:
        self.connection, self.taken = connection, 0
        return self.claim()

    def claim(self) -> Claim:
        return Claim(self.root.digest, self.root.parts(), 0, self.base, self.since)

    def receive(self, message: Message) -> Ack | Nack | None:
        if message.connection != self.connection:
            return None
        if message.sequence <= self.taken:
            return self.ack(message)  # said twice
        if message.after != self.taken:
            return Nack(self.connection, message.sequence, self.taken, True, self.claim(), "gap")
        if self.refuses and message.lines():
            return Nack(self.connection, message.sequence, self.taken, False, self.claim(), "refused")
        self.root, self.taken = applied(self.root, message), message.sequence
        self.since += message.updates
        if self.root.digest == message.version_id.digest:
            self.base, self.since = message.version_id.digest, ()
        elif message.replacements or len(self.since) > self.MOST:
            self.base, self.since = b"", ()
        return self.ack(message)

    def ack(self, message: Message) -> Ack:
        if self.false_digests:
            self.false_digests -= 1
            return Ack(self.connection, self.taken, message.version_id, b"\1" * 16)
        return Ack(self.connection, self.taken, message.version_id, self.root.digest)
