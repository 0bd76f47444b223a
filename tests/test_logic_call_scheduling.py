"""Which orders go next, how soon a proxy gets another message, and when a call goes again."""

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

MOST, WINDOW = 12, 10 * SECOND


def table(**lines):
    return SimpleNamespace(lines=lines)


@pytest.mark.parametrize("most", [1, 2, 3, 5, 12, 40])
@pytest.mark.parametrize("seed", range(5))
def test_no_window_holds_more_messages_than_it_may(most, seed):
    chance, pace, sent, now = random.Random(seed), MessageRateLimit(most, WINDOW), [], 0
    for _ in range(3000):
        now += chance.choice([1, 100, 2000, SECOND])
        if pace.free_at(now, chance.random() < 0.7) <= now:
            pace.record_sent(now)
            sent.append(now)
    assert len(sent) > 2 * most
    assert all(late - early >= WINDOW for early, late in zip(sent, sent[most:]))


@pytest.mark.parametrize("seed", range(5))
def test_an_urgent_message_is_never_far_away(seed):
    """Whatever went before: also after a burst, and with a window as full as it gets."""
    chance, pace, now = random.Random(seed), MessageRateLimit(MOST, WINDOW), 0
    for _ in range(2000):
        now += chance.choice([1, 100, 2000])
        free = pace.free_at(now, True)
        assert free - now <= WINDOW / (MOST - MOST // 3) + 1
        if free <= now and chance.random() < 0.9:
            pace.record_sent(now)


def test_what_can_wait_leaves_messages_to_what_is_urgent():
    pace, now = MessageRateLimit(MOST, WINDOW), 0
    while now < 3 * WINDOW:
        if pace.free_at(now, False) <= now:
            pace.record_sent(now)
        now += 100
    while pace.free_at(now, False) <= now:
        pace.record_sent(now)
    for _ in range(2):
        assert pace.free_at(now, True) <= now
        pace.record_sent(now)


def test_one_that_did_not_go_out_is_given_back():
    pace = MessageRateLimit(2, WINDOW)
    pace.record_sent(0)
    assert pace.free_at(0, True) == WINDOW
    pace.undo_last()
    assert pace.free_at(0, True) == 0
    assert MessageRateLimit(0, WINDOW).free_at(5, False) == 5


def test_blind_repeats_use_up_no_more_messages_than_come_back():
    pace = MessageRateLimit(MOST, WINDOW)
    assert pace.refill_interval <= BLIND_RETRY_DELAY
    assert [retry_delay(n) for n in (1, 4, 99)] == [SECOND // 20, SECOND // 2, SECOND // 2]
    assert [resend_delay(n) for n in (1, 2, 99)] == [0, SECOND // 20, SECOND // 2]


@pytest.fixture
def module():
    w = World()
    w.start(6, 12)
    w.run(2 * SECOND)
    return w


def test_tables_with_a_time_limit_to_keep(module):
    c = module.c
    assert isinstance(c, Coordinator)
    put = [face.SetRoute(number, "b5", 1.0) for number in range(5)]
    stood = {0: table(b0=1.0), 1: table(b1=1.0), 2: table(), 3: table(b3=1.0), 4: table(b4=1.0)}
    assert urgent_tables(c, put, stood) == {2}  # it has no line at all
    module.step(0, changes(entry("b1", "draining")))
    assert urgent_tables(c, put, stood) == {1, 2}
    # Ordered away before the drain was told: the line stands still, and so does the time limit.
    assert urgent_tables(c, [face.SetRoute(1, "b1", 0.0)], {}) == {1}
    assert urgent_tables(c, [face.SetRoute(0, "b0", 0.0)], {}) == set()
    c.backends["b0"].warmup_fraction = 0.5
    assert urgent_tables(c, [face.SetRoute(0, "b0", 0.0)], {}) == {0}
    c.slices[3].closed_methods = ()
    assert urgent_tables(c, [face.SetAdmission(3, (), 1.0, 1)], stood) == {3}
    assert (
        urgent_tables(c, [face.SetAdmission(face.ALL_TABLES, (), 1.0, 1), face.UpdateMarker(1, False)], stood)
        == set()
    )


def test_urgent_orders_lead_and_the_mark_is_last():
    moved = [face.SetRoute(1, "b1", 1.0), face.SetRoute(1, "b2", 0.0)]
    drained = [face.SetRoute(2, "b1", 1.0), face.SetRoute(2, "b3", 0.0)]
    shut, level, mark = (
        face.EjectBackend("b3", True),
        face.SetAdmission(face.ALL_TABLES, (), 1.0, 1),
        face.UpdateMarker(4, False),
    )
    assert urgent_orders_first([*moved, mark, *drained, level, shut], {2}) == [
        *drained,
        level,
        shut,
        *moved,
        mark,
    ]
    assert urgent_orders_first([*moved, mark], ()) == [*moved, mark]
    assert [is_urgent(order, {2}) for order in (moved[0], drained[0], shut, level, mark)] == [
        False,
        True,
        True,
        True,
        False,
    ]
