"""The event batch, and the agreement of the module's tables and the store mirror with the relay's store."""

import random

import pytest

from hours import Hours
from indigohitch import interface as face
from indigohitch.event_batch import EventBatch
from indigohitch.net.loop import Deadline
from indigohitch.platform_protocol import stored_tables
from indigohitch.platform_protocol.store_mirror import StoreMirror


def test_events_of_one_period_are_delivered_together():
    """Without batching the module planned with the first half of a period's reports in 12 rounds of 14 on a
    calm day."""
    hours = Hours()
    delivered = []
    event_batch = EventBatch(hours, 40, lambda now, events: delivered.append((now, events)))
    for n in range(4):
        event_batch.add(face.ProxyLeft(n))
        hours.go(20, event_batch)
    assert not delivered
    hours.go(20, event_batch)
    assert delivered == [(1100, [face.ProxyLeft(n) for n in range(4)])]
    hours.go(500, event_batch)
    assert len(delivered) == 1  # without events there is no delivery
    event_batch.add(face.ProxyLeft(9))
    hours.go(100, event_batch)
    assert len(delivered) == 2
    hours.go(100, event_batch)
    # A timer alone is delivered at once, with events it waits for the batch.
    event_batch.add_timer(face.TimerFired("beat"))
    hours.go(0, event_batch)
    assert delivered[2] == (1800, [face.TimerFired("beat")])
    event_batch.add(face.ProxyLeft(8))
    event_batch.add_timer(face.TimerFired("beat"))
    hours.go(90, event_batch)
    assert len(delivered) == 3
    hours.go(10, event_batch)
    assert len(delivered[3][1]) == 2


class FakeModule:
    """A log without output, and a module that keeps the state that events report."""

    def __init__(self):
        self.tables = {}
        self.proxies = set()
        self.ownership_events = 0

    def event(self, *_, **__):
        pass

    warning = event
    count = event

    def deliver(self, *events):
        for e in events:
            if isinstance(e, face.SliceOwnership):
                self.ownership_events += 1
                self.tables.pop(e.slice, None)
                if e.is_owned:
                    self.tables[e.slice] = {}
            elif isinstance(e, face.StoredRoute):
                self.tables[e.slice][e.backend] = e.weight
            elif isinstance(e, face.ProxyJoined):
                self.proxies.add(e.proxy)
            elif isinstance(e, face.ProxyLeft):
                self.proxies.remove(e.proxy)


def put(tables, order):
    tables.get(order.table, {}).pop(order.backend, None)
    if order.weight and order.table in tables:
        tables[order.table][order.backend] = order.weight


@pytest.mark.parametrize("seed", range(8))
def test_module_and_store_agree_after_each_initial_snapshot(seed):
    """Calls are applied, acknowledged and lost while the stream breaks and is reopened at any time."""
    rng = random.Random(seed)
    module = FakeModule()
    hours = Hours()
    hours.call_after = lambda span, action: Deadline(0, action)  # the keepalive settles all tables
    store = {n: {"b0": 1.0} for n in range(6)}
    proxies = {1, 2}
    calls = []
    applied_count = 0  # calls that are applied and not acknowledged
    store_mirror = StoreMirror(hours, module, module.deliver, lambda: list(calls), calls.extend)

    def step():
        nonlocal applied_count
        roll = rng.random()
        if roll < 0.4 and module.tables:  # the module sends an order and assumes its effect
            table = rng.choice(sorted(module.tables))
            order = face.SetRoute(table, f"b{rng.randrange(3)}", rng.choice([0.0, 1.0]))
            calls.append(order)
            put(module.tables, order)
        elif roll < 0.7 and applied_count < len(calls):  # the relay applies an order
            put(store, calls[applied_count])
            applied_count += 1
        elif applied_count:  # the relay acknowledges an order
            store_mirror.apply([calls.pop(0)])
            applied_count -= 1

    for _ in range(40):
        store_mirror.on_watch_requested()
        for _ in range(rng.randrange(4)):
            step()
        store_mirror.on_watch_opened()
        snapshot = [face.ProxyJoined(p, "east", 1.0, False) for p in sorted(proxies)]
        for number, routes in store.items():
            snapshot += stored_tables.ownership_events(number, stored_tables.StoredTable(dict(routes)))
        for event in snapshot:
            store_mirror.on_relay_event(event)
            if rng.random() < 0.2 and not isinstance(event, face.SliceOwnership):
                step()
        store_mirror.on_keepalive()
        projected = {number: dict(routes) for number, routes in store.items()}
        for order in calls[applied_count:]:
            put(projected, order)
        assert module.tables == projected and module.proxies == proxies
        for _ in range(rng.randrange(9)):
            step()
        if rng.random() < 0.3:  # the stream is broken, so changes are not reported
            while calls:
                put(store, calls[0])
                store_mirror.apply([calls.pop(0)])
            applied_count = 0
            proxies = {p for p in range(4) if rng.random() < 0.7}
            store.pop(rng.choice(sorted(store)))
            store.setdefault(rng.randrange(8), {})[f"b{rng.randrange(3)}"] = 1.0


def test_known_state_is_not_reported_again():
    module = FakeModule()
    hours = Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    calls = []
    store_mirror = StoreMirror(hours, module, module.deliver, list, calls.extend)
    for _ in range(3):
        store_mirror.on_watch_opened()
        for event in stored_tables.ownership_events(4, stored_tables.StoredTable({"b1": 1.0})):
            store_mirror.on_relay_event(event)
        store_mirror.on_keepalive()
    assert module.ownership_events == 1 and module.tables == {4: {"b1": 1.0}}
    store_mirror.apply([face.SetAdmission(4, (), 0.6, 1)])
    store_mirror.on_dropped([face.SetRoute(4, "b2", 1.0)])
    store_mirror._report_dropped()  # a reported slice has no level, so the level is reset
    assert module.ownership_events == 2 and calls == [face.SetAdmission(4, (), 1.0, 1)]


def test_acknowledged_orders_missing_from_the_snapshot_are_resent():
    """The relay acknowledges orders without effect while another coordinator owns the slice. In a soak test
    the module then removed one of two assumed routes, which was the last one in the store."""
    module = FakeModule()
    calls = []
    hours = Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    store_mirror = StoreMirror(hours, module, module.deliver, lambda: list(calls), calls.extend)

    def read_snapshot(acknowledged=()):
        store_mirror.on_watch_requested()
        store_mirror.apply(list(acknowledged))
        store_mirror.on_watch_opened()
        for number in (4, 5):
            for event in stored_tables.ownership_events(number, stored_tables.StoredTable({"b1": 1.0})):
                store_mirror.on_relay_event(event)
        store_mirror.on_keepalive()

    read_snapshot()
    moved = [face.SetRoute(4, "b2", 1.0), face.SetRoute(4, "b1", 0.0)]
    same = [face.SetRoute(5, "b1", 1.0)]
    later = [face.SetRoute(4, "b3", 1.0), face.SetAdmission(4, (), 0.5, 1)]
    calls += later
    for order in [*moved, *same, later[0]]:
        put(module.tables, order)  # the module assumes the effect of its orders
    read_snapshot(moved + same)
    assert calls == [*later, *moved, later[0]]  # later orders for the slice are resent too, in sequence
    assert module.tables == {4: {"b2": 1.0, "b3": 1.0}, 5: {"b1": 1.0}}


def test_a_slice_changed_by_another_coordinator_counts_as_newly_acquired():
    """In a soak test the drain monitor took its new route for one that had existed all the time."""
    module = FakeModule()
    hours = Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    store_mirror = StoreMirror(hours, module, module.deliver, list, lambda orders: None)
    acquired = []
    store_mirror.on_slice_acquired = acquired.append

    def read_snapshot(**backends):
        acquired.clear()
        store_mirror.on_watch_requested()
        store_mirror.on_watch_opened()
        for number, backend in enumerate(backends.values()):
            for event in stored_tables.ownership_events(number, stored_tables.StoredTable({backend: 1.0})):
                store_mirror.on_relay_event(event)
        store_mirror.on_keepalive()

    read_snapshot(first="b1", second="b2")
    assert set(acquired) == {0, 1}
    read_snapshot(first="b1", second="b3")
    assert acquired == [1]
