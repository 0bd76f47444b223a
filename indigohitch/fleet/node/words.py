"""What members' nodes say to each other beside the ledger's machines, and all words of a link by number.
Rows only; fields are only ever added at the end."""

from __future__ import annotations

from ...encoding.frames import MessageTypes
from ...encoding.rows import Row
from ..distribution import messages as distribution
from ..ledger import words as ledger
from ..links import words as links
from ..members import words as members
from ..terms import Proposal, Who


class Forward(Row, frozen=True):
    """To the leader: a proposal of the sender."""

    proposal: Proposal


class TurnedAway(Row, frozen=True):
    """It was not taken: come back in `again` tenths of a ms."""

    proposer: str
    incarnation: int
    number: int
    again: int


class ReadAsk(Row, frozen=True):
    """To the leader: how far must a state machine be that answers now?"""

    number: int


class ReadAt(Row, frozen=True):
    """`ok` False: who was asked doesn't lead."""

    number: int
    index: int
    ok: bool = True


class Admit(Row, frozen=True):
    """To whoever leads: the sender is not in the ledger as its file has it.  `number` 0: its disk is new;
    `token` of its start."""

    name: str
    token: int
    number: int = 0
    votes: bool = True


class Admitted(Row, frozen=True):
    """That number is in the ledger, and is the asker's if it bears that token."""

    who: Who
    token: int
    founders: tuple[str, ...]


# In the order of their numbers on the wire: what is added goes to the end.
WORDS = (
    links.Greeting,
    links.Welcome,
    links.Refused,
    links.Pulse,
    links.Pulsed,
    ledger.Ask,
    ledger.Vote,
    ledger.Append,
    ledger.Appended,
    ledger.Piece,
    ledger.Pieced,
    ledger.Take,
    members.Renew,
    members.Renewed,
    members.NotRenewed,
    Forward,
    TurnedAway,
    ReadAsk,
    ReadAt,
    Admit,
    Admitted,
    distribution.Report,
)
MACHINE = frozenset(ledger.WORDS)
# Of one frame: four messages of entries; a proposal's body is a tenth of it at most.
KINDS = MessageTypes(b"IHfl", links.PROTOCOL, WORDS, 512 << 10)
BODY = 48 << 10
