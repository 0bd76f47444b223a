"""What a plan costs, what at once would have, what the best would; and what was truly run."""

from __future__ import annotations

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from indigohitch.fleet.batches.part import Batches  # noqa: E402
from indigohitch.fleet.batches.placing import Task  # noqa: E402
from indigohitch.fleet.batches.plan import Plan  # noqa: E402
from indigohitch.fleet.batches.rounds import Round  # noqa: E402
from optimum import optimum  # noqa: E402

CENTS = 1000 * 1000  # of thousandths of a cent times watts


class Case:
    """The batches of a state machine as they were before any was planned."""

    def __init__(self, part: Batches, time: int, only: str) -> None:
        self.round = Round(part, time, offered={("eros", "std"): 4})
        self.slot = self.round.slot
        ids = [id for id in part.pieces.open if id.startswith(only)]
        self.tasks: list[Task] = [self.round.task(id, part.pieces.all[id], None) for id in ids]
        for task in self.tasks:  # all of its time: a plan's own spare slot is no law
            task.last = part.pieces.all[task.id].cut.latest // self.slot - self.round.now
        self.count = max(task.last for task in self.tasks)
        cuts = {id: part.pieces.all[id].cut for id in ids}
        self.pace = {id: cut.work / cut.steps for id, cut in cuts.items()}

    def field(self):
        return self.round.field(self.count)

    def cents(self, units: float) -> float:
        return round(units * self.slot / (3600 * 10_000) / CENTS, 5)

    def at_once(self) -> float:
        plan = Plan(self.field())
        plan.at_once(self.tasks)
        return self.cents(plan.cost())

    def greedy(self) -> float:
        plan = Plan(self.field())
        plan.at_once(self.tasks)
        plan.settle()
        return self.cents(plan.cost())

    def best(self) -> float:
        found = optimum(self.tasks, self.field())
        if found is None:
            raise AssertionError("the small case has no optimum")
        return self.cents(found)

    def run(self, ran: list[tuple[float, str]]) -> tuple[float, int, int]:
        """By the steps that truly went out: cents, the watts over the peak in the worst slot (a mean over the
        slot, as meters have it), and how many pauses there were.  As in a plan, a slot in which a piece ran
        counts whole; where it was done in fewer than planned, the others count as these did."""
        field, tasks = self.field(), {task.id: task for task in self.tasks}
        place = next(iter(field.room))
        used: dict[str, dict[int, int]] = {}
        for at, id in ran:
            piece, _, _ = id.rpartition(".")
            if piece in tasks:
                slots = used.setdefault(piece, {})
                slot = int(at * 10_000) // self.slot - self.round.now
                slots[slot] = slots.get(slot, 0) + 1
        total, pauses, watts = 0.0, 0, {}
        for piece, slots in used.items():
            task = tasks[piece]
            for slot, steps in slots.items():
                watts[slot] = watts.get(slot, 0) + task.power[place] * steps * self.pace[piece] / self.slot
            # One step may slip over the edge.
            runs = [slot for slot in sorted(slots) if slots[slot] > 1] or sorted(slots)
            each = sum(field.prices[place][slot] for slot in runs) / len(runs)
            total += each * max(task.need, len(runs)) * task.power[place]
            gaps = sum(b > a + 1 for a, b in zip(runs, runs[1:]))
            pauses, total = pauses + gaps, total + gaps * task.pause
        peak, surcharge = field.peaks["eros"]
        over = [max(0, round(much) - peak) for much in watts.values()]
        return self.cents(total + sum(over) * surcharge), max(over, default=0), pauses
