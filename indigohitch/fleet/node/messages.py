"""What members' nodes say to each other beside the ledger's machines, and all words of a link by number.
Rows only; fields are only ever added at the end."""

from __future__ import annotations

from ...encoding.frames import MessageTypes
from ...encoding.rows import Row
from ..distribution import messages as distribution
from ..membership import messages as members
from ..raft import messages as ledger
from ..transport import messages as links
from ..types import MemberId, Proposal


class Forward(Row, frozen=True):
    """To the leader: a proposal of the sender."""

    proposal: Proposal


class ProposalRejected(Row, frozen=True):
    """It was not taken: come back in `again` tenths of a ms."""

    proposer: str
    incarnation: int
    number: int
    again: int


class ReadIndexRequest(Row, frozen=True):
    """To the leader: how far must a state machine be that answers now?"""

    number: int


class ReadIndexResponse(Row, frozen=True):
    """`ok` False: who was asked doesn't lead."""

    number: int
    index: int
    ok: bool = True


class JoinRequest(Row, frozen=True):
    """To whoever leads: the sender is not in the ledger as its file has it.  `number` 0: its disk is new;
    `token` of its start."""

    name: str
    token: int
    number: int = 0
    votes: bool = True


class JoinResponse(Row, frozen=True):
    """That number is in the ledger, and is the asker's if it bears that token."""

    who: MemberId
    token: int
    founders: tuple[str, ...]


# In the order of their numbers on the wire: what is added goes to the end.
MESSAGE_TYPES = (
    links.Handshake,
    links.HandshakeAccepted,
    links.HandshakeRefused,
    links.Ping,
    links.Pong,
    ledger.RequestVote,
    ledger.RequestVoteResponse,
    ledger.AppendEntries,
    ledger.AppendEntriesResponse,
    ledger.InstallSnapshot,
    ledger.InstallSnapshotResponse,
    ledger.TimeoutNow,
    members.RenewLease,
    members.LeaseRenewed,
    members.LeaseNotRenewed,
    Forward,
    ProposalRejected,
    ReadIndexRequest,
    ReadIndexResponse,
    JoinRequest,
    JoinResponse,
    distribution.Report,
)
MACHINE = frozenset(ledger.MESSAGE_TYPES)
# Of one frame: four messages of entries; a proposal's body is a tenth of it at most.
KINDS = MessageTypes(b"IHfl", links.PROTOCOL, MESSAGE_TYPES, 512 << 10)
BODY = 48 << 10
