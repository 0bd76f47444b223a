"""Schedules tasks slot by slot, least slack first: for plans in which tasks placed in turn do not all fit."""

from __future__ import annotations

from heapq import heappop, heappush

from .placing import Field, Spot, Task


def least_slack(field: Field, tasks: list[Task]) -> dict[str, Spot]:
    """Returns spots by task id for those of `tasks` that fit whole; the field is left as it was.

    Of two tasks that are ready, the one with less slack runs; of equals, the one that ran in the slot before.
    A task stays at the place where it began.
    """
    slots_left = {task.id: task.need for task in tasks}
    place_of = {}
    slots = {task.id: [] for task in tasks}
    arrivals = sorted(tasks, key=lambda task: (task.first, task.id), reverse=True)
    ready: list[tuple] = []
    for slot in range(field.count):
        while arrivals and arrivals[-1].first <= slot:
            task = arrivals.pop()
            heappush(ready, (task.last - task.need, 1, task.id, task))
        postponed = []
        while ready and any(room[slot] > 0 for room in field.room.values()):
            slack, _, id, task = heappop(ready)
            if slack < slot:
                continue  # its latest time can no longer be met
            places = [place_of[id]] if id in place_of else task.power
            place = next((p for p in places if p in field.room and field.fits(task, p, slot)), None)
            if place is None:
                postponed.append((slack, 1, id, task))
                continue
            field.reserve(task, Spot(place, (slot,)))
            place_of[id] = place
            slots[id].append(slot)
            slots_left[id] -= 1
            if slots_left[id]:
                postponed.append((slack + 1, 0, id, task))
        for entry in postponed:
            heappush(ready, entry)
    for task in tasks:
        if slots[task.id]:
            field.release(task, Spot(place_of[task.id], tuple(slots[task.id])))
    return {
        task.id: Spot(place_of[task.id], tuple(slots[task.id])) for task in tasks if not slots_left[task.id]
    }
