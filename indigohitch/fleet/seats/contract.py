"""Contracts, entries and stamps of seats; data types only.

Durations are tenths of a millisecond, instants fleet time (Unix time as agreed by the ledger).
"""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import Stamp

COMMON = ""  # the pool of a feature that any tenant may have seats of


class Terms(Row, frozen=True):
    """One feature's contract; `kind`: a seat for each "job", "node", or "user" of a tenant."""

    feature: str
    seats: int
    kind: str = "job"
    since: int = 0  # 0: it has no beginning; `until` 0: no end
    until: int = 0
    linger: int = 0  # a node's or user's seat stays its own so long after its last job
    drain: int = 300_000  # of what a cut made too much: its users may go on so long
    keep: tuple[tuple[str, int], ...] = ()  # tenant, seats that are its own

    def pools(self) -> dict[str, int]:
        """Returns seats by pool: one for each tenant with reserved seats, and the common one."""
        return {COMMON: self.seats - sum(count for _, count in self.keep), **dict(self.keep)}

    def valid(self, time: int) -> bool:
        """Returns whether the contract runs at that fleet time.

        While no time is agreed on (0), a contract with dates does not.
        """
        if not self.since and not self.until:
            return True
        return 0 < time >= self.since and (not self.until or time < self.until)


# ---- bodies of entries: seats.contract, seats.grant, seats.recall, seats.return -----------------------


class Contract(Row, frozen=True):
    """All contracts of one edition of the file; a feature not listed has no seats any more."""

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
    """Recalls seats of a member, idle ones first; only the member knows which."""

    feature: str
    pool: str
    member: str
    incarnation: int
    count: int


class Return(Row, frozen=True):
    """Returns seats, by their holder: (number, counter) of each."""

    feature: str
    pool: str
    seats: tuple[tuple[int, int], ...]


# ---- what the state holds ----------------------------------------------------------------------------


class Share(Row):
    """The seats of a pool that one incarnation of a member holds, under its lease."""

    pool: str
    name: str
    incarnation: int
    seats: list[int]  # numbers, ascending
    debt: int = 0  # of these, to be returned
    due: int = 0  # fleet time from which users of what is owed get no further job

    @property
    def net(self) -> int:
        """Seats held and not owed."""
        return len(self.seats) - self.debt


class FeatureRow(Row):
    """One feature in a snapshot."""

    terms: Terms
    counters: list[int]  # by number: how often a seat was granted or freed
    shares: list[Share]


class SeatsRow(Row):
    """All features in a snapshot."""

    edition: int
    features: list[FeatureRow]
    gone: list[tuple[str, int]]


# ---- what goes out ----------------------------------------------------------------------------------


class Given(Row, frozen=True):
    """The identity of one use of a seat.

    (`counter`, `use`) only grows for a number: `counter` by the state, `use` by the holder.  `shared`:
    further jobs of the same node or user may use it.
    """

    feature: str
    number: int
    counter: int
    use: int
    shared: bool


class Wanting(Row, frozen=True):
    """What a member would use of one pool."""

    feature: str
    pool: str
    used: int  # seats in use on average lately
    missed: int  # asks refused lately for want of a seat


class Report(Row, frozen=True):
    """What a member reports to the leader with each renewal, by feature and pool."""

    incarnation: int
    wanting: tuple[Wanting, ...]
    stocks: bool = True  # it takes a part of what nobody wants, so as to give at once


class Pass(Row, frozen=True):
    """What a server is shown: the use of a seat, the server's boot, and the end by the server's clock."""

    given: Given
    boot: str
    until: int
    stamp: Stamp
