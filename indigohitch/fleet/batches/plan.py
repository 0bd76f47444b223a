"""The plan: pieces at once, then moved from dear slots to cheaper ones.  No I/O, no chance.

A move is made only for a gain above the dead band, one piece or one pair of pieces at a time; nothing is ever
placed past its latest time.  What can't be placed at all stands in `unplanned`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .placing import Field, Spot, Task
from .spare_capacity import least_slack

# A piece that is planned moves only for this share of its cost: a list of prices corrected by a cent or two
# in fifty leaves the plan as it is, and no piece costs more than this above its best place.
DEAD = 0.04
# Blockers tried for one piece, and how many pieces are placed anew together: 25 pieces end 1.064 of the best
# (mean), with 3 and 2 it is 1.098, with 8 and 10 1.060 at half as much time again.
PAIRS, GROUP = 8, 6
WAY = 64  # of many in the way the first ones: all in a small plan
LITTLE = 0.002  # of its cost, for a piece that no plan stands for yet
# Rounds over all pieces: the first ones move each alone, which is ten times as fast and most of the gain;
# then together with who is in the way, until nothing moves or the plan counts as settled.
ALONE, PASSES = 2, 6
# New ones that are placed both ways: small cases end at 1.02 instead of 1.07.  Only in a plan of so many at
# most, as that is one step.
ANEW, ALL = 64, 512
RANKED = 128  # ranked in a step: a ms


class Plan:
    def __init__(self, field: Field, dead: float = DEAD) -> None:
        self.field, self.dead = field, dead
        self.tasks: dict[str, Task] = {}
        self.spots: dict[str, Spot] = {}
        self.there: dict[tuple, dict[str, None]] = {}  # by place and slot: who stands in it
        self.unplanned: dict[str, None] = {}
        self.wishes: dict[str, tuple[int, Spot] | None] = {}  # where each would stand if it were alone
        self.tried: dict[tuple[str, ...], list[Spot]] = {}
        self.moves = 0

    # ---- what stands -------------------------------------------------------------------------------

    def put(self, task: Task, spot: Spot) -> None:
        self.field.put(task, spot)
        self.tasks[task.id], self.spots[task.id] = task, spot
        for at in spot.slots:
            self.there.setdefault((spot.place, at), {})[task.id] = None
        self.unplanned.pop(task.id, None)

    def take(self, task: Task) -> Spot:
        spot = self.spots.pop(task.id)
        self.field.take(task, spot)
        for at in spot.slots:
            del self.there[spot.place, at][task.id]
        return spot

    def cost(self) -> int:
        """Of all that stands: each piece's, and what the peak adds, once."""
        field, total = self.field, 0
        for id, spot in self.spots.items():
            task = self.tasks[id]
            total += sum(field.prices[spot.place][at] * task.power[spot.place] for at in spot.slots)
            total += task.pause * sum(b != a + 1 for a, b in zip(spot.slots, spot.slots[1:]))
        return total + sum(
            surcharge * sum(max(0, watts - peak) for watts in field.drawn[site])
            for site, (peak, surcharge) in sorted(field.peaks.items())
            if site in field.drawn
        )

    def peak_over(self) -> int:
        """Watts over the contracted peak in the worst slot."""
        return max(
            (
                max(0, watts - peak)
                for site, (peak, _) in self.field.peaks.items()
                for watts in self.field.drawn.get(site, ())
            ),
            default=0,
        )

    # ---- at once -----------------------------------------------------------------------------------

    def add(self, task: Task) -> bool:
        """At once, as the lanes come free; False: it does not fit as things stand."""
        self.tasks[task.id] = task
        spot = self.field.soonest(task)
        if spot is None:
            self.unplanned[task.id] = None
            return False
        self.put(task, spot)
        return True

    def at_once(self, tasks: Iterable[Task]) -> None:
        """All of them, those that must end first before the others; if that leaves one out, slot by slot."""
        ordered = sorted(tasks, key=lambda task: (task.last - task.need, task.first, task.id))
        if not all([self.add(task) for task in ordered]):
            self.squeeze(ordered)

    def squeeze(self, tasks: list[Task]) -> None:
        """Slot by slot, who has least time to spare runs.  Kept if it leaves fewer out."""
        before = {task.id: self.take(task) for task in tasks if task.id in self.spots}
        found = least_slack(self.field, tasks)
        if len(found) <= len(before):
            found = before
        for task in tasks:
            if task.id in found:
                self.put(task, found[task.id])
            else:
                self.tasks[task.id], self.unplanned[task.id] = task, None

    # ---- cheaper -----------------------------------------------------------------------------------

    def band(self, group: list[Task], cost: int) -> float:
        """What a move must gain: a little where nothing stood before, so that an end is found."""
        return (LITTLE if all(task.fresh for task in group) else self.dead) * abs(cost)

    def look(self, task: Task, deep: bool) -> bool:
        """Move it where it costs least, if the gain is above the dead band; `deep`: with who is in its
        way."""
        old = self.take(task)
        cost = self.field.cost(task, old)
        best = self.field.best(task, most=cost - self.band([task], cost))
        if best is not None:
            self.put(task, best[1])
            self.moves += 1
            return True
        self.put(task, old)
        return deep and self.exchange(task, cost)

    def exchange(self, task: Task, cost: int) -> bool:
        """Its best place is taken: do both gain if who stands there goes elsewhere?"""
        if (wish := self.wishes.get(task.id)) is None:
            wish = self.wishes[task.id] = self.field.best(task, alone=True)
        if wish is None or cost - wish[0] <= self.band([task], cost):
            return False
        there = sorted(
            self.in_the_way(task, wish[1]), key=lambda id: (self.tasks[id].power[self.spots[id].place], id)
        )
        others = [self.tasks[id] for id in there if not self.tasks[id].fixed]
        return any(self.regroup([task, other]) for other in others[:PAIRS]) or (
            1 < len(others) and self.regroup([task, *reversed(others[: GROUP - 1])])
        )

    def seen(self, group: list[Task]) -> bool:
        """These were tried as they stand: what changed around them hardly makes a gain of it."""
        ids, spots = tuple(task.id for task in group), [self.spots[task.id] for task in group]
        if self.tried.get(ids) == spots:
            return True
        self.tried[ids] = spots
        return False

    def in_the_way(self, task: Task, wish: Spot) -> dict[str, None]:
        """Who holds there what it lacks: lanes, seats, or power under the peak."""
        field, site, tried = self.field, wish.place[0], {}
        peak = field.peaks.get(site, (1 << 60, 0))[0]
        for at in wish.slots:
            full = field.room[wish.place][at] <= 0
            seated = all(field.seats[f][at] >= much for f, much in task.seats.items() if f in field.seats)
            wide = not seated or field.drawn[site][at] + task.power[wish.place] > peak
            for place in field.room if wide else [wish.place] if full else ():
                if len(tried) < WAY and (place[0] == site or task.seats):
                    tried.update(self.there.get((place, at), {}))
        tried.pop(task.id, None)
        return tried

    def regroup(self, group: list[Task]) -> bool:
        """All of them out, and in again one after the other, each where it costs least then."""
        if self.seen(group):
            return False
        field, old = self.field, {task.id: self.take(task) for task in group}
        before = 0
        for task in group:
            before += field.cost(task, old[task.id])
            field.put(task, old[task.id])
        for task in group:
            field.take(task, old[task.id])
        new, total, limit = {}, 0, before - self.band(group, before)
        for task in group:
            best = field.best(task, most=limit - total)
            if best is None:
                break
            total, new[task.id] = total + best[0], best[1]
            field.put(task, best[1])
        for task in group:
            if task.id in new:
                field.take(task, new[task.id])
        gains = len(new) == len(group)
        self.moves += gains
        for task in group:
            self.put(task, (new if gains else old)[task.id])
        return gains

    def dear(self, task: Task) -> int:
        """What its dearest slot costs, the peak's surcharge with it."""
        field, ((site, kind), slots) = self.field, self.spots[task.id]
        peak, surcharge = field.peaks.get(site, (0, 0))
        return task.power[site, kind] * max(
            field.prices[site, kind][at] + (surcharge if field.drawn[site][at] > peak else 0) for at in slots
        )

    def looks(self) -> Iterator[bool]:
        """One look a step, until nothing moves any more: who drives this has the budget."""
        for number in range(PASSES):
            moved, deep, ranked = False, number >= ALONE, []
            for count, (id, task) in enumerate(list(self.tasks.items()), 1):
                if id in self.spots and not task.fixed:
                    ranked.append((-self.dear(task), id, task))
                if count % RANKED == 0:
                    yield moved
            for _, _, task in sorted(ranked, key=lambda one: one[:2]):
                if task.id in self.spots:
                    moved |= self.look(task, deep)
                    yield moved
            for id in list(self.unplanned):
                moved |= self.add(self.tasks[id])
                yield moved
            if not moved and deep:
                return

    def both_ways(self) -> Iterator[bool]:
        """As `looks`; then, where few are new, these once more from nothing: who draws most chooses first.
        The cheaper of the two stands."""
        yield from self.looks()
        new = [task for id, task in self.tasks.items() if task.fresh and id in self.spots and not task.fixed]
        if not 1 < len(new) <= ANEW or len(self.spots) > ALL:
            return
        before, cost = dict(self.spots), self.cost()
        for task in new:
            self.take(task)
        for task in sorted(new, key=lambda t: (-max(t.power.values()), t.last - t.first, t.id)):
            if (best := self.field.best(task)) is not None:
                self.put(task, best[1])
        try:
            if all(task.id in self.spots for task in new):
                yield from self.looks()
        finally:
            if self.cost() >= cost or len(self.spots) < len(before):
                for id in list(self.spots):
                    self.take(self.tasks[id])
                for id, spot in before.items():
                    self.put(self.tasks[id], spot)

    def settle(self) -> None:
        for _ in self.both_ways():
            pass
