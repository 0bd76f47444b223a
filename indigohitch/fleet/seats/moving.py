"""How the leader spreads the seats of one pool over the members.  Pure.

The design's own mechanism: whole seats, from the member with most idle to the one with most wanting, only for
a positive gain, beyond a dead band, with a budget a round.  What a member should have is its part under
max-min fairness: who wants less than an equal part gets what it wants, the others share the rest."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

# A member keeps one seat more than it wants, lest one seat goes to and fro with each job; not where another
# one that wants some has none at all.
BAND = 1
# Of a pool in a round (half a second): a pool is spread anew in about two seconds, and a burst at one member
# moves a quarter of it at the most before the others' reports are in.
BUDGET = 4
# Where there are fewer seats than members that want some, those go round by so many tenths of a ms.
TURN = 50_000


@dataclass(slots=True, frozen=True)
class Wish:
    """`net`: seats held and not owed; `used`: in use on average lately; `missed`: asks that found none."""

    name: str
    incarnation: int
    net: int
    used: int
    missed: int
    stocks: bool = True  # takes a part of what nobody wants

    @property
    def demand(self) -> int:
        """Who comes again and again is counted each time: it is taken to want half as much again at most, and
        shows in the next round whether it used that."""
        return self.used + min(self.missed, 2 + self.used // 2)


def parts(size: int, demands: Sequence[int], turn: int = 0) -> tuple[list[int], int]:
    """Whole seats of `size` for each demand, max-min fair; and how many nobody wants.  What can't be shared
    evenly goes to others with each turn."""
    left, level = size, 0
    rest = sorted(demands)
    for place, demand in enumerate(rest):  # who wants less than an equal part gets what it wants
        level = left // (len(rest) - place)
        if demand > level:
            break
        left, level = left - demand, demand
    found = [min(demand, level) for demand in demands]
    left = size - sum(found)
    order = sorted(range(len(demands)), key=lambda i: (i + turn) % len(demands))
    for i in [i for i in order if demands[i] > level][:left]:
        found[i] += 1
    return found, size - sum(found)


def spread(
    size: int, free: int, coming: int, wishes: Sequence[Wish], turn: int = 0
) -> tuple[list[tuple[Wish, int]], list[tuple[Wish, int]]]:
    """What to grant now and what to recall in this round, of a pool of `size` with so many free seats and
    so many that are owed and on their way back."""
    if not wishes:
        return [], []
    wishes = sorted(wishes, key=lambda w: w.name)
    due, spare = parts(size, [w.demand for w in wishes], turn)
    stock = spare // max(1, sum(w.stocks for w in wishes))
    have = [w.net for w in wishes]
    granted = [0] * len(wishes)
    for extra in (0, stock):  # first what is wanted, then an equal part of what is not
        for i in sorted(range(len(wishes)), key=lambda i: have[i] - due[i]):
            count = min(free, max(0, due[i] + extra * wishes[i].stocks - have[i]))
            granted[i] += count
            have[i] += count
            free -= count
    grants = [(w, n) for w, n in zip(wishes, granted) if n]
    return grants, recalls(size, coming, wishes, due, have)


def recalls(
    size: int, coming: int, wishes: Sequence[Wish], due: list[int], have: list[int]
) -> list[tuple[Wish, int]]:
    lacking = [d - h for d, h in zip(due, have) if d > h]
    most = min(sum(lacking) - coming, max(1, size // BUDGET))
    starved = any(h == 0 < d for d, h in zip(due, have))
    taken, rest = [0] * len(wishes), list(have)

    def idle(i: int) -> int:
        """Beyond the band."""
        return rest[i] - due[i] - (BAND if wishes[i].stocks and not starved else 0)

    for _ in range(max(0, most)):
        i = max(range(len(wishes)), key=idle)
        if idle(i) <= 0:
            break
        rest[i] -= 1
        taken[i] += 1
    return [(w, n) for w, n in zip(wishes, taken) if n]
