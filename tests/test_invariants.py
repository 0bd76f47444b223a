"""Invariants of calls: violations are counted and logged, and those of a protocol rule are prevented."""

import pytest

from indigohitch import interface as face
from indigohitch.logic.rate_limit import MessageRateLimit
from indigohitch.net.clock import SECOND
from relay_room import Room
from stage import drain
from waiting import eventually


def violation_counts(room):
    """Return the counters by invariant; each violation is logged as well."""
    counts = {name: count for name, count in room.log.counts.items() if name.startswith("invariant_")}
    events = counts.pop("invariant_violated", 0)
    assert sum(counts.values()) == events
    return counts


class NoRateLimit(MessageRateLimit):
    """Permits every message at once."""

    def free_at(self, now, urgent):
        return now


def apply_call(room, weight):
    room.enqueue(weight)
    room.answer()


def test_a_wrong_rate_limit_does_not_exceed_the_message_limit(monkeypatch):
    room = Room(monkeypatch, max_messages=3, window=SECOND)
    room.relay.channel_limits.message_rate = NoRateLimit(3, SECOND)
    for weight in range(1, 4):
        apply_call(room, weight)
    room.enqueue(4)
    assert not room.relay.awaiting_response and violation_counts(room) == {"invariant_message_limit": 1}
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    room.answer()
    assert [order.weight for order in room.applied] == [1.0, 2.0, 3.0, 4.0]


def test_throttled_calls_are_not_counted_as_messages(monkeypatch):
    room = Room(monkeypatch, max_messages=2, window=SECOND)
    room.relay.channel_limits.message_rate = NoRateLimit(2, SECOND)
    room.enqueue(1)
    for _ in range(5):
        room.answer(code="Throttling")
        room.until_call_sent()
    room.answer()
    apply_call(room, 2)
    assert not violation_counts(room)


def test_a_retry_waits_until_the_previous_attempt_has_settled(monkeypatch):
    room = Room(monkeypatch)
    room.enqueue(1)
    room.answer("reset")
    room.relay._retry_unresolved()
    assert not room.relay.awaiting_response and violation_counts(room) == {"invariant_repeat_too_soon": 1}
    room.until_call_sent()
    assert violation_counts(room) == {"invariant_repeat_too_soon": 1}


def test_an_exceeded_channel_limit_is_reported(monkeypatch):
    room = Room(monkeypatch, max_lines=100, drain_rate=0.001, proxies=10)
    room.relay.backlog.fits_at = lambda now, lines: now
    for number in range(8):
        room.relay.enqueue([face.SetRoute(number, "b1", 1.0)])
        room.answer()
    assert not violation_counts(room)
    room.relay.enqueue([face.SetRoute(9, "b1", 1.0), face.SetRoute(10, "b1", 1.0)])
    assert violation_counts(room) == {"invariant_channel_full": 1}


def test_no_table_is_changed_before_stored_state_is_known(monkeypatch):
    room = Room(monkeypatch)
    known_tables = []
    room.relay.invariants.has_stored_state = lambda: bool(known_tables)
    room.relay.enqueue([face.SetAdmission(face.ALL_TABLES, (), 1.0, 1)])
    room.answer()
    room.enqueue(1)
    assert not room.relay.awaiting_response and violation_counts(room) == {"invariant_call_before_start": 1}
    known_tables.append(True)
    room.until_call_sent()


@pytest.mark.parametrize("first", ["unsent", "unresolved"])
def test_no_route_is_set_to_a_backend_whose_grace_period_is_over(monkeypatch, first):
    """The route was ordered before the drain and waited, as the relay was unreachable; the module has ordered
    its replacement since."""
    room = Room(monkeypatch)
    ended_grace = set()
    room.relay.invariants.is_grace_over = ended_grace.__contains__
    orders = [face.SetRoute(1, "b1", 1.0), face.SetRoute(1, "b2", 0.0)]
    room.relay.set_paused(first == "unsent")
    room.relay.enqueue(orders)
    if first == "unresolved":
        room.answer("timeout")
    room.relay.enqueue([face.SetRoute(1, "b3", 1.0), face.SetRoute(1, "b1", 0.0)])
    ended_grace.add("b1")
    room.relay.set_paused(False)
    room.until_call_sent()
    assert room.sent_call()[0] == "put,1,b2,0.0;put,1,b3,1.0;put,1,b1,0.0"
    assert not violation_counts(room)  # merged with the replacement, so no route had to be removed


def test_a_route_to_a_backend_whose_grace_period_is_over_is_dropped(monkeypatch):
    room = Room(monkeypatch)
    room.relay.invariants.is_grace_over = lambda backend: backend == "b1"
    room.enqueue(1)
    assert room.relay.idle and [order.backend for order in room.dropped] == ["b1"]
    room.relay.enqueue(
        [face.SetRoute(1, "b1", 1.0), face.SetRoute(2, "b2", 1.0), face.SetRoute(3, "b1", 0.0)]
    )
    assert room.sent_call()[0] == "put,2,b2,1.0;put,3,b1,0.0"
    assert violation_counts(room) == {"invariant_line_at_leaving": 2}


def test_pending_orders_are_logged_at_exit(monkeypatch):
    room = Room(monkeypatch)
    room.relay.outbox.urgent_tables = lambda orders: {1}
    events = []
    room.log.event = lambda name, **fields: events.append((name, fields))
    room.relay.client.close = lambda: None
    room.relay.set_paused(True)
    room.enqueue(1, 2)
    room.relay.enqueue([face.SetRoute(2, "b1", 1.0)])
    room.relay.close()
    assert events == [("exited_with_pending_orders", {"urgent": 2, "orders": 3})]


def test_reported_tables_may_be_changed_before_the_first_keepalive(platform):
    """In a soak test a drain waited five seconds for the keepalive, as the relay fell silent just then."""
    program = platform.start()
    eventually(lambda: platform.calls)
    drain(platform, "b1")
    assert not program.said("invariant_violated")
    assert "invariant_call_before_start" not in program.counters()


def test_an_unsent_attempt_does_not_delay_the_next_retry(monkeypatch):
    """In a soak test the next attempt was reported as a retry that came too soon."""
    room = Room(monkeypatch)
    room.enqueue(1)
    room.answer("timeout")
    room.until_call_sent()
    room.answer("connect_failed")
    room.advance(10)
    assert room.relay.awaiting_response and not violation_counts(room)
