"""Words between a program and its relays, as frames.  No I/O."""

from __future__ import annotations

from ..encoding.frames import MessageTypes
from ..encoding.rows import Row
from .terms import Ack, Claim, Message, Nack


class Hello(Row, frozen=True):
    """A relay's first word."""

    relay: str


class Welcome(Row, frozen=True):
    """The number of this connection: it only grows, for a relay and a run of the program."""

    connection: int


class Joined(Row, frozen=True):
    """What it holds; nothing but a Welcome goes to it before."""

    connection: int
    claim: Claim


WORDS = MessageTypes(b"IHvw", 1, [Hello, Welcome, Joined, Message, Ack, Nack])
