"""The plan: pieces at once, then moved from dear slots to cheaper ones.  No I/O, no chance.

A move is made only for a gain above the dead band, one piece or one pair of pieces at a time; nothing is ever
placed past its latest time.  What can't be placed at all stands in `unplanned`."""
from __future__ import annotations

from collections.abc import Iterable, Iterator
from heapq import heappop, heappush

from .placing import Field, Spot, Task

# A piece that is planned moves only for this share of its cost: a list of prices corrected by a cent or two
# in fifty leaves the plan as it is, and no piece costs more than this above its best place.
DEAD = 0.04
PAIRS = 8                       # blockers tried for one piece; with 3 small cases end 1.4 per cent dearer
PASSES = 6                      # rounds over all pieces before a plan counts as settled; most take 3


class Plan:
    def __init__(self, field: Field, dead: float = DEAD) -> None:
        self.field, self.dead = field, dead
        self.tasks: dict[str, Task] = {}
        self.spots: dict[str, Spot] = {}
        self.there: dict[tuple, dict[str, None]] = {}   # by place and slot: who stands in it
        self.unplanned: dict[str, None] = {}
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
        return total + sum(surcharge * sum(max(0, watts - peak) for watts in field.drawn[site])
                           for site, (peak, surcharge) in sorted(field.peaks.items()) if site in field.drawn)

    def peak_over(self) -> int:
        """Watts over the contracted peak in the worst slot."""
        return max((max(0, watts - peak) for site, (peak, _) in self.field.peaks.items()
                    for watts in self.field.drawn.get(site, ())), default=0)

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

    def band(self, task: Task, cost: int) -> float:
        return 0 if task.fresh else self.dead * abs(cost)

    def look(self, task: Task) -> bool:
        """Move it where it costs least, if the gain is above the dead band."""
        old = self.take(task)
        cost, best = self.field.cost(task, old), self.field.best(task)
        if best is not None and cost - best[0] > self.band(task, cost):
            self.put(task, best[1])
            self.moves += 1
            return True
        self.put(task, old)
        return self.exchange(task, cost)

    def exchange(self, task: Task, cost: int) -> bool:
        """Its best place is taken: do both gain if who stands there goes elsewhere?"""
        old = self.take(task)
        wish = self.field.best(task, alone=True)
        self.put(task, old)
        if wish is None or cost - wish[0] <= self.band(task, cost):
            return False
        tried = self.in_the_way(task, wish[1])
        for id in sorted(tried, key=lambda id: (self.tasks[id].power[self.spots[id].place], id))[:PAIRS]:
            if self.swap(task, self.tasks[id]):
                return True
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
                if place[0] == site or task.seats:
                    tried.update(self.there.get((place, at), {}))
        tried.pop(task.id, None)
        return tried

    def swap(self, task: Task, other: Task) -> bool:
        field = self.field
        if other.fixed:
            return False
        theirs = self.take(other)
        mine = self.take(task)
        field.put(task, mine)
        before = field.cost(other, theirs)
        field.take(task, mine)
        before += field.cost(task, mine)
        best = field.best(task)
        if best is not None:
            field.put(task, best[1])
            then = field.best(other)
            field.take(task, best[1])
            band = 0 if task.fresh and other.fresh else self.dead * abs(before)
            if then is not None and before - best[0] - then[0] > band:
                self.put(task, best[1])
                self.put(other, then[1])
                self.moves += 1
                return True
        self.put(task, mine)
        self.put(other, theirs)
        return False

    def dearest(self) -> list[Task]:
        """All that may move, the dearest slot first."""
        def worst(task: Task) -> int:
            spot = self.spots[task.id]
            return max(self.field.prices[spot.place][at] for at in spot.slots) * task.power[spot.place]
        free = [task for id, task in self.tasks.items() if id in self.spots and not task.fixed]
        return sorted(free, key=lambda task: (-worst(task), task.id))

    def looks(self) -> Iterator[bool]:
        """One look a step, until nothing moves any more: who drives this has the budget."""
        for _ in range(PASSES):
            moved = False
            for task in self.dearest():
                if task.id in self.spots:
                    moved |= self.look(task)
                    yield moved
            for id in list(self.unplanned):
                moved |= self.add(self.tasks[id])
                yield moved
            if not moved:
                return

    def settle(self) -> None:
        for _ in self.looks():
            pass


def least_slack(field: Field, tasks: list[Task]) -> dict[str, Spot]:
    """Of two that are ready the one with less time to spare runs, and of equals the one that ran just now.
    A piece stays at the place where it began.  Those that come out whole."""
    left = {task.id: task.need for task in tasks}
    at_place, slots = {}, {task.id: [] for task in tasks}
    coming = sorted(tasks, key=lambda task: (task.first, task.id), reverse=True)
    ready: list[tuple] = []
    for now in range(field.count):
        while coming and coming[-1].first <= now:
            task = coming.pop()
            heappush(ready, (task.last - task.need, 1, task.id, task))
        again = []
        while ready and any(room[now] > 0 for room in field.room.values()):
            slack, _, id, task = heappop(ready)
            if slack < now:
                continue                # can't be in time any more
            places = [at_place[id]] if id in at_place else task.power
            place = next((p for p in places if p in field.room and field.fits(task, p, now)), None)
            if place is None:
                again.append((slack, 1, id, task))
                continue
            field.put(task, Spot(place, (now,)))
            at_place[id] = place
            slots[id].append(now)
            left[id] -= 1
            if left[id]:
                again.append((slack + 1, 0, id, task))
        for one in again:
            heappush(ready, one)
    for task in tasks:
        if slots[task.id]:
            field.take(task, Spot(at_place[task.id], tuple(slots[task.id])))
    return {task.id: Spot(at_place[task.id], tuple(slots[task.id])) for task in tasks if not left[task.id]}
