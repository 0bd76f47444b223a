"""Messages about a link itself.  Rows only; fields are only ever added at the end.

Member A dials B, and A's messages to B go over that connection; B's messages to A go over the one that B
dials.  Over a member's dialled connection come back only the replies to the messages here.  A subscriber is
dialled by nobody: both directions go over the one connection that it dials (fleet/distribution).
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import MemberId

PROTOCOL = 1  # version of this program's messages; it understands one less and one more
LOWEST = max(1, PROTOCOL - 1)
HIGHEST = PROTOCOL
# Roles of the sender of a handshake.
MEMBER = "member"
SUBSCRIBER = "subscriber"


class Handshake(Row, frozen=True):
    """First message on a dialled connection.

    `token` is that of the sender's start, 62 random bits; `who.number` is 0 while the sender has none.
    """

    fleet: str
    who: MemberId
    token: int
    lowest: int = LOWEST
    highest: int = HIGHEST
    role: str = MEMBER


class HandshakeAccepted(Row, frozen=True):
    """Reply to a handshake that is accepted.

    `met` is the highest number that the sender has ever seen of the dialling member's name; `founders` are
    the voters at the sender's bootstrap, or those that its file lists if it has not been bootstrapped.
    """

    who: MemberId
    token: int
    met: int = 0
    founders: tuple[str, ...] = ()
    lowest: int = LOWEST
    highest: int = HIGHEST


class HandshakeRefused(Row, frozen=True):
    """Reply to a handshake that is refused; the connection is closed after it."""

    why: str


class Ping(Row, frozen=True):
    """Heartbeat of the dialling end."""

    number: int


class Pong(Row, frozen=True):
    """Reply to the `Ping` of that number."""

    number: int


MESSAGE_TYPES = (Handshake, HandshakeAccepted, HandshakeRefused, Ping, Pong)
