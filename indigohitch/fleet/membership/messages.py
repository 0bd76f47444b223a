"""What a member and the leader say about leases.  Shapes only; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ...encoding.rows import Row


class RenewLease(Row, frozen=True):
    """A member to the leader, each quarter of a lease.  `number` counts the askings of this process."""

    number: int
    incarnation: int
    applied: int  # the last entry that it goes by
    digest_at: int = 0  # the last point of comparing (`members.compare`) that it passed; 0: none
    digest: bytes = b""  # of its state machine there
    wall: int = 0  # its wall clock, Unix time in tenths of a ms: hours/ takes the median
    acts: int = 0  # how many acts it has stamped so far: the next goes by `applied` or later
    reports: Mapping[str, bytes] = {}  # of its works, by name


class LeaseRenewed(Row, frozen=True):
    """The leader's answer, after a read confirmed by a majority that began after the asking came."""

    number: int
    incarnation: int
    term: int = 0


class LeaseNotRenewed(Row, frozen=True):
    """No lease: `why`; `over`: this incarnation never gets one again.  `again`: when to ask again."""

    number: int
    incarnation: int
    why: str
    over: bool = False
    again: int = 1_000


MESSAGE_TYPES = (RenewLease, LeaseRenewed, LeaseNotRenewed)
