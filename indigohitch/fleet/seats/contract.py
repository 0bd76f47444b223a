"""Rows of licence contracts, log entries, snapshots and reports of seats; data types only.

Durations are tenths of a millisecond; instants are fleet time (Unix time as agreed on in the log).
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import Stamp

COMMON_POOL = ""  # name of a feature's pool from which every tenant may be allocated seats


class Terms(Row, frozen=True):
    """The contract of one feature; `kind`: one seat for each "job", "node", or "user" of a tenant."""

    feature: str
    seats: int
    kind: str = "job"
    since: int = 0  # 0: the contract has no start date
    until: int = 0  # 0: it has no end date
    linger: int = 0  # how long a node or user keeps its seat after its last job
    drain: int = 300_000  # how long jobs may still start on seats that have to be returned
    keep: tuple[tuple[str, int], ...] = ()  # (tenant, number of seats reserved for it)

    def pools(self) -> dict[str, int]:
        """Returns seats by pool: one for each tenant with reserved seats, and the common one."""
        return {COMMON_POOL: self.seats - sum(count for _, count in self.keep), **dict(self.keep)}

    def valid(self, time: int) -> bool:
        """Returns whether the contract is in force at that fleet time.

        A contract with dates is not in force before a fleet time was agreed on (0).
        """
        if not self.since and not self.until:
            return True
        return 0 < time >= self.since and (not self.until or time < self.until)


# ---- bodies of entries: seats.contract, seats.grant, seats.recall, seats.return -----------------------


class Contract(Row, frozen=True):
    """All contracts of one edition of the file; a feature that is not listed has no seats any more."""

    edition: int
    terms: tuple[Terms, ...]


class Grant(Row, frozen=True):
    """Grants free seats of a pool to one incarnation of a member."""

    feature: str
    pool: str
    member: str
    incarnation: int
    count: int


class Recall(Row, frozen=True):
    """Recalls a number of seats from a member, which returns idle seats first.

    The member chooses the seats, as only it knows which are idle.
    """

    feature: str
    pool: str
    member: str
    incarnation: int
    count: int


class Return(Row, frozen=True):
    """Returns seats of the proposing member: (number, counter) of each."""

    feature: str
    pool: str
    seats: tuple[tuple[int, int], ...]


# ---- the replicated state and its snapshot -----------------------------------------------------------


class Share(Row):
    """The seats of a pool that one incarnation of a member holds under its lease."""

    pool: str
    name: str
    incarnation: int
    seats: list[int]  # seat numbers, ascending
    debt: int = 0  # how many of these seats the member has to return
    drain_ends_at: int = 0  # fleet time from which no further job starts on a seat that is owed

    @property
    def net(self) -> int:
        """The number of seats held and not owed."""
        return len(self.seats) - self.debt


class FeatureRow(Row):
    """One feature in a snapshot."""

    terms: Terms
    counters: list[int]  # by seat number: how often the seat was granted or freed
    shares: list[Share]


class SeatsRow(Row):
    """All features in a snapshot."""

    edition: int
    features: list[FeatureRow]
    ended_incarnations: list[tuple[str, int]]  # (member, its last incarnation that holds nothing any more)


# ---- actions, reports and passes ---------------------------------------------------------------------


class SeatUse(Row, frozen=True):
    """The identity of one use of a seat.

    (`counter`, `use`) only increases for a seat number: the replicated state increases `counter`, the holder
    increases `use`.  `shared`: further jobs of the same node or user may run under this use.
    """

    feature: str
    number: int
    counter: int
    use: int
    shared: bool


class PoolDemand(Row, frozen=True):
    """A member's demand for seats of one pool."""

    feature: str
    pool: str
    used: int  # seats in use on average in the last window
    missed: int  # requests refused in that time because no seat was free


class Report(Row, frozen=True):
    """The demand that a member reports to the leader with each renewal of its lease, by feature and pool."""

    incarnation: int
    demands: tuple[PoolDemand, ...]
    holds_spares: bool = True  # it holds a part of the seats that nobody needs, to allocate them at once


class Pass(Row, frozen=True):
    """What a server is shown with a job: the use of a seat, the server's boot id, and the end of the job.

    `until` is the end by the server's clock.
    """

    given: SeatUse
    boot: str
    until: int
    stamp: Stamp
