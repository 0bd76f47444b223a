"""The sequence of pending orders, the rate limit of messages, and the delays before retries."""

import random
from types import SimpleNamespace

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND, Coordinator
from indigohitch.logic.call_scheduling import (
    BLIND_RETRY_DELAY,
    is_urgent,
    resend_delay,
    retry_delay,
    urgent_orders_first,
    urgent_tables,
)
from indigohitch.logic.rate_limit import MessageRateLimit
from orders import changes
from world import World, entry

MAX_MESSAGES, WINDOW = 12, 10 * SECOND


def table(**lines):
    """Returns a stored table with these weights by backend."""
    return SimpleNamespace(routes=lines)


@pytest.mark.parametrize("max_messages", [1, 2, 3, 5, 12, 40])
@pytest.mark.parametrize("seed", range(5))
def test_no_window_holds_more_messages_than_the_bound(max_messages, seed):
    rng, limit, sent, now = random.Random(seed), MessageRateLimit(max_messages, WINDOW), [], 0
    for _ in range(3000):
        now += rng.choice([1, 100, 2000, SECOND])
        if limit.free_at(now, rng.random() < 0.7) <= now:
            limit.record_sent(now)
            sent.append(now)
    assert len(sent) > 2 * max_messages
    assert all(late - early >= WINDOW for early, late in zip(sent, sent[max_messages:]))


@pytest.mark.parametrize("seed", range(5))
def test_an_urgent_message_waits_for_one_refill_at_most(seed):
    """This holds after any sequence of messages, also after a burst and with a full window."""
    rng, limit, now = random.Random(seed), MessageRateLimit(MAX_MESSAGES, WINDOW), 0
    for _ in range(2000):
        now += rng.choice([1, 100, 2000])
        free = limit.free_at(now, True)
        assert free - now <= WINDOW / (MAX_MESSAGES - MAX_MESSAGES // 3) + 1
        if free <= now and rng.random() < 0.9:
            limit.record_sent(now)


def test_ordinary_messages_leave_some_to_urgent_ones():
    limit, now = MessageRateLimit(MAX_MESSAGES, WINDOW), 0
    while now < 3 * WINDOW:
        if limit.free_at(now, False) <= now:
            limit.record_sent(now)
        now += 100
    while limit.free_at(now, False) <= now:
        limit.record_sent(now)
    for _ in range(2):
        assert limit.free_at(now, True) <= now
        limit.record_sent(now)


def test_a_message_that_was_not_sent_does_not_count():
    limit = MessageRateLimit(2, WINDOW)
    limit.record_sent(0)
    assert limit.free_at(0, True) == WINDOW
    limit.undo_last()
    assert limit.free_at(0, True) == 0
    assert MessageRateLimit(0, WINDOW).free_at(5, False) == 5


def test_blind_retries_use_no_more_messages_than_are_refilled():
    limit = MessageRateLimit(MAX_MESSAGES, WINDOW)
    assert limit.refill_interval <= BLIND_RETRY_DELAY
    assert [retry_delay(n) for n in (1, 4, 99)] == [SECOND // 20, SECOND // 2, SECOND // 2]
    assert [resend_delay(n) for n in (1, 2, 99)] == [0, SECOND // 20, SECOND // 2]


@pytest.fixture
def world():
    world = World()
    world.start(6, 12)
    world.run(2 * SECOND)
    return world


def test_tables_with_a_time_limit_are_urgent(world):
    coordinator = world.c
    assert isinstance(coordinator, Coordinator)
    orders = [face.SetRoute(number, "b5", 1.0) for number in range(5)]
    stored = {0: table(b0=1.0), 1: table(b1=1.0), 2: table(), 3: table(b3=1.0), 4: table(b4=1.0)}
    assert urgent_tables(coordinator, orders, stored) == {2}  # it has no route
    world.step(0, changes(entry("b1", "draining")))
    assert urgent_tables(coordinator, orders, stored) == {1, 2}
    # The removal was ordered before the drain was known, but the route is still stored: the time limit holds.
    assert urgent_tables(coordinator, [face.SetRoute(1, "b1", 0.0)], {}) == {1}
    assert urgent_tables(coordinator, [face.SetRoute(0, "b0", 0.0)], {}) == set()
    coordinator.backends["b0"].warmup_fraction = 0.5
    assert urgent_tables(coordinator, [face.SetRoute(0, "b0", 0.0)], {}) == {0}
    coordinator.slices[3].closed_methods = ()
    assert urgent_tables(coordinator, [face.SetAdmission(3, (), 1.0, 1)], stored) == {3}
    assert (
        urgent_tables(
            coordinator, [face.SetAdmission(face.ALL_TABLES, (), 1.0, 1), face.UpdateMarker(1, False)], stored
        )
        == set()
    )


def test_urgent_orders_come_first_and_markers_last():
    moved = [face.SetRoute(1, "b1", 1.0), face.SetRoute(1, "b2", 0.0)]
    drained = [face.SetRoute(2, "b1", 1.0), face.SetRoute(2, "b3", 0.0)]
    ejection, retry_level, marker = (
        face.EjectBackend("b3", True),
        face.SetAdmission(face.ALL_TABLES, (), 1.0, 1),
        face.UpdateMarker(4, False),
    )
    assert urgent_orders_first([*moved, marker, *drained, retry_level, ejection], {2}) == [
        *drained,
        retry_level,
        ejection,
        *moved,
        marker,
    ]
    assert urgent_orders_first([*moved, marker], ()) == [*moved, marker]
    assert [is_urgent(order, {2}) for order in (moved[0], drained[0], ejection, retry_level, marker)] == [
        False,
        True,
        True,
        True,
        False,
    ]
