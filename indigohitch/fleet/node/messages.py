"""Messages between nodes other than those of Raft, and all message types of a link by number.

A message is encoded as an array: new fields are added at the end.
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
    """Passes a proposal of the sender to the leader."""

    proposal: Proposal


class ProposalRejected(Row, frozen=True):
    """Rejects a proposal; it may be sent again after `retry_after` ticks."""

    proposer: str
    incarnation: int
    number: int
    retry_after: int


class ReadIndexRequest(Row, frozen=True):
    """Requests the index of a linearizable read from the leader."""

    number: int


class ReadIndexResponse(Row, frozen=True):
    """Replies to `ReadIndexRequest`; `ok` is False if the read was not confirmed."""

    number: int
    index: int
    ok: bool = True


class JoinRequest(Row, frozen=True):
    """Asks the leader to add a member that the Raft configuration lacks in the role that its file gives it.

    `number` is 0 if the disk is new; `token` identifies the start of the process.
    """

    name: str
    token: int
    number: int = 0
    votes: bool = True


class JoinResponse(Row, frozen=True):
    """Tells a member that its number is committed; `token` is that of the request."""

    who: MemberId
    token: int
    founders: tuple[str, ...]


# The place of a type is its number on the wire: new types are added at the end.
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
# A frame has room for four messages of entries; the body of a proposal takes at most a tenth of a frame.
KINDS = MessageTypes(b"IHfl", links.PROTOCOL, MESSAGE_TYPES, 512 << 10)
MAX_BODY_BYTES = 48 << 10
