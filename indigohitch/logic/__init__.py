"""The decision module: which backend answers for which slice, and what the proxies are told of it.

A front makes one `Coordinator(seed, bootstrap)` an instance; `handle(now, events)`, once a batch, returns the
orders of that moment.  Terms: interface.py; `bootstrap`: the start settings; why: docs/design.md."""

from heapq import heappop

from ..interface import SECOND, Event, Order, UpdateAcknowledged
from .event_handlers import HEAR
from .health import assess
from .planner import evacuate, plan
from .reconciler import emit
from .state import Assignment, CoordinatorState, DueAction


class Coordinator(CoordinatorState):
    ROUND = 2 * SECOND  # the design's
    BEAT = SECOND // 2  # probes and pushes hang on it: half of what a push may wait

    def handle(self, now: int, events: list[Event]) -> list[Order]:
        self.now, self.orders = now, []
        self.next_beat_at = self.next_beat_at or now + self.BEAT
        for event in events:
            if type(event) in HEAR:  # others tell nothing that is used here
                HEAR[type(event)](self, event)
        while self.due_actions and self.due_actions[0][0] <= now:
            match heappop(self.due_actions)[1]:
                case DueAction.SUBSCRIBE:
                    self.subscribe()
        if due := now >= self.next_beat_at:
            self.beat()
        if heard := due or any(not isinstance(e, UpdateAcknowledged) for e in events):
            self.decide()
        if heard or self.has_pending_routes:
            emit(self)
        return self.orders

    def subscribe(self) -> None:
        self.subscribe_pending = self.settings.get("discovery") == "ask"

    def decide(self) -> None:
        """What should be out: the owners of every slice."""
        for slice_ in self.slices.values():
            if not slice_.assignments:  # small lines, of whatever make, are taken out
                most = max(slice_.stored_routes.values(), default=0.0)
                kept = [backend for backend, w in slice_.stored_routes.items() if 2 * w >= most]
                slice_.assignments = [Assignment(slice_, backend) for backend in kept] or [
                    Assignment(slice_, None)
                ]
        assess(self)
        evacuate(self)
        # Rounds by the clock, coordinators in turn: two that see the same would move the same way.
        turn = (self.now + self.ROUND * self.own_index // self.coordinator_count) // self.ROUND
        if turn != self.planning_round and self.now >= self.planning_allowed_at:
            self.planning_round = turn
            plan(self)

    def beat(self) -> None:
        self.next_beat_at, self.beat_count = self.now + self.BEAT, self.beat_count + 1
        self.probe_targets = [
            backend
            for i, backend in enumerate(self.backends.values())
            if self.settings.get("may_probe")
            and backend.state == "ready"
            and not backend.probe_sent_at
            and (backend.missed_probes or (self.beat_count + i) % (4 * self.coordinator_count) == 0)
        ]
        # Machines are replaced under new ids: of those gone, with no line and not shut out, 256 are kept.
        used = self.ejected.union(self.readmitted, *(slice_.stored_routes for slice_ in self.slices.values()))
        gone = [
            backend
            for backend in self.backends.values()
            if backend.state == "gone" and not backend.assignments and backend not in used
        ]
        for backend in sorted(gone, key=lambda backend: backend.notified_at)[:-256]:
            del self.backends[backend.id]
