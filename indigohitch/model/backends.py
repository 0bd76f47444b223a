"""A backend of the emulator: cores, a queue, caches by slice, warm-up.  Times are tenths of a ms."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from ..net.clock import SECOND


@dataclass(frozen=True)
class Kind:
    """What machines of one make are like."""

    cores: float = 4.0  # math.inf: everything at once, as the stand-in servers do
    queue: int = 60  # that wait; more are turned away
    speed: float = 1.0  # of a core
    cold_from: float = 0.25  # share of the speed at a start
    warm_within: int = 10 * SECOND
    cached: float = 0.5  # of the work, for a slice that came lately
    memory: int = 15 * SECOND  # for so long


class Backend:
    """`held`, `withdrawn` are what request.Table looks at."""

    def __init__(self, id: str, kind: Kind, started: int = 0) -> None:
        self.id, self.kind, self.started = id, kind, started
        self.state = "ready"
        self.held, self.withdrawn = 0, False
        self.busy, self.waiting = 0, deque()  # jobs
        self.met: dict[int, int] = {}  # when each slice last came
        self.slow = 1.0  # times the work, while it is ill
        self.spent, self.done = 0.0, 0  # work and answers since the last load report
        self.total = 0

    def warmth(self, now: int) -> float:
        age = (now - self.started) / self.kind.warm_within if self.started else 1.0
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    def takes(self, job) -> bool:
        """Begun, or waiting; False: turned away unseen."""
        self.total += 1
        if self.busy < self.kind.cores:
            self.busy += 1
            return True
        if len(self.waiting) >= self.kind.queue:
            return False
        self.waiting.append(job)
        return True

    def work(self, slice: int, cost: float, now: int) -> int:
        """How long an RPC takes that begins now."""
        known = now - self.met.get(slice, -math.inf) < self.kind.memory
        self.met[slice] = now
        took = cost * (self.kind.cached if known else 1.0) * self.slow / (self.kind.speed * self.warmth(now))
        self.spent += took
        self.done += 1
        return max(1, round(took))

    def report(self) -> dict[str, float]:
        """A load report: what waits, and the mean service time since the last one."""
        service = self.spent / self.done if self.done else 0.0
        self.spent, self.done = 0.0, 0
        return {"queued": len(self.waiting)} | ({"service_time": service} if service else {})
