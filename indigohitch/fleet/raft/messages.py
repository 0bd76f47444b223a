"""Messages between Raft nodes.

By Ongaro and Ousterhout 2014, figures 2 and 13, and Ongaro's dissertation, 4.2.3, 3.10, 6.4 and 9.6.  Rows
only; fields are only ever added at the end.
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import LogEntry
from .interfaces import Members


class RequestVote(Row, frozen=True):
    """A candidate's request for a vote in `term`; its log ends with that index and term.

    `is_pre_vote`: whether the receiver would vote; it binds nobody and changes no term.
    `is_leadership_transfer`: the leader itself has asked the sender to stand for election.
    """

    term: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class RequestVoteResponse(Row, frozen=True):
    """`term` is that of the request if the vote was granted, else the sender's own."""

    term: int
    vote_granted: bool
    is_pre_vote: bool = False


class AppendEntries(Row, frozen=True):
    """Entries that follow the one at `prev_log_index`, of `prev_log_term`; without any it is a heartbeat.

    `read_round` counts the leader's rounds of reads: a response with it was sent after that round began.
    `sent_at` is the leader's clock, to compare with other messages of the same leader only; 0: not given.
    """

    term: int
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    entries: tuple[LogEntry, ...] = ()
    read_round: int = 0
    sent_at: int = 0


class AppendEntriesResponse(Row, frozen=True):
    """With `success` all up to `match_index` is on the sender's disk and equal to the leader's log.

    Without it the sender's log differs at `prev_log_index`; up to there its entries have at most
    `conflict_term`, up to `match_index`.
    """

    term: int
    success: bool
    match_index: int
    prev_log_index: int = 0
    conflict_term: int = 0
    read_round: int = 0


class InstallSnapshot(Row, frozen=True):
    """A chunk of a snapshot of `total` bytes with that digest, from `offset` on."""

    term: int
    last_included_index: int
    last_included_term: int
    members: Members
    total: int
    digest: bytes
    offset: int
    data: bytes


class InstallSnapshotResponse(Row, frozen=True):
    """The sender has the first `offset` bytes of the snapshot."""

    term: int
    last_included_index: int
    offset: int


class TimeoutNow(Row, frozen=True):
    """The leader hands its leadership to the receiver, whose log is complete: stand for election now."""

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
