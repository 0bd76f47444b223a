"""A backend of the emulator: cores, a queue, a cache by slice, warm-up.  Times are in tenths of a ms."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from ..net.clock import SECOND


@dataclass(frozen=True)
class Kind:
    """The properties of one type of machine."""

    cores: float = 4.0  # math.inf: all RPCs at once, as in the stand-in servers
    queue: int = 60  # RPCs that wait; further ones are rejected
    speed: float = 1.0  # of a core
    cold_from: float = 0.25  # share of the speed right after a start
    warm_within: int = 10 * SECOND  # time from a start to full speed
    cached: float = 0.5  # share of the work for a slice that is in the cache
    memory: int = 15 * SECOND  # time for which a slice stays in the cache after its last RPC


class Backend:
    """One emulated backend; `request.RouteTable` reads its `held` and `withdrawn`."""

    def __init__(self, id: str, kind: Kind, started: int = 0) -> None:
        self.id, self.kind, self.started = id, kind, started
        self.state = "ready"
        self.held, self.withdrawn = 0, False
        self.busy, self.waiting = 0, deque()  # running RPCs, queued jobs
        self.last_rpc: dict[int, int] = {}  # time, by slice
        self.slow = 1.0  # factor on the work, above 1 while the backend is degraded
        self.spent, self.done = 0.0, 0  # work and RPCs since the last load report
        self.total = 0

    def warmth(self, now: int) -> float:
        """Returns the share of the full speed that the backend has at `now`."""
        age = (now - self.started) / self.kind.warm_within if self.started else 1.0
        return min(1.0, self.kind.cold_from + (1 - self.kind.cold_from) * age)

    def accept(self, job: tuple) -> bool:
        """Starts or queues a job; returns False if it is rejected because the queue is full."""
        self.total += 1
        if self.busy < self.kind.cores:
            self.busy += 1
            return True
        if len(self.waiting) >= self.kind.queue:
            return False
        self.waiting.append(job)
        return True

    def work(self, slice: int, cost: float, now: int) -> int:
        """Returns the service time of an RPC that begins now, and counts it as done."""
        cached = now - self.last_rpc.get(slice, -math.inf) < self.kind.memory
        self.last_rpc[slice] = now
        duration = (
            cost * (self.kind.cached if cached else 1.0) * self.slow / (self.kind.speed * self.warmth(now))
        )
        self.spent += duration
        self.done += 1
        return max(1, round(duration))

    def report(self) -> dict[str, float]:
        """Returns a load report: the queue's length, and the mean service time since the last report."""
        service = self.spent / self.done if self.done else 0.0
        self.spent, self.done = 0.0, 0
        return {"queued": len(self.waiting)} | ({"service_time": service} if service else {})
