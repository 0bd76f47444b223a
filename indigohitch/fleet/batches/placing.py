"""Slots and what is left in them: where a piece fits, what that costs, where it fits best.  No I/O.

Costs are whole numbers: thousandths of a cent for a kWh, times watts, times slots."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

Place = tuple[str, str]  # site, kind of node


class Spot(NamedTuple):
    """Where and in which slots a piece stands; slots are counted from the field's first."""

    place: Place
    slots: tuple[int, ...]


@dataclass(slots=True)
class Task:
    """A piece as the plan sees it.  It needs `need` slots from `first` to before `last`; `power` names the
    places where it may run, with its watts there."""

    id: str
    first: int
    last: int
    need: int
    power: dict[Place, int]
    pause: int = 0
    seats: dict[str, int] = field(default_factory=dict)
    fresh: bool = True  # no plan has stood for it yet: nothing is turned over
    fixed: bool = False  # it runs: it stays where it is


def choose(
    costs: Sequence[int | None], need: int, pause: int, most: float = math.inf
) -> tuple[int, tuple[int, ...]] | None:
    """The cheapest `need` of these, None being of no use, where each gap costs `pause`; the earliest of
    equals.  None if there are too few, or all cost `most` and more.  Where the cheapest slots lie apart: a
    dynamic programme over (slot, chosen so far, is the last one in)."""
    usable = sorted((cost, at) for at, cost in enumerate(costs) if cost is not None)[:need]
    least = sum(cost for cost, _ in usable)
    if len(usable) < need or least >= most:
        return None
    slots = tuple(sorted(at for _, at in usable))
    if not pause or not gaps(slots):
        return least, slots
    never = 1 << 62
    inside, outside = [never] * (need + 1), [0] + [never] * need
    went_on, left = [], []
    for at, cost in enumerate(costs):
        on, off = bytearray(need + 1), bytearray(need + 1)
        new_inside, new_outside = [never] * (need + 1), outside[:]
        for k in range(max(0, need - len(costs) + at), min(need, at) + 1):
            if inside[k] < outside[k]:
                new_outside[k], off[k] = inside[k], 1
        if cost is not None:
            for k in range(max(1, need - len(costs) + at + 1), min(need, at + 1) + 1):
                anew = outside[k - 1] + (pause if k > 1 else 0)
                if inside[k - 1] <= anew:
                    anew, on[k] = inside[k - 1], 1
                if anew < never:
                    new_inside[k] = anew + cost
        inside, outside = new_inside, new_outside
        went_on.append(on)
        left.append(off)
    total = min(inside[need], outside[need])
    if total >= most:
        return None
    chosen, k, is_in = [], need, inside[need] < outside[need]
    for at in range(len(costs) - 1, -1, -1):
        if is_in:
            chosen.append(at)
            is_in, k = bool(went_on[at][k]), k - 1
        else:
            is_in = bool(left[at][k])
    return total, tuple(reversed(chosen))


def gaps(slots: Sequence[int]) -> int:
    return sum(b != a + 1 for a, b in zip(slots, slots[1:]))


class Field:
    """What each slot of each place has left.  `prices` and `lanes` by place, `peaks` by site (watts left for
    batches, surcharge), `seats` by feature: each a list by slot, or one value for all."""

    def __init__(
        self,
        count: int,
        prices: dict[Place, list[int]],
        lanes: dict[Place, list[int]],
        peaks: dict[str, tuple[int, int]] | None = None,
        seats: dict[str, int] | None = None,
    ) -> None:
        self.count, self.prices = count, prices
        self.room = {place: list(lanes[place]) for place in sorted(lanes)}
        self.peaks = peaks or {}
        self.drawn = {site: [0] * count for site, _ in self.room}
        self.seats = {feature: [much] * count for feature, much in (seats or {}).items()}

    # ---- in and out --------------------------------------------------------------------------------

    def put(self, task: Task, spot: Spot, sign: int = 1) -> None:
        room, drawn = self.room[spot.place], self.drawn[spot.place[0]]
        watts = sign * task.power[spot.place]
        for at in spot.slots:
            room[at] -= sign
            drawn[at] += watts
        for feature, much in task.seats.items():
            if (free := self.seats.get(feature)) is not None:
                for at in spot.slots:
                    free[at] -= sign * much

    def take(self, task: Task, spot: Spot) -> None:
        self.put(task, spot, -1)

    # ---- asked while the task is out ----------------------------------------------------------------

    def cost_at(self, task: Task, place: Place, at: int) -> int:
        watts = task.power[place]
        cost = self.prices[place][at] * watts
        if (peak := self.peaks.get(place[0])) is not None:
            cost += min(watts, max(0, self.drawn[place[0]][at] + watts - peak[0])) * peak[1]
        return cost

    def cost(self, task: Task, spot: Spot) -> int:
        return sum(self.cost_at(task, spot.place, at) for at in spot.slots) + task.pause * gaps(spot.slots)

    def fits(self, task: Task, place: Place, at: int) -> bool:
        return self.room[place][at] > 0 and all(
            self.seats[feature][at] >= much for feature, much in task.seats.items() if feature in self.seats
        )

    def holds(self, task: Task, spot: Spot) -> bool:
        """Is there room for all of it?"""
        return all(self.fits(task, spot.place, at) for at in spot.slots)

    def costs(self, task: Task, place: Place, alone: bool) -> list[int | None]:
        """Of each slot between its times, None where it does not fit."""
        watts, first, last, site = task.power[place], task.first, task.last, place[0]
        found = [price * watts for price in self.prices[place][first:last]]
        if alone:
            return found
        if site in self.peaks:
            peak, surcharge = self.peaks[site]
            for at, drawn in enumerate(self.drawn[site][first:last]):
                if drawn + watts > peak:
                    found[at] += min(watts, drawn + watts - peak) * surcharge
        seats = [(self.seats[feature], much) for feature, much in task.seats.items() if feature in self.seats]
        for at, room in enumerate(self.room[place][first:last]):
            if room <= 0 or seats and any(free[at + first] < much for free, much in seats):
                found[at] = None
        return found

    def best(self, task: Task, alone: bool = False, most: float = math.inf) -> tuple[int, Spot] | None:
        """The cheapest spot, if it costs less than `most`; `alone`: as if no other piece were there."""
        found = None
        for place in task.power:
            if place in self.room:
                chosen = choose(self.costs(task, place, alone), task.need, task.pause, most)
                if chosen is not None:
                    most = chosen[0]
                    found = most, Spot(place, tuple(at + task.first for at in chosen[1]))
        return found

    def soonest(self, task: Task) -> Spot | None:
        """Where it is over first: at once, or as lanes come free."""
        found = None
        for place in task.power:
            if place not in self.room:
                continue
            slots = []
            for at in range(task.first, task.last):
                if len(slots) == task.need:
                    break
                if self.fits(task, place, at):
                    slots.append(at)
            if len(slots) == task.need and (found is None or slots[-1] < found.slots[-1]):
                found = Spot(place, tuple(slots))
        return found
