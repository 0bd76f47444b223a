"""The decision module: assigns slices to backends and returns the orders that tell the proxies.

Each coordinator process holds one `Coordinator(seed, bootstrap)`, where `bootstrap` holds the start settings.
The package `interface` defines the events and orders; the reasons are in docs/design.md.
"""

from heapq import heappop

from ..interface import SECOND, Event, Order, UpdateAcknowledged
from .event_handlers import EVENT_HANDLERS
from .health import assess
from .planner import evacuate, plan
from .reconciler import emit
from .state import Assignment, CoordinatorState, DueAction


class Coordinator(CoordinatorState):
    """Decides which backends own the slices, from batches of events; times are in ticks."""

    ROUND = 2 * SECOND  # ticks between two planning rounds, as in docs/design.md
    BEAT = SECOND // 2  # ticks between probes and between updates: half of what an update may wait

    def handle(self, now: int, events: list[Event]) -> list[Order]:
        """Applies a batch of events at the time `now` and returns the resulting orders."""
        self.now = now
        self.orders = []
        self.next_beat_at = self.next_beat_at or now + self.BEAT
        for event in events:
            if type(event) in EVENT_HANDLERS:  # events of other types affect no decision
                EVENT_HANDLERS[type(event)](self, event)
        while self.due_actions and self.due_actions[0][0] <= now:
            match heappop(self.due_actions)[1]:
                case DueAction.SUBSCRIBE:
                    self.subscribe()
        is_beat_due = now >= self.next_beat_at
        if is_beat_due:
            self.beat()
        has_changes = is_beat_due or any(not isinstance(event, UpdateAcknowledged) for event in events)
        if has_changes:
            self.decide()
        if has_changes or self.has_pending_routes:
            emit(self)
        return self.orders

    def subscribe(self) -> None:
        """Schedules a subscription to the list of backends, where the settings let coordinators subscribe."""
        self.subscribe_pending = self.settings.get("discovery") == "ask"

    def decide(self) -> None:
        """Decides the owners of every slice; the reconciler turns them into orders."""
        for slice_ in self.slices.values():
            if not slice_.assignments:  # stored routes below half of the highest weight are dropped
                highest = max(slice_.stored_routes.values(), default=0.0)
                kept_backends = [
                    backend for backend, weight in slice_.stored_routes.items() if 2 * weight >= highest
                ]
                slice_.assignments = [Assignment(slice_, backend) for backend in kept_backends] or [
                    Assignment(slice_, None)
                ]
        assess(self)
        evacuate(self)
        # Coordinators plan one after another, by the clock: two that plan at once on the same view would make
        # the same moves.
        planning_round = (self.now + self.ROUND * self.own_index // self.coordinator_count) // self.ROUND
        if planning_round != self.planning_round and self.now >= self.planning_allowed_at:
            self.planning_round = planning_round
            plan(self)

    def beat(self) -> None:
        """Starts the next beat: chooses the backends to probe and forgets backends that are long gone."""
        self.next_beat_at = self.now + self.BEAT
        self.beat_count += 1
        self.probe_targets = [
            backend
            for index, backend in enumerate(self.backends.values())
            if self.settings.get("may_probe")
            and backend.state == "ready"
            and not backend.probe_sent_at
            and (backend.missed_probes or (self.beat_count + index) % (4 * self.coordinator_count) == 0)
        ]
        # Replacement machines get new ids, so entries would accumulate. Of the backends that are gone, have
        # no route and are not ejected, the latest 256 are kept.
        used = self.ejected.union(self.readmitted, *(slice_.stored_routes for slice_ in self.slices.values()))
        removable = [
            backend
            for backend in self.backends.values()
            if backend.state == "gone" and not backend.assignments and backend not in used
        ]
        for backend in sorted(removable, key=lambda backend: backend.notified_at)[:-256]:
            del self.backends[backend.id]
