"""Slots and their free capacity: where a piece fits, what that costs, and where it costs least.  No I/O.

Costs are integers: thousandths of a cent per kWh, times watts, times slots.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

Place = tuple[str, str]  # site, kind of node


class Spot(NamedTuple):
    """A place and the slots in which a piece is planned; slots are counted from the first of the field."""

    place: Place
    slots: tuple[int, ...]


@dataclass(slots=True)
class Task:
    """A piece as the plan sees it.

    It needs `need` slots from `first` to before `last`.  `power` maps the places where it may run to its
    watts there; `pause` is the cost of each gap between its slots, `seats` the seats that it uses, by
    feature.
    """

    id: str
    first: int
    last: int
    need: int
    power: dict[Place, int]
    pause: int = 0
    seats: dict[str, int] = field(default_factory=dict)
    is_new: bool = True  # it has no spot in the committed plan, so a move revokes nothing
    fixed: bool = False  # it runs and must not be moved


def choose(
    costs: Sequence[int | None], need: int, pause: int, limit: float = math.inf
) -> tuple[int, tuple[int, ...]] | None:
    """Returns the least cost of `need` slots and these slots; each gap between them costs `pause`.

    Slots of cost None can't be chosen; of equal choices the earliest slots win.  Returns None if there are
    too few slots or the least cost is not below `limit`.  If the cheapest slots have gaps, it is found by
    dynamic programming over (slot, number chosen so far, whether the last slot is chosen).
    """
    usable = sorted((cost, slot) for slot, cost in enumerate(costs) if cost is not None)[:need]
    least = sum(cost for cost, _ in usable)
    if len(usable) < need or least >= limit:
        return None
    slots = tuple(sorted(slot for _, slot in usable))
    if not pause or not gaps(slots):
        return least, slots
    never = 1 << 62
    # Least cost of each number of slots chosen so far: `inside` if the last slot is among them, else
    # `outside`.
    inside, outside = [never] * (need + 1), [0] + [never] * need
    # By slot and number chosen, for the way back: a run continues, or ended with the slot before.
    continued, ended = [], []
    for slot, cost in enumerate(costs):
        continued_here, ended_here = bytearray(need + 1), bytearray(need + 1)
        new_inside, new_outside = [never] * (need + 1), outside[:]
        for number in range(max(0, need - len(costs) + slot), min(need, slot) + 1):
            if inside[number] < outside[number]:
                new_outside[number], ended_here[number] = inside[number], 1
        if cost is not None:
            for number in range(max(1, need - len(costs) + slot + 1), min(need, slot + 1) + 1):
                started = outside[number - 1] + (pause if number > 1 else 0)
                if inside[number - 1] <= started:
                    started, continued_here[number] = inside[number - 1], 1
                if started < never:
                    new_inside[number] = started + cost
        inside, outside = new_inside, new_outside
        continued.append(continued_here)
        ended.append(ended_here)
    total = min(inside[need], outside[need])
    if total >= limit:
        return None
    chosen = []
    number, is_in = need, inside[need] < outside[need]
    for slot in range(len(costs) - 1, -1, -1):
        if is_in:
            chosen.append(slot)
            is_in, number = bool(continued[slot][number]), number - 1
        else:
            is_in = bool(ended[slot][number])
    return total, tuple(reversed(chosen))


def gaps(slots: Sequence[int]) -> int:
    """Returns the number of gaps between the slots, which have to be in order."""
    return sum(b != a + 1 for a, b in zip(slots, slots[1:]))


class Field:
    """The capacity of each slot of each place that is still free.

    `prices` and `lanes` are lists by slot for each place; `peaks` has for each site the watts that batches
    may draw and the surcharge above them; `seats` has the seats of each feature that are free in each slot.
    """

    def __init__(
        self,
        count: int,
        prices: dict[Place, list[int]],
        lanes: dict[Place, list[int]],
        peaks: dict[str, tuple[int, int]] | None = None,
        seats: dict[str, int] | None = None,
    ) -> None:
        self.count = count
        self.prices = prices
        self.room = {place: list(lanes[place]) for place in sorted(lanes)}
        self.peaks = peaks or {}
        self.drawn = {site: [0] * count for site, _ in self.room}
        self.seats = {feature: [number] * count for feature, number in (seats or {}).items()}

    # ---- reserving -----------------------------------------------------------------------------------

    def reserve(self, task: Task, spot: Spot, sign: int = 1) -> None:
        """Takes the capacity for a task at a spot; `sign` -1 gives it back."""
        room, drawn = self.room[spot.place], self.drawn[spot.place[0]]
        watts = sign * task.power[spot.place]
        for slot in spot.slots:
            room[slot] -= sign
            drawn[slot] += watts
        for feature, number in task.seats.items():
            if (free := self.seats.get(feature)) is not None:
                for slot in spot.slots:
                    free[slot] -= sign * number

    def release(self, task: Task, spot: Spot) -> None:
        """Gives back the capacity that `reserve` took."""
        self.reserve(task, spot, -1)

    # ---- queries about a task that has no reservation ------------------------------------------------

    def slot_cost(self, task: Task, place: Place, slot: int) -> int:
        """Returns what the task would cost in one slot, with the peak surcharge that it would cause."""
        watts = task.power[place]
        cost = self.prices[place][slot] * watts
        if (peak := self.peaks.get(place[0])) is not None:
            cost += min(watts, max(0, self.drawn[place[0]][slot] + watts - peak[0])) * peak[1]
        return cost

    def cost(self, task: Task, spot: Spot) -> int:
        """Returns what the task would cost at this spot, with surcharge and pauses."""
        return sum(self.slot_cost(task, spot.place, slot) for slot in spot.slots) + task.pause * gaps(
            spot.slots
        )

    def fits(self, task: Task, place: Place, slot: int) -> bool:
        """Returns whether a lane and the seats of the task are free in one slot."""
        return self.room[place][slot] > 0 and all(
            self.seats[feature][slot] >= number
            for feature, number in task.seats.items()
            if feature in self.seats
        )

    def fits_whole(self, task: Task, spot: Spot) -> bool:
        """Returns whether the task fits in all slots of the spot."""
        return all(self.fits(task, spot.place, slot) for slot in spot.slots)

    def slot_costs(self, task: Task, place: Place, alone: bool) -> list[int | None]:
        """Returns the cost of each slot from `first` to before `last`, None where the task does not fit.

        `alone`: as if no other piece were planned; lanes, seats and the peak don't count then.
        """
        watts = task.power[place]
        first, last = task.first, task.last
        site = place[0]
        costs = [price * watts for price in self.prices[place][first:last]]
        if alone:
            return costs
        if site in self.peaks:
            peak, surcharge = self.peaks[site]
            for slot, drawn in enumerate(self.drawn[site][first:last]):
                if drawn + watts > peak:
                    costs[slot] += min(watts, drawn + watts - peak) * surcharge
        seats = [
            (self.seats[feature], number) for feature, number in task.seats.items() if feature in self.seats
        ]
        for slot, room in enumerate(self.room[place][first:last]):
            if room <= 0 or seats and any(free[slot + first] < number for free, number in seats):
                costs[slot] = None
        return costs

    def best(self, task: Task, alone: bool = False, limit: float = math.inf) -> tuple[int, Spot] | None:
        """Returns the cheapest spot and its cost if below `limit`; `alone`: as if the field were empty."""
        found = None
        for place in task.power:
            if place in self.room:
                chosen = choose(self.slot_costs(task, place, alone), task.need, task.pause, limit)
                if chosen is not None:
                    limit = chosen[0]
                    found = limit, Spot(place, tuple(slot + task.first for slot in chosen[1]))
        return found

    def earliest_finish(self, task: Task) -> Spot | None:
        """Returns the spot with the earliest last slot, taking free slots as they come; None if none fits."""
        found = None
        for place in task.power:
            if place not in self.room:
                continue
            slots = []
            for slot in range(task.first, task.last):
                if len(slots) == task.need:
                    break
                if self.fits(task, place, slot):
                    slots.append(slot)
            if len(slots) == task.need and (found is None or slots[-1] < found.slots[-1]):
                found = Spot(place, tuple(slots))
        return found
