"""Messages between a member and the leader about leases.  Shapes only; no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ...encoding.rows import Row


class RenewLease(Row, frozen=True):
    """Sent by a member to the leader each quarter of a lease; `number` counts those of this process."""

    number: int
    incarnation: int
    applied: int  # index of the last entry that the member has applied
    digest_at: int = 0  # index of the last `members.compare` that it has applied; 0: none
    digest: bytes = b""  # of its state machine there
    wall: int = 0  # its wall clock, Unix time in ticks: the fleet clock takes the median
    acts: int = 0  # number of actions that it has stamped: the next goes by `applied` or later
    reports: Mapping[str, bytes] = {}  # of its works, by name


class LeaseRenewed(Row, frozen=True):
    """Reply of the leader, after a read confirmed by a majority that started after the request came."""

    number: int
    incarnation: int
    term: int = 0


class LeaseNotRenewed(Row, frozen=True):
    """Reply that grants no lease.

    With `over` this incarnation never gets one again; else the member may retry after `retry_after` ticks.
    """

    number: int
    incarnation: int
    why: str
    over: bool = False
    retry_after: int = 1_000


MESSAGE_TYPES = (RenewLease, LeaseRenewed, LeaseNotRenewed)
