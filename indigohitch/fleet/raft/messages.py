"""Defines the messages between Raft nodes.

See Ongaro and Ousterhout 2014, figures 2 and 13, and Ongaro's dissertation, sections 3.10, 4.2.3, 6.4 and
9.6.  Messages are encoded as arrays, so a new field may only be added at the end.
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import LogEntry
from .interfaces import Members


class RequestVote(Row, frozen=True):
    """Requests a vote in `term`; the candidate's log ends with the entry (`last_log_index`, `last_log_term`).

    With `is_pre_vote` the receiver answers whether it would vote, without voting or changing its term.
    With `is_leadership_transfer` the leader itself has asked the sender to start an election.
    """

    term: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class RequestVoteResponse(Row, frozen=True):
    """Answers a `RequestVote`; `term` is the request's if the vote is granted, else the sender's own."""

    term: int
    vote_granted: bool
    is_pre_vote: bool = False


class AppendEntries(Row, frozen=True):
    """Carries entries that follow the entry (`prev_log_index`, `prev_log_term`); a heartbeat has none.

    `read_round` numbers the leader's read rounds: a response that echoes it was sent after that round began.
    `sent_at` is read from the leader's clock and comparable only within messages of one leader; 0 if absent.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    entries: tuple[LogEntry, ...] = ()
    read_round: int = 0
    sent_at: int = 0


class AppendEntriesResponse(Row, frozen=True):
    """Answers an `AppendEntries`.

    With `success`, all entries up to `match_index` are on the sender's disk and equal the leader's log.
    Without it, the sender's log differs from the leader's at `prev_log_index`.  `match_index` is then the
    last index at which the logs may agree, and `conflict_term` the term of the sender's entry there.
    """

    term: int
    success: bool
    match_index: int
    prev_log_index: int = 0
    conflict_term: int = 0
    read_round: int = 0


class InstallSnapshot(Row, frozen=True):
    """Carries a chunk, starting at `offset`, of a snapshot of `total` bytes with the digest `digest`."""

    term: int
    last_included_index: int
    last_included_term: int
    members: Members
    total: int
    digest: bytes
    offset: int
    data: bytes


class InstallSnapshotResponse(Row, frozen=True):
    """Acknowledges the first `offset` bytes of the snapshot."""

    term: int
    last_included_index: int
    offset: int


class TimeoutNow(Row, frozen=True):
    """Tells the receiver, whose log is complete, to start an election at once (leadership transfer)."""

    term: int


MESSAGE_TYPES = (
    RequestVote,
    RequestVoteResponse,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    TimeoutNow,
)
