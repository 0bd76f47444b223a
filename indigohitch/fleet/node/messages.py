"""Messages between nodes beside Raft's, and all message types of a link by number.

Rows only; fields are only ever added at the end.
"""

from __future__ import annotations

from ...encoding.frames import MessageTypes
from ...encoding.rows import Row
from ..distribution import messages as distribution
from ..membership import messages as members
from ..raft import messages as ledger
from ..transport import messages as links
from ..types import MemberId, Proposal


class Forward(Row, frozen=True):
    """A proposal of the sender, for the leader."""

    proposal: Proposal


class ProposalRejected(Row, frozen=True):
    """The proposal was not taken; it may be sent again after `retry_after` ticks."""

    proposer: str
    incarnation: int
    number: int
    retry_after: int


class ReadIndexRequest(Row, frozen=True):
    """Request to the leader for the index of a linearizable read."""

    number: int


class ReadIndexResponse(Row, frozen=True):
    """Reply to `ReadIndexRequest`; `ok` is False if the receiver did not lead."""

    number: int
    index: int
    ok: bool = True


class JoinRequest(Row, frozen=True):
    """Request to the leader of a member that Raft's configuration does not have as its file has it.

    `number` is 0 if its disk is new; `token` is that of its start.
    """

    name: str
    token: int
    number: int = 0
    votes: bool = True


class JoinResponse(Row, frozen=True):
    """The number of the member with that token is committed."""

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
RAFT_MESSAGES = frozenset(ledger.MESSAGE_TYPES)
# A frame has room for four messages of entries; a proposal's body is a tenth of it at most.
KINDS = MessageTypes(b"IHfl", links.PROTOCOL, MESSAGE_TYPES, 512 << 10)
MAX_BODY_BYTES = 48 << 10
