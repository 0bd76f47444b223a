"""Types that all parts of the fleet share: members, stamps, log entries, proposals, leases.  No I/O.

Times and durations are whole tenths of a millisecond.  `now` is the monotonic clock of the process that reads
it and has no meaning in another process; fleet time is Unix time as agreed on in the replicated log.
"""

from __future__ import annotations

import enum

from ..encoding.rows import Row


class MemberId(Row, frozen=True, order=True):
    """A voter or follower in the membership of the replicated log.

    `number` belongs to its disk.  If the disk is lost, so is the number: the member that starts without it is
    a different one under the same name.
    """

    name: str
    number: int


class Stamp(Row, frozen=True, order=True):
    """States which member took an action, and on which state of the log it was based.

    `version` is the last log entry that the actor had applied; `number` counts the actions of that
    incarnation, from 1 and without a gap.
    """

    member: str
    incarnation: int  # of the process; assigned by a log entry, it only increases for a member
    term: int  # of the log at entry `version`
    version: int
    number: int


class LogEntry(Row, frozen=True):
    """An entry of the replicated log.

    `kind` is `part.word`, such as `seats.grant`; `body` is the msgpack of that kind's row.  Kind "" is the
    empty first entry of a leader; kind `ledger.members` belongs to Raft itself.
    """

    index: int
    term: int
    kind: str
    body: bytes
    proposer: str = ""
    incarnation: int = 0
    number: int = 0  # of the proposal, which takes effect once, however often it is received


class Proposal(Row, frozen=True):
    """A request of a member to append an entry to the log.

    Numbers of one incarnation only increase; up to `state_machine.WINDOW` of its proposals may be pending.
    """

    proposer: str
    incarnation: int
    number: int
    kind: str
    body: bytes


class Outcome(Row, frozen=True):
    """The outcome of an entry, the same at each member.

    `rejection` says why the entry changed nothing; it is empty if the entry took effect.
    """

    index: int
    rejection: str = ""
    result: bytes = b""  # msgpack of what the part returned
    is_duplicate: bool = False  # the proposal was applied before; this is its outcome of that time


class Lease(Row, frozen=True):
    """A member's right to act as `incarnation`, until its own monotonic clock reads `until`."""

    incarnation: int
    until: int

    def remaining(self, now: int) -> int:
        """Returns how long the lease still runs, in tenths of a ms; 0 once it has expired."""
        return max(0, self.until - now)


class MemberStanding(enum.Enum):
    """The leader's view of a member (membership/failure_detector.py)."""

    CURRENT = "current"
    BEHIND = "behind"  # by less than a soft change allows
    STRAGGLER = "straggler"  # by more: it catches up or is evicted
    CATCHING_UP = "being brought up"
    EVICTED = "shut out"  # by a log entry; what it held is free once its lease has certainly run out
    LEASE_EXPIRED = "gone"  # its lease has run out: what it held is free
    READMITTED = "back"  # under a new incarnation, whose state is being compared
