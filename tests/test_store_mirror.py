"""Events gathered for the module, and what it believes to stand against what does."""

import random

import pytest

from hours import Hours
from indigohitch import interface as face
from indigohitch.event_batch import EventBatch
from indigohitch.net.loop import Deadline
from indigohitch.platform_protocol import stored_tables
from indigohitch.platform_protocol.store_mirror import StoreMirror


def test_pieces_of_one_period_are_handled_together():
    """Seen on a calm day: the module planned on the first half of the sums in 12 rounds of 14."""
    hours, handed = Hours(), []
    gathering = EventBatch(hours, 40, lambda now, events: handed.append((now, events)))
    for n in range(4):
        gathering.add(face.ProxyLeft(n))
        hours.go(20, gathering)
    assert not handed
    hours.go(20, gathering)
    assert handed == [(1100, [face.ProxyLeft(n) for n in range(4)])]
    hours.go(500, gathering)
    assert len(handed) == 1  # nothing came, nothing is asked
    gathering.add(face.ProxyLeft(9))
    hours.go(100, gathering)
    assert len(handed) == 2
    hours.go(100, gathering)
    gathering.add_timer(face.TimerFired("beat"))  # a timer alone is on time, with others it waits for them
    hours.go(0, gathering)
    assert handed[2] == (1800, [face.TimerFired("beat")])
    gathering.add(face.ProxyLeft(8))
    gathering.add_timer(face.TimerFired("beat"))
    hours.go(90, gathering)
    assert len(handed) == 3
    hours.go(10, gathering)
    assert len(handed[3][1]) == 2


class Told:
    """A log and a module's belief, kept by what it is told."""

    def __init__(self):
        self.tables, self.proxies, self.charges = {}, set(), 0

    def event(self, *_, **__):
        pass

    warning = event

    def hear(self, *events):
        for e in events:
            if isinstance(e, face.SliceOwnership):
                self.charges += 1
                self.tables.pop(e.slice, None)
                if e.is_owned:
                    self.tables[e.slice] = {}
            elif isinstance(e, face.StoredRoute):
                self.tables[e.slice][e.backend] = e.weight
            elif isinstance(e, face.ProxyJoined):
                self.proxies.add(e.proxy)
            elif isinstance(e, face.ProxyLeft):
                self.proxies.remove(e.proxy)


def put(lines, order):
    lines.get(order.table, {}).pop(order.backend, None)
    if order.weight and order.table in lines:
        lines[order.table][order.backend] = order.weight


@pytest.mark.parametrize("seed", range(8))
def test_belief_and_store_agree_after_every_start_of_the_news(seed):
    """Calls are carried out, answered and lost while the news break and begin anew at any moment."""
    rng, told, hours = random.Random(seed), Told(), Hours()
    hours.call_after = lambda span, action: Deadline(0, action)  # the sign of life settles all
    store, proxies, calls, done = {n: {"b0": 1.0} for n in range(6)}, {1, 2}, [], 0
    holdings = StoreMirror(hours, told, told.hear, lambda: list(calls), calls.extend)

    def step():
        nonlocal done
        roll = rng.random()
        if roll < 0.4 and told.tables:  # the module orders, and believes that it stands
            table = rng.choice(sorted(told.tables))
            order = face.SetRoute(table, f"b{rng.randrange(3)}", rng.choice([0.0, 1.0]))
            calls.append(order)
            put(told.tables, order)
        elif roll < 0.7 and done < len(calls):  # the relay carries one out
            put(store, calls[done])
            done += 1
        elif done:  # and answers
            holdings.apply([calls.pop(0)])
            done -= 1

    for _ in range(40):
        holdings.on_watch_requested()
        for _ in range(rng.randrange(4)):
            step()
        holdings.on_watch_opened()
        start = [face.ProxyJoined(p, "east", 1.0, False) for p in sorted(proxies)]
        for number, lines in store.items():
            start += stored_tables.ownership_events(number, stored_tables.StoredTable(dict(lines)))
        for event in start:
            holdings.on_relay_event(event)
            if rng.random() < 0.2 and not isinstance(event, face.SliceOwnership):
                step()
        holdings.on_keepalive()
        ahead = {number: dict(lines) for number, lines in store.items()}
        for order in calls[done:]:
            put(ahead, order)
        assert told.tables == ahead and told.proxies == proxies
        for _ in range(rng.randrange(9)):
            step()
        if rng.random() < 0.3:  # the news are broken: what changes is not told
            while calls:
                put(store, calls[0])
                holdings.apply([calls.pop(0)])
            done, proxies = 0, {p for p in range(4) if rng.random() < 0.7}
            store.pop(rng.choice(sorted(store)))
            store.setdefault(rng.randrange(8), {})[f"b{rng.randrange(3)}"] = 1.0


def test_what_stands_as_believed_is_not_told_again():
    told, hours = Told(), Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    calls = []
    holdings = StoreMirror(hours, told, told.hear, list, calls.extend)
    for _ in range(3):
        holdings.on_watch_opened()
        for event in stored_tables.ownership_events(4, stored_tables.StoredTable({"b1": 1.0})):
            holdings.on_relay_event(event)
        holdings.on_keepalive()
    assert told.charges == 1 and told.tables == {4: {"b1": 1.0}}
    holdings.apply([face.SetAdmission(4, (), 0.6, 1)])
    holdings.on_dropped([face.SetRoute(4, "b2", 1.0)])
    holdings._report_dropped()  # told anew it comes without a level: that is made true
    assert told.charges == 2 and calls == [face.SetAdmission(4, (), 1.0, 1)]


def test_what_was_answered_and_is_not_in_the_news_goes_again():
    """Found by the soak: the relay answered it while the slice was another's, and it changed nothing.  A line
    was taken away later as one of two, and was the last."""
    told, calls, hours = Told(), [], Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    holdings = StoreMirror(hours, told, told.hear, lambda: list(calls), calls.extend)

    def begin(answered=()):
        holdings.on_watch_requested()
        holdings.apply(list(answered))
        holdings.on_watch_opened()
        for number in (4, 5):
            for event in stored_tables.ownership_events(number, stored_tables.StoredTable({"b1": 1.0})):
                holdings.on_relay_event(event)
        holdings.on_keepalive()

    begin()
    moved = [face.SetRoute(4, "b2", 1.0), face.SetRoute(4, "b1", 0.0)]
    same = [face.SetRoute(5, "b1", 1.0)]
    later = [face.SetRoute(4, "b3", 1.0), face.SetAdmission(4, (), 0.5, 1)]
    calls += later
    for order in [*moved, *same, later[0]]:
        put(told.tables, order)  # as the module believes since it ordered them
    begin(moved + same)
    assert calls == [*later, *moved, later[0]]  # and what came after it, in this order
    assert told.tables == {4: {"b2": 1.0, "b3": 1.0}, 5: {"b1": 1.0}}


def test_a_slice_that_another_has_written_to_counts_as_given_anew():
    """Found by the soak: the check of drains took its line for one that had stood all the time."""
    told, hours = Told(), Hours()
    hours.call_after = lambda span, action: Deadline(0, action)
    holdings = StoreMirror(hours, told, told.hear, list, lambda orders: None)
    given = []
    holdings.on_slice_acquired = given.append

    def begin(**lines):
        given.clear()
        holdings.on_watch_requested()
        holdings.on_watch_opened()
        for number, backend in enumerate(lines.values()):
            for event in stored_tables.ownership_events(number, stored_tables.StoredTable({backend: 1.0})):
                holdings.on_relay_event(event)
        holdings.on_keepalive()

    begin(first="b1", second="b2")
    assert set(given) == {0, 1}
    begin(first="b1", second="b3")
    assert given == [1]
