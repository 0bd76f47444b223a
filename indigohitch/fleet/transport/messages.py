"""Messages about a link itself.  Data types only; new fields are only ever added at the end.

Member A dials B and sends its messages to B over that connection; B sends its messages to A over the
connection that B dials.  Only replies to the messages of this module come back over a dialled connection.  A
subscriber is never dialled: both directions use the one connection that it dials (fleet/distribution).
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import MemberId

PROTOCOL = 1  # version of this program's messages; it understands one version older and one newer
LOWEST_PROTOCOL = max(1, PROTOCOL - 1)
HIGHEST_PROTOCOL = PROTOCOL
# Roles of the sender of a handshake.
MEMBER = "member"
SUBSCRIBER = "subscriber"


class Handshake(Row, frozen=True):
    """First message on a dialled connection.

    `token` is 62 random bits, new at each start of the sender; `who.number` is 0 while the sender has none.
    """

    fleet: str
    who: MemberId
    token: int
    lowest: int = LOWEST_PROTOCOL
    highest: int = HIGHEST_PROTOCOL
    role: str = MEMBER


class HandshakeAccepted(Row, frozen=True):
    """Reply to an accepted handshake.

    `met` is the highest number that the sender has ever seen with the name of the dialling member.
    `founders` are the voters at the sender's bootstrap, or before it those that its file lists.
    """

    who: MemberId
    token: int
    met: int = 0
    founders: tuple[str, ...] = ()
    lowest: int = LOWEST_PROTOCOL
    highest: int = HIGHEST_PROTOCOL


class HandshakeRefused(Row, frozen=True):
    """Reply to a refused handshake; the connection is closed after it."""

    why: str


class Ping(Row, frozen=True):
    """Heartbeat that the dialling end sends."""

    number: int


class Pong(Row, frozen=True):
    """Reply to the `Ping` of that number."""

    number: int


MESSAGE_TYPES = (Handshake, HandshakeAccepted, HandshakeRefused, Ping, Pong)
