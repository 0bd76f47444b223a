"""Messages between a member and the leader about leases.  Data types only."""

from __future__ import annotations

from collections.abc import Mapping

from ...encoding.rows import Row


class RenewLease(Row, frozen=True):
    """Request that a member sends to the leader every quarter of a lease; `number` counts up per process."""

    number: int
    incarnation: int
    applied: int  # index of the last entry that the member has applied
    digest_at: int = 0  # index of the last `members.compare` entry that it has applied; 0: none
    digest: bytes = b""  # of its state machine at `digest_at`
    wall: int = 0  # its wall clock, Unix time in ticks; the fleet clock uses the median
    acts: int = 0  # number of actions that it has stamped; the next one is based on `applied` or later
    reports: Mapping[str, bytes] = {}  # of its work modules, by name


class LeaseRenewed(Row, frozen=True):
    """Reply that renews a lease, sent after a majority confirmed a read started after the request came."""

    number: int
    incarnation: int
    term: int = 0


class LeaseNotRenewed(Row, frozen=True):
    """Reply that grants no lease.

    If `over` is set, this incarnation never gets one again; else the member may retry after `retry_after`
    ticks.
    """

    number: int
    incarnation: int
    why: str
    over: bool = False
    retry_after: int = 1_000


MESSAGE_TYPES = (RenewLease, LeaseRenewed, LeaseNotRenewed)
