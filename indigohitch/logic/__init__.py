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
        self.next_beat = self.next_beat or now + self.BEAT
        for event in events:
            if type(event) in HEAR:  # others tell nothing that is used here
                HEAR[type(event)](self, event)
        while self.due and self.due[0][0] <= now:
            match heappop(self.due)[1]:
                case DueAction.SUBSCRIBE:
                    self.subscribe()
        if due := now >= self.next_beat:
            self.beat()
        if heard := due or any(not isinstance(e, UpdateAcknowledged) for e in events):
            self.decide()
        if heard or self.held:
            emit(self)
        return self.orders

    def subscribe(self) -> None:
        self.asking = self.boot.get("discovery") == "ask"

    def decide(self) -> None:
        """What should be out: the owners of every slice."""
        for s in self.slices.values():
            if not s.parts:  # small lines, of whatever make, are taken out
                most = max(s.stored.values(), default=0.0)
                kept = [b for b, w in s.stored.items() if 2 * w >= most]
                s.parts = [Assignment(s, b) for b in kept] or [Assignment(s, None)]
        assess(self)
        evacuate(self)
        # Rounds by the clock, coordinators in turn: two that see the same would move the same way.
        turn = (self.now + self.ROUND * self.own // self.many) // self.ROUND
        if turn != self.turn and self.now >= self.plan_from:
            self.turn = turn
            plan(self)

    def beat(self) -> None:
        self.next_beat, self.beats = self.now + self.BEAT, self.beats + 1
        self.probing = [
            b
            for i, b in enumerate(self.backends.values())
            if self.boot.get("may_probe")
            and b.state == "ready"
            and not b.probe_out
            and (b.misses or (self.beats + i) % (4 * self.many) == 0)
        ]
        # Machines are replaced under new ids: of those gone, with no line and not shut out, 256 are kept.
        used = self.withdrawn.union(self.returned, *(s.stored for s in self.slices.values()))
        gone = [b for b in self.backends.values() if b.state == "gone" and not b.parts and b not in used]
        for b in sorted(gone, key=lambda b: b.told)[:-256]:
            del self.backends[b.id]
