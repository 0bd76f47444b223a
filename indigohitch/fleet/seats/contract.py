"""What is contracted, what entries say of seats, and what a seat's stamp holds.  Shapes only.

Spans are tenths of a ms, instants fleet time (Unix time as the ledger has agreed on it)."""

from __future__ import annotations

from ...encoding.rows import Row
from ..types import Stamp

COMMON = ""  # the pool of a feature that any tenant may have seats of


class Terms(Row, frozen=True):
    """One feature's contract.  `kind`: one seat for each "job", each "node", or each "user" of a tenant."""

    feature: str
    seats: int
    kind: str = "job"
    since: int = 0  # 0: it has no beginning; `until` 0: no end
    until: int = 0
    linger: int = 0  # a node's or user's seat stays its own so long after its last job
    drain: int = 300_000  # of what a cut made too much: its users may go on so long
    keep: tuple[tuple[str, int], ...] = ()  # tenant, seats that are its own

    def pools(self) -> dict[str, int]:
        """Seats by pool: one for each tenant that has some kept, and the common one of the rest."""
        return {COMMON: self.seats - sum(count for _, count in self.keep), **dict(self.keep)}

    def valid(self, time: int) -> bool:
        """At that fleet time; while none is agreed on (0) a contract with dates is not."""
        if not self.since and not self.until:
            return True
        return 0 < time >= self.since and (not self.until or time < self.until)


# ---- bodies of entries: seats.contract, seats.grant, seats.recall, seats.return -----------------------


class Contract(Row, frozen=True):
    """All that the file with this number contracts: what it doesn't name has no seats any more."""

    edition: int
    terms: tuple[Terms, ...]


class Grant(Row, frozen=True):
    """So many free seats of a pool to one incarnation of a member."""

    feature: str
    pool: str
    member: str
    incarnation: int
    count: int


class Recall(Row, frozen=True):
    """So many of what it holds are to be returned, the idle ones first: which, only the member knows."""

    feature: str
    pool: str
    member: str
    incarnation: int
    count: int


class Return(Row, frozen=True):
    """By who holds them: (number, counter) of seats that it surely gives to nobody any more."""

    feature: str
    pool: str
    seats: tuple[tuple[int, int], ...]


# ---- what the state holds ----------------------------------------------------------------------------


class Share(Row):
    """What one incarnation of a member holds of a pool; only it gives these seats, under its lease."""

    pool: str
    name: str
    incarnation: int
    seats: list[int]  # numbers, ascending
    debt: int = 0  # of these, to be returned
    due: int = 0  # fleet time from which users of what is owed get no further job

    @property
    def net(self) -> int:
        return len(self.seats) - self.debt


class FeatureRow(Row):
    terms: Terms
    counters: list[int]  # by number: how often a seat was granted or freed
    shares: list[Share]


class SeatsRow(Row):
    edition: int
    features: list[FeatureRow]
    gone: list[tuple[str, int]]


# ---- what goes out ----------------------------------------------------------------------------------


class Given(Row, frozen=True):
    """One giving of a seat.  (`counter`, `use`) only grows for a number: `counter` by the state, `use` by the
    holder.  `shared`: further jobs of the same node or user may come under it."""

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
    """What a member tells the leader with each renewal: by feature and pool what it would use."""

    incarnation: int
    wanting: tuple[Wanting, ...]
    stocks: bool = True  # it takes a part of what nobody wants, so as to give at once


class Pass(Row, frozen=True):
    """What a server is shown: the giving, at which boot of the server and until when by its own clock."""

    given: Given
    boot: str
    until: int
    stamp: Stamp
