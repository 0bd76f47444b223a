"""What all parts of the fleet speak of: who, stamps, entries, proposals, leases.  No I/O, no decisions.

Times and spans are whole tenths of a millisecond.  `now` is the monotonic clock of the process that reads it,
of use within that process only; `fleet time` is Unix time as the ledger has agreed on it."""

from __future__ import annotations

import enum

from ..encoding.rows import Row


class MemberId(Row, frozen=True, order=True):
    """A voter or follower as the ledger counts it.  `number` belongs to its disk: a disk that is lost takes
    the number along, and the member that comes without it is another one under the same name."""

    name: str
    number: int


class Stamp(Row, frozen=True, order=True):
    """By whom and by what an act was done.  `version` is the last entry of the ledger that the actor went by;
    `number` counts the acts of that incarnation, from 1 and without a gap."""

    member: str
    incarnation: int  # of the process; entries give it, it only grows for a member
    term: int  # of the ledger at that entry
    version: int
    number: int


class LogEntry(Row, frozen=True):
    """One record of the ledger.  `kind` is `part.word`, as `seats.grant`; `body` the msgpack of that kind's
    row. Kind "" is a leader's first entry, with nothing in it; kind `ledger.members` is the ledger's own."""

    index: int
    term: int
    kind: str
    body: bytes
    proposer: str = ""
    incarnation: int = 0
    number: int = 0  # of the proposal: it takes effect once, however often it comes


class Proposal(Row, frozen=True):
    """What a member wants in the ledger.  Numbers of one incarnation only grow; up to
    `state_machine.WINDOW` may be out."""

    proposer: str
    incarnation: int
    number: int
    kind: str
    body: bytes


class Outcome(Row, frozen=True):
    """What an entry came to, the same at each member: `refused` says why it changed nothing, else it is
    empty."""

    index: int
    rejection: str = ""
    result: bytes = b""  # msgpack of what the part returned
    is_duplicate: bool = False  # it had come before: this is what it came to then


class Lease(Row, frozen=True):
    """A member's right to act, as it knows it: until `until` of its own monotonic clock, by `incarnation`."""

    incarnation: int
    until: int

    def remaining(self, now: int) -> int:
        return max(0, self.until - now)


class MemberStanding(enum.Enum):
    """What the judge says of a member (docs/audit.md)."""

    CURRENT = "current"
    BEHIND = "behind"  # by less than a soft change allows
    STRAGGLER = "straggler"  # by more: it is brought up or shut out
    CATCHING_UP = "being brought up"
    EVICTED = "shut out"  # by entry; what it held is given on once its lease has surely run out
    LEASE_EXPIRED = "gone"  # its lease has run out: what it held is free
    READMITTED = "back"  # under a new incarnation, being compared
