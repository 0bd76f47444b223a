"""What the two ends of a link say about the link itself.  Rows only; fields are only ever added at the end.

Member A dials B, and what A has to say to B goes over that connection; what B says to A goes over the one
that B dials.  Back over a member's dialled connection come only answers to these words.  A subscriber is
dialled by nobody: both directions go over the one connection that it dials (fleet/distribution)."""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import MemberId

PROTOCOL = 1  # of this program's words; it understands one less and one more
LOWEST, HIGHEST = max(1, PROTOCOL - 1), PROTOCOL
MEMBER, SUBSCRIBER = "member", "subscriber"  # roles of who greets


class Handshake(Row, frozen=True):
    """First word of who dials.  `token`: of its start, 62 random bits; `who.number` 0: it has none yet."""

    fleet: str
    who: MemberId
    token: int
    lowest: int = LOWEST
    highest: int = HIGHEST
    role: str = MEMBER


class HandshakeAccepted(Row, frozen=True):
    """`met`: the highest number that the answering one ever met of the asker's name; `founders`: the voters
    at its founding, or those its file lists if it has not been founded."""

    who: MemberId
    token: int
    met: int = 0
    founders: tuple[str, ...] = ()
    lowest: int = LOWEST
    highest: int = HIGHEST


class HandshakeRefused(Row, frozen=True):
    """The connection is closed after it."""

    why: str


class Ping(Row, frozen=True):
    """Is there anyone?"""

    number: int


class Pong(Row, frozen=True):
    number: int


MESSAGE_TYPES = (Handshake, HandshakeAccepted, HandshakeRefused, Ping, Pong)
