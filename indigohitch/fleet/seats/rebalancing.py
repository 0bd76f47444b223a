"""Computes how the leader rebalances the seats of one pool over the members.  No I/O.

Whole seats move from the member with most idle seats to the one that lacks most, only where this reduces what
members lack.  Members keep a dead band of idle seats, and each round recalls a limited number.  The target is
max-min fairness: a member that needs less than an equal share gets what it needs, the others share the rest.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heapify, heappop, heapreplace

# A member keeps one seat more than it needs, or else one seat would move back and forth with each job.  It
# does not keep it while another member that needs seats has none at all.
DEAD_BAND_SEATS = 1
# A round (half a second) recalls at most this fraction of a pool: 1 / 4.  So a whole pool is redistributed in
# about two seconds, and a burst of requests at one member moves at most a quarter of the pool before the
# reports of the other members arrive.
RECALL_BUDGET_DIVISOR = 4
# Where there are fewer seats than members that need some, the seats rotate over the members after 5 s, in
# tenths of a millisecond.
ROTATION_TICKS = 50_000


@dataclass(slots=True, frozen=True)
class MemberDemand:
    """A member's seats of a pool, and its demand for them.

    `net`: seats held and not owed; `used`: seats in use on average in the last window; `missed`: requests
    refused because no seat was free.
    """

    name: str
    incarnation: int
    net: int
    used: int
    missed: int
    holds_spares: bool = True  # it holds a part of the seats that nobody needs

    @property
    def needed(self) -> int:
        """Returns the number of seats that the member needs.

        Each retry of a client counts as a refused request, so the refused requests count at most as half of
        the use, plus 2.  The member's next report shows whether it used the additional seats.
        """
        return self.used + min(self.missed, 2 + self.used // 2)


@dataclass(slots=True, frozen=True)
class FairShares:
    """The fair number of seats of each member, and the number of seats that nobody needs."""

    counts: list[int]  # in the order of the needs passed in
    unneeded: int


@dataclass(slots=True, frozen=True)
class Move:
    """A number of seats to grant to a member, or to recall from it."""

    member: MemberDemand
    count: int


@dataclass(slots=True, frozen=True)
class Moves:
    """The grants and recalls of one round."""

    grants: list[Move]
    recalls: list[Move]


def fair_shares(size: int, needs: Sequence[int], rotation: int = 0) -> FairShares:
    """Divides whole seats by max-min fairness; the remainder rotates with `rotation`."""
    remaining = size
    level = 0
    ascending = sorted(needs)
    for place, count in enumerate(ascending):  # who needs less than an equal share gets what it needs
        level = remaining // (len(ascending) - place)
        if count > level:
            break
        remaining = remaining - count
        level = count
    counts = [min(count, level) for count in needs]
    remaining = size - sum(counts)
    order = sorted(range(len(needs)), key=lambda index: (index + rotation) % len(needs))
    for index in [index for index in order if needs[index] > level][:remaining]:
        counts[index] += 1
    return FairShares(counts, size - sum(counts))


def rebalance(
    size: int, free: int, returning: int, members: Sequence[MemberDemand], rotation: int = 0
) -> Moves:
    """Returns the grants and recalls of this round for a pool of `size` seats.

    `free`: seats that nobody holds; `returning`: seats that members owe and have not returned yet.
    """
    if not members:
        return Moves([], [])
    members = sorted(members, key=lambda member: member.name)
    fair = fair_shares(size, [member.needed for member in members], rotation)
    spares = fair.unneeded // max(1, sum(member.holds_spares for member in members))
    net = [member.net for member in members]
    granted = [0] * len(members)
    for extra in (0, spares):  # first the seats that are needed, then an equal part of those that are not
        for index in sorted(range(len(members)), key=lambda index: net[index] - fair.counts[index]):
            count = min(free, max(0, fair.counts[index] + extra * members[index].holds_spares - net[index]))
            granted[index] += count
            net[index] += count
            free -= count
    return Moves(moves(members, granted), recalls(size, returning, members, fair.counts, net))


def moves(members: Sequence[MemberDemand], counts: Sequence[int]) -> list[Move]:
    """Returns the moves with a count above 0."""
    return [Move(member, count) for member, count in zip(members, counts, strict=True) if count]


def recalls(
    size: int, returning: int, members: Sequence[MemberDemand], fair: list[int], net: list[int]
) -> list[Move]:
    """Returns the recalls of a round: from the members with most seats beyond their dead band.

    `fair`: the fair number of seats of each member; `net`: the seats that it holds and does not owe.
    """
    deficits = [target - held for target, held in zip(fair, net, strict=True) if target > held]
    max_moves = min(sum(deficits) - returning, max(1, size // RECALL_BUDGET_DIVISOR))
    starved = any(held == 0 < target for target, held in zip(fair, net, strict=True))
    recalled = [0] * len(members)
    bands = [DEAD_BAND_SEATS if member.holds_spares and not starved else 0 for member in members]
    # The member with most seats beyond its dead band comes first, among equals the first by name.
    idle = [
        (target - held + band, index)
        for index, (target, held, band) in enumerate(zip(fair, net, bands))
        if held - target > band
    ]
    heapify(idle)
    for _ in range(max(0, max_moves)):
        if not idle:
            break
        negative_excess, index = idle[0]  # the heap has the smallest first
        recalled[index] += 1
        if negative_excess + 1 < 0:
            heapreplace(idle, (negative_excess + 1, index))
        else:
            heappop(idle)
    return moves(members, recalled)
