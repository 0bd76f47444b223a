"""Messages between a program and its relays, and their framing. No I/O."""

from __future__ import annotations

from ..encoding.frames import MessageTypes
from ..encoding.rows import Row
from .terms import Ack, Claim, Message, Nack


class Hello(Row, frozen=True):
    """First message of a relay on a connection: its name."""

    relay: str


class Welcome(Row, frozen=True):
    """Reply to Hello: the connection's number, which only grows for a relay and a run of the program."""

    connection: int


class Joined(Row, frozen=True):
    """What the relay holds; it is sent nothing but a Welcome before this message."""

    connection: int
    claim: Claim


WORDS = MessageTypes(b"IHvw", 1, [Hello, Welcome, Joined, Message, Ack, Nack])
