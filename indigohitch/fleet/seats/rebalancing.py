"""How the leader rebalances the seats of one pool over the members.  Pure.

Whole seats move from the member with most idle to the one with the largest deficit, only for a positive gain,
beyond a dead band, with a budget for each round.  The target is max-min fairness: a member that needs less
than an equal part gets what it needs, the others share the rest.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace

# A member keeps one seat more than it wants, lest one seat goes to and fro with each job; not where another
# one that wants some has none at all.
BAND = 1
# Of a pool in a round (half a second): a pool is spread anew in about two seconds, and a burst at one member
# moves a quarter of it at the most before the others' reports are in.
BUDGET = 4
# Where there are fewer seats than members that want some, those go round by so many tenths of a ms.
TURN = 50_000


@dataclass(slots=True, frozen=True)
class MemberDemand:
    """`net`: seats held and not owed; `used`: in use on average lately; `missed`: asks that found none."""

    name: str
    incarnation: int
    net: int
    used: int
    missed: int
    stocks: bool = True  # takes a part of what nobody wants

    @property
    def wanted(self) -> int:
        """The seats that the member needs.

        A retrying client is counted each time: a member is taken to need half as much again at most, and its
        next report shows whether it used that.
        """
        return self.used + min(self.missed, 2 + self.used // 2)


@dataclass(slots=True, frozen=True)
class FairParts:
    """Seats by member, and those that nobody needs."""

    parts: list[int]  # in the order of what was wanted
    unwanted: int


@dataclass(slots=True, frozen=True)
class Move:
    """Seats to grant to, or to recall from, a member."""

    member: MemberDemand
    count: int


@dataclass(slots=True, frozen=True)
class Moves:
    """Of one round."""

    grants: list[Move]
    recalls: list[Move]


def fair_parts(size: int, wanted: Sequence[int], turn: int = 0) -> FairParts:
    """Divides whole seats by max-min fairness; the remainder rotates with `turn`."""
    remaining = size
    level = 0
    rest = sorted(wanted)
    for place, count in enumerate(rest):  # who wants less than an equal part gets what it wants
        level = remaining // (len(rest) - place)
        if count > level:
            break
        remaining = remaining - count
        level = count
    found = [min(count, level) for count in wanted]
    remaining = size - sum(found)
    order = sorted(range(len(wanted)), key=lambda index: (index + turn) % len(wanted))
    for index in [index for index in order if wanted[index] > level][:remaining]:
        found[index] += 1
    return FairParts(found, size - sum(found))


def rebalance(size: int, free: int, coming: int, members: Sequence[MemberDemand], turn: int = 0) -> Moves:
    """Returns what to grant and what to recall in this round, of a pool of `size`.

    `free`: seats that nobody holds; `coming`: seats that are owed and on their way back.
    """
    if not members:
        return Moves([], [])
    members = sorted(members, key=lambda member: member.name)
    fair = fair_parts(size, [member.wanted for member in members], turn)
    stock = fair.unwanted // max(1, sum(member.stocks for member in members))
    have = [member.net for member in members]
    granted = [0] * len(members)
    for extra in (0, stock):  # first what is wanted, then an equal part of what is not
        for index in sorted(range(len(members)), key=lambda index: have[index] - fair.parts[index]):
            count = min(free, max(0, fair.parts[index] + extra * members[index].stocks - have[index]))
            granted[index] += count
            have[index] += count
            free -= count
    return Moves(moves(members, granted), recalls(size, coming, members, fair.parts, have))


def moves(members: Sequence[MemberDemand], counts: Sequence[int]) -> list[Move]:
    """Returns the moves with a count above 0."""
    return [Move(member, count) for member, count in zip(members, counts, strict=True) if count]


def recalls(
    size: int, coming: int, members: Sequence[MemberDemand], due: list[int], have: list[int]
) -> list[Move]:
    """Returns the recalls of a round: from members with most beyond their dead band."""
    lacking = [d - h for d, h in zip(due, have, strict=True) if d > h]
    max_moves = min(sum(lacking) - coming, max(1, size // BUDGET))
    starved = any(h == 0 < d for d, h in zip(due, have, strict=True))
    taken = [0] * len(members)
    bands = [BAND if member.stocks and not starved else 0 for member in members]
    # Who has most beyond its band comes first, of equals the first by name.
    idle = [(d - h + band, index) for index, (d, h, band) in enumerate(zip(due, have, bands)) if h - d > band]
    heapify(idle)
    for _ in range(max(0, max_moves)):
        if not idle:
            break
        short, index = idle[0]
        taken[index] += 1
        if short + 1 < 0:
            heapreplace(idle, (short + 1, index))
        else:
            heappop(idle)
    return moves(members, taken)
