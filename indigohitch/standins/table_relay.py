"""A stand-in relay that holds tables: applies messages and answers them, without a connection."""

from __future__ import annotations

from ..versions.tables import Root
from ..versions.terms import Ack, Claim, Message, Nack, applied


class TableRelay:
    """Applies messages in order, and answers as a relay does.

    With `refuses` set it rejects messages that change lines.
    """

    MAX_UPDATES_SINCE_BASE = 1000  # line updates remembered since the last complete version

    def __init__(self, root: Root | None = None) -> None:
        self.root = root or Root()
        self.connection = self.taken = 0
        self.base, self.since = b"", ()
        self.refuses = False
        self.false_digests = 0  # number of the next answers that carry a wrong digest

    def connect(self, connection: int) -> Claim:
        """Starts a new connection; returns the claim that the relay makes at its start."""
        self.connection, self.taken = connection, 0
        return self.claim()

    def claim(self) -> Claim:
        """Returns what the relay says that it holds."""
        return Claim(self.root.digest, self.root.parts(), 0, self.base, self.since)

    def receive(self, message: Message) -> Ack | Nack | None:
        """Applies a message and returns the answer, None for a message of another connection."""
        if message.connection != self.connection:
            return None
        if message.sequence <= self.taken:
            return self.ack(message)  # a duplicate
        if message.after != self.taken:
            return Nack(self.connection, message.sequence, self.taken, True, self.claim(), "gap")
        if self.refuses and message.lines():
            return Nack(self.connection, message.sequence, self.taken, False, self.claim(), "refused")
        self.root, self.taken = applied(self.root, message), message.sequence
        self.since += message.updates
        if self.root.digest == message.version_id.digest:
            self.base, self.since = message.version_id.digest, ()
        elif message.replacements or len(self.since) > self.MAX_UPDATES_SINCE_BASE:
            self.base, self.since = b"", ()
        return self.ack(message)

    def ack(self, message: Message) -> Ack:
        """Returns the acknowledgement, with a wrong digest while `false_digests` is positive."""
        if self.false_digests:
            self.false_digests -= 1
            return Ack(self.connection, self.taken, message.version_id, b"\1" * 16)
        return Ack(self.connection, self.taken, message.version_id, self.root.digest)
