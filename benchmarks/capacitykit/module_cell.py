"""The decision module: start, turns, planning, a change of one backend, memory.

A made-up fleet under a steady, seeded demand.  Orders are taken as if they were sent, and every proxy answers
a mark one transit later.  `coordinators` share the backends; the module measured is the first of them."""

from __future__ import annotations

import random
import statistics

from indigohitch import interface as face
from indigohitch import logic
from world import BOOT, entry

from .measuring import Memory, processor_ms

SECOND = logic.SECOND
WARM_UP_BEATS = 12  # no planning before three report periods have passed
BEATS = 12  # measured: six seconds, three rounds of planning
CHANGES = 8  # changes of one backend, each in a turn of its own
REPORT_BEATS = 4  # beats in a report period of two seconds


class Timed:
    """A function whose processor time is kept, call by call."""

    def __init__(self, function) -> None:
        self.function, self.spent = function, []

    def __call__(self, *arguments):
        spent, result = processor_ms(lambda: self.function(*arguments))
        self.spent.append(spent)
        return result


class Stage:
    """One coordinator's module, its clock, and the tables that the proxies hold by its orders."""

    def __init__(self, backends: int, slices: int, proxies: int, coordinators: int) -> None:
        chance = random.Random(7)
        self.chance, self.proxies = chance, proxies
        self.names = [f"b{number}" for number in range(backends)]
        self.rates = {number: chance.lognormvariate(1, 0.7) for number in range(slices)}
        self.tables: dict[int, dict[str, float]] = {number: {} for number in range(slices)}
        lines = max(10_000.0, slices * 5.0 * proxies)
        self.module = logic.Coordinator(
            1,
            BOOT | {"coordinators": coordinators, "lines_per_s": lines, "queue_cap": 1.5 * lines},
        )
        self.now = 1000 * SECOND
        self.turns: list[float] = []

    def turn(self, events: list, span: int) -> float:
        """Processor milliseconds of one turn `span` later."""
        self.now += span
        spent, orders = processor_ms(lambda: self.module.handle(self.now, events))
        self.turns.append(spent)
        mark = None
        for order in orders:
            if isinstance(order, face.SetRoute):
                self.set_line(order)
            elif isinstance(order, face.UpdateMarker):
                mark = order.marker
        if mark is not None and self.proxies:
            answers = [face.UpdateAcknowledged(proxy, mark, 3000) for proxy in range(self.proxies)]
            self.turn(answers, SECOND // 10)
        return spent

    def set_line(self, order: face.SetRoute) -> None:
        if order.weight:
            self.tables[order.table][order.backend] = order.weight
        else:
            self.tables[order.table].pop(order.backend, None)

    def start(self) -> float:
        """The whole list, the slices in charge with a line each, and the proxies."""
        events: list = [face.BackendList("full", 1, tuple(entry(name) for name in self.names))]
        for number in self.rates:
            name = self.names[number * len(self.names) // len(self.rates)]
            self.tables[number][name] = 1.0
            events += [face.SliceOwnership(number, True), face.StoredRoute(number, name, 1.0)]
        events += [face.ProxyJoined(proxy, "east", 5.0, True) for proxy in range(self.proxies)]
        return self.turn(events, 0)

    def sums(self) -> list:
        """What the proxies met in a report period: demand by slice, traffic by backend with a line."""
        period = 2 * SECOND
        came = {number: round(self.chance.gauss(rate, rate**0.5)) for number, rate in self.rates.items()}
        events: list = [
            face.SliceDemand(number, "search", max(0, count) * 2, 0, period) for number, count in came.items()
        ]
        used = sorted({name for table in self.tables.values() for name in table})
        load = {"service_time": 2500, "queued": 0}
        events += [face.BackendTraffic("east", name, 18, 0, 2500, period, load) for name in used]
        return events

    def run(self, beats: int) -> None:
        for number in range(beats):
            reports = self.sums() if number % REPORT_BEATS == 0 else []
            probes = [face.ProbeResult(name, "ok", 60) for name in self.asked()]
            self.turn([face.TimerFired("beat"), *reports, *probes], SECOND // 2)

    def asked(self) -> list[str]:
        """The backends with a probe out."""
        return [backend.id for backend in self.module.backends.values() if backend.probe_sent_at]


def measure(backends: int, slices: int, proxies: int, coordinators: int) -> dict[str, float]:
    memory = Memory()
    logic.plan = planning = Timed(logic.plan)
    stage = Stage(backends, slices, proxies, coordinators)
    start_ms = stage.start()
    stage.run(WARM_UP_BEATS)
    stage.turns.clear()
    planning.spent.clear()
    began = stage.now
    stage.run(BEATS)
    seconds = (stage.now - began) / SECOND
    turns = list(stage.turns)
    changes = []
    for number in range(CHANGES):
        changed = (entry(stage.names[-1 - number], "draining"),)
        changes.append(stage.turn([face.BackendList("changes", 2 + number, changed)], SECOND // 10))
    return {
        "start_ms": start_ms,
        "cpu_pct": sum(turns) / seconds / 10,
        "turn_ms": statistics.median(turns),
        "turn_ms_longest": max(turns),
        "plan_ms": statistics.mean(planning.spent) if planning.spent else 0.0,
        "change_ms": statistics.median(changes),
        "memory_mb": memory.grown_mb(),
    }
