"""Slot by slot: who has least time to spare runs.  For plans in which one after the other does not fit."""

from __future__ import annotations

from heapq import heappop, heappush

from .placing import Field, Spot, Task


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
                continue  # can't be in time any more
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
