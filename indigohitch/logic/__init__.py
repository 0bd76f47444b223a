"""The decision module: which backend owns which slice, and the orders that bring this to the proxies.

Each coordinator instance holds one `Coordinator(seed, bootstrap)`, where `bootstrap` are the start settings.
The terms are those of interface.py; the reasons are in docs/design.md.
"""

from heapq import heappop

from ..interface import SECOND, Event, Order, UpdateAcknowledged
from .event_handlers import EVENT_HANDLERS
from .health import assess
from .planner import evacuate, plan
from .reconciler import emit
from .state import Assignment, CoordinatorState, DueAction


class Coordinator(CoordinatorState):
    """Decides on the owners of slices from batches of events; times are ticks of a tenth of a millisecond."""

    ROUND = 2 * SECOND  # between two planning rounds, by docs/design.md
    BEAT = SECOND // 2  # probes and updates depend on it: half of what an update may wait

    def handle(self, now: int, events: list[Event]) -> list[Order]:
        """Apply a batch of events at the time `now` and return the orders that follow from it."""
        self.now = now
        self.orders = []
        self.next_beat_at = self.next_beat_at or now + self.BEAT
        for event in events:
            if type(event) in EVENT_HANDLERS:  # events of other types hold nothing that is used here
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
        """Request the list of backends with the next orders, where the settings let coordinators do so."""
        self.subscribe_pending = self.settings.get("discovery") == "ask"

    def decide(self) -> None:
        """Settle the owners of every slice; the reconciler turns them into orders."""
        for slice_ in self.slices.values():
            if not slice_.assignments:  # stored routes of small weight are dropped
                highest = max(slice_.stored_routes.values(), default=0.0)
                kept = [backend for backend, weight in slice_.stored_routes.items() if 2 * weight >= highest]
                slice_.assignments = [Assignment(slice_, backend) for backend in kept] or [
                    Assignment(slice_, None)
                ]
        assess(self)
        evacuate(self)
        # Rounds by the clock, coordinators in turn: two with the same view would make the same moves.
        turn = (self.now + self.ROUND * self.own_index // self.coordinator_count) // self.ROUND
        if turn != self.planning_round and self.now >= self.planning_allowed_at:
            self.planning_round = turn
            plan(self)

    def beat(self) -> None:
        """Start the next beat: choose the backends to probe and forget backends that are long gone."""
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
        # Machines are replaced under new ids: of those gone, without a route and not ejected, 256 are kept.
        used = self.ejected.union(self.readmitted, *(slice_.stored_routes for slice_ in self.slices.values()))
        removable = [
            backend
            for backend in self.backends.values()
            if backend.state == "gone" and not backend.assignments and backend not in used
        ]
        for backend in sorted(removable, key=lambda backend: backend.notified_at)[:-256]:
            del self.backends[backend.id]
