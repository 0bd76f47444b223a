"""What the ledger's machines say to each other (Ongaro and Ousterhout 2014, figures 2 and 13, and the
dissertation, 4.2.3, 3.10, 6.4, 9.6).  Rows only; fields are only ever added at the end."""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import LogEntry
from .interfaces import Members


class RequestVote(Row, frozen=True):
    """For a vote in `term`, by one whose log ends so.  `pre`: would you?  It binds nobody and moves no term.
    `handed`: the leader itself has asked the sender to stand."""

    term: int
    last_log_index: int
    last_log_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class RequestVoteResponse(Row, frozen=True):
    """`term` as asked for where it is given, else the sender's own."""

    term: int
    vote_granted: bool
    is_pre_vote: bool = False


class AppendEntries(Row, frozen=True):
    """Entries that follow the one at `prev_index`, of `prev_term`; without any it is a beat.  `round` counts
    the rounds of reads of that leader: an answer that says it was sent after that round began.  `at`: the
    leader's clock as it was sent, of use only against other words of the same leader; 0: not told."""

    term: int
    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    entries: tuple[LogEntry, ...] = ()
    read_round: int = 0
    sent_at: int = 0


class AppendEntriesResponse(Row, frozen=True):
    """`ok`: all up to `match` is on the sender's disk and as the leader has it.  Not `ok`: nothing stands at
    `prev_index` as the leader has it; what the sender holds up to there is at most of `hint_term`, up to
    `match`."""

    term: int
    success: bool
    match_index: int
    prev_log_index: int = 0
    conflict_term: int = 0
    read_round: int = 0


class InstallSnapshot(Row, frozen=True):
    """Of a snapshot of `total` bytes with that digest, from `offset` on."""

    term: int
    last_included_index: int
    last_included_term: int
    members: Members
    total: int
    digest: bytes
    offset: int
    data: bytes


class InstallSnapshotResponse(Row, frozen=True):
    """Of the snapshot at `index` the sender holds the first `offset` bytes."""

    term: int
    last_included_index: int
    offset: int


class TimeoutNow(Row, frozen=True):
    """Stand now: the leader gives its place up to you, whose log ends as its own."""

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
