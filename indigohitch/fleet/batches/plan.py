"""The plan: places pieces at their earliest slots, then moves them to cheaper ones.  No I/O.

It uses no randomness.  A move is made only for a gain above the dead band, one piece or one small group of
pieces at a time; no piece is placed past its latest time.  Pieces that fit nowhere are listed in `unplanned`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .placing import Field, Spot, Task
from .spare_capacity import least_slack

# A planned piece moves only if that saves more than this share of its cost. So a correction of prices by one
# or two cents in fifty leaves the plan as it is, and no piece costs more than this above its best place.
DEAD_BAND = 0.04
# Blockers tried for a piece, and pieces planned again together. Plans of 25 pieces cost 1.064 of the optimum
# (mean); with 3 and 2 it is 1.098, with 8 and 10 it is 1.060 in 1.5 times the time.
MAX_PAIRS, MAX_GROUP = 8, 6
ENOUGH_BLOCKERS = 64  # no more are collected after this many; a small plan has fewer
NEW_PIECE_DEAD_BAND = 0.002  # the same for pieces that are not in the committed plan yet
# Passes over all pieces. The first ones move each piece alone, which is ten times as fast and brings most of
# the gain; the others also move blockers, until nothing moves or the last pass is done.
SINGLE_PASSES, MAX_PASSES = 2, 6
# At most this many new pieces are planned a second time from nothing, in a plan of at most this many pieces,
# as it is done in one step. It brings small cases from 1.07 to 1.02 times the optimum.
MAX_REPLANNED, MAX_PLAN_REPLANNED = 64, 512
RANKED_PER_STEP = 128  # ranking this many pieces takes 1 ms


class Plan:
    """The spots of tasks in a field; `moves` counts the moves to cheaper slots."""

    def __init__(self, field: Field, dead_band: float = DEAD_BAND) -> None:
        self.field, self.dead_band = field, dead_band
        self.tasks: dict[str, Task] = {}
        self.spots: dict[str, Spot] = {}
        self.occupants: dict[tuple, dict[str, None]] = {}  # by place and slot: ids of the pieces in it
        self.unplanned: dict[str, None] = {}
        self.ideal_spots: dict[str, tuple[int, Spot] | None] = {}  # by id, if alone
        self.tried_groups: dict[tuple[str, ...], list[Spot]] = {}
        self.moves = 0

    def assign(self, task: Task, spot: Spot) -> None:
        """Plans a task at a spot and takes the capacity for it."""
        self.field.reserve(task, spot)
        self.tasks[task.id], self.spots[task.id] = task, spot
        for slot in spot.slots:
            self.occupants.setdefault((spot.place, slot), {})[task.id] = None
        self.unplanned.pop(task.id, None)

    def unassign(self, task: Task) -> Spot:
        """Takes a task out of the plan and returns the spot that it had."""
        spot = self.spots.pop(task.id)
        self.field.release(task, spot)
        for slot in spot.slots:
            del self.occupants[spot.place, slot][task.id]
        return spot

    def cost(self) -> int:
        """Returns the cost of the plan: power and pauses of all pieces, and each peak surcharge once."""
        field, total = self.field, 0
        for id, spot in self.spots.items():
            task = self.tasks[id]
            total += sum(field.prices[spot.place][slot] * task.power[spot.place] for slot in spot.slots)
            total += task.pause * sum(b != a + 1 for a, b in zip(spot.slots, spot.slots[1:]))
        return total + sum(
            surcharge * sum(max(0, watts - peak) for watts in field.drawn[site])
            for site, (peak, surcharge) in sorted(field.peaks.items())
            if site in field.drawn
        )

    def peak_over(self) -> int:
        """Returns the watts above the contracted peak in the worst slot of any site."""
        return max(
            (
                max(0, watts - peak)
                for site, (peak, _) in self.field.peaks.items()
                for watts in self.field.drawn.get(site, ())
            ),
            default=0,
        )

    # ---- placing at the earliest slots ---------------------------------------------------------------

    def place_earliest(self, task: Task) -> bool:
        """Places a task where it ends first; returns False and lists it as unplanned if it fits nowhere."""
        self.tasks[task.id] = task
        spot = self.field.earliest_finish(task)
        if spot is None:
            self.unplanned[task.id] = None
            return False
        self.assign(task, spot)
        return True

    def at_once(self, tasks: Iterable[Task]) -> None:
        """Places tasks in turn, the earliest to have to start first; if one fails, all by `least_slack`."""
        ordered = sorted(tasks, key=lambda task: (task.last - task.need, task.first, task.id))
        if not all([self.place_earliest(task) for task in ordered]):
            self.place_by_slack(ordered)

    def place_by_slack(self, tasks: list[Task]) -> None:
        """Schedules the tasks slot by slot, least slack first; kept only if fewer of them are left out."""
        before = {task.id: self.unassign(task) for task in tasks if task.id in self.spots}
        found = least_slack(self.field, tasks)
        if len(found) <= len(before):
            found = before
        for task in tasks:
            if task.id in found:
                self.assign(task, found[task.id])
            else:
                self.tasks[task.id], self.unplanned[task.id] = task, None

    # ---- moving to cheaper slots ---------------------------------------------------------------------

    def required_gain(self, group: list[Task], cost: int) -> float:
        """Returns what a move must gain; it is small for new tasks, but not 0, so that the search ends."""
        return (NEW_PIECE_DEAD_BAND if all(task.is_new for task in group) else self.dead_band) * abs(cost)

    def improve(self, task: Task, with_blockers: bool) -> bool:
        """Moves a task to its cheapest spot, or else with its blockers, if the gain is high enough."""
        old = self.unassign(task)
        cost = self.field.cost(task, old)
        best = self.field.best(task, limit=cost - self.required_gain([task], cost))
        if best is not None:
            self.assign(task, best[1])
            self.moves += 1
            return True
        self.assign(task, old)
        return with_blockers and self.improve_with_blockers(task, cost)

    def improve_with_blockers(self, task: Task, cost: int) -> bool:
        """Tries to save costs by moving the task to its ideal spot and its blockers elsewhere."""
        if (ideal := self.ideal_spots.get(task.id)) is None:
            ideal = self.ideal_spots[task.id] = self.field.best(task, alone=True)
        if ideal is None or cost - ideal[0] <= self.required_gain([task], cost):
            return False
        blockers = sorted(
            self.blockers(task, ideal[1]), key=lambda id: (self.tasks[id].power[self.spots[id].place], id)
        )
        movable = [self.tasks[id] for id in blockers if not self.tasks[id].fixed]
        return any(self.replan_group([task, other]) for other in movable[:MAX_PAIRS]) or (
            len(movable) > 1 and self.replan_group([task, *reversed(movable[: MAX_GROUP - 1])])
        )

    def already_tried(self, group: list[Task]) -> bool:
        """Returns whether these spots were tried; changes elsewhere hardly make a gain of them."""
        ids, spots = tuple(task.id for task in group), [self.spots[task.id] for task in group]
        if self.tried_groups.get(ids) == spots:
            return True
        self.tried_groups[ids] = spots
        return False

    def blockers(self, task: Task, ideal: Spot) -> dict[str, None]:
        """Returns ids of tasks that use what this one lacks at a spot: lanes, seats, power below the peak."""
        field, site, found = self.field, ideal.place[0], {}
        peak = field.peaks.get(site, (1 << 60, 0))[0]
        for slot in ideal.slots:
            lanes_full = field.room[ideal.place][slot] <= 0
            seats_free = all(
                field.seats[name][slot] >= seats for name, seats in task.seats.items() if name in field.seats
            )
            whole_site = not seats_free or field.drawn[site][slot] + task.power[ideal.place] > peak
            for place in field.room if whole_site else [ideal.place] if lanes_full else ():
                if len(found) < ENOUGH_BLOCKERS and (place[0] == site or task.seats):
                    found.update(self.occupants.get((place, slot), {}))
        found.pop(task.id, None)
        return found

    def replan_group(self, group: list[Task]) -> bool:
        """Moves each task in turn to its cheapest spot; undone if the gain is not high enough."""
        if self.already_tried(group):
            return False
        field, old = self.field, {task.id: self.unassign(task) for task in group}
        before = 0
        for task in group:
            before += field.cost(task, old[task.id])
            field.reserve(task, old[task.id])
        for task in group:
            field.release(task, old[task.id])
        new, total, limit = {}, 0, before - self.required_gain(group, before)
        for task in group:
            best = field.best(task, limit=limit - total)
            if best is None:
                break
            total, new[task.id] = total + best[0], best[1]
            field.reserve(task, best[1])
        for task in group:
            if task.id in new:
                field.release(task, new[task.id])
        improved = len(new) == len(group)
        self.moves += improved
        for task in group:
            self.assign(task, (new if improved else old)[task.id])
        return improved

    def dearest_slot_cost(self, task: Task) -> int:
        """Returns the cost of the task's most expensive slot, including the peak surcharge."""
        field, ((site, kind), slots) = self.field, self.spots[task.id]
        peak, surcharge = field.peaks.get(site, (0, 0))
        return task.power[site, kind] * max(
            field.prices[site, kind][slot] + (surcharge if field.drawn[site][slot] > peak else 0)
            for slot in slots
        )

    def improvement_steps(self) -> Iterator[bool]:
        """Improves the plan until nothing moves; yields after each attempt, as the caller budgets time."""
        for number in range(MAX_PASSES):
            moved, with_blockers, ranked = False, number >= SINGLE_PASSES, []
            for count, (id, task) in enumerate(list(self.tasks.items()), 1):
                if id in self.spots and not task.fixed:
                    ranked.append((-self.dearest_slot_cost(task), id, task))
                if count % RANKED_PER_STEP == 0:
                    yield moved
            for _, _, task in sorted(ranked, key=lambda entry: entry[:2]):
                if task.id in self.spots:
                    moved |= self.improve(task, with_blockers)
                    yield moved
            for id in list(self.unplanned):
                moved |= self.place_earliest(self.tasks[id])
                yield moved
            if not moved and with_blockers:
                return

    def improve_and_replan(self) -> Iterator[bool]:
        """Does `looks`, then places few new tasks anew, highest power first; keeps the cheaper plan."""
        yield from self.improvement_steps()
        new = [task for id, task in self.tasks.items() if task.is_new and id in self.spots and not task.fixed]
        if not 1 < len(new) <= MAX_REPLANNED or len(self.spots) > MAX_PLAN_REPLANNED:
            return
        before, cost = dict(self.spots), self.cost()
        for task in new:
            self.unassign(task)
        for task in sorted(new, key=lambda t: (-max(t.power.values()), t.last - t.first, t.id)):
            if (best := self.field.best(task)) is not None:
                self.assign(task, best[1])
        try:
            if all(task.id in self.spots for task in new):
                yield from self.improvement_steps()
        finally:
            if self.cost() >= cost or len(self.spots) < len(before):
                for id in list(self.spots):
                    self.unassign(self.tasks[id])
                for id, spot in before.items():
                    self.assign(self.tasks[id], spot)

    def settle(self) -> None:
        """Improves the plan until no step is left."""
        for _ in self.improve_and_replan():
            pass
