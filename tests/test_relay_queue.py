"""The queue of calls to the relay: which call is sent next with limits or an unresolved call."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_resolution import CallOutcome, TableEvidence
from indigohitch.platform_protocol.stored_tables import StoredTable
from relay_room import Room

MAX_MESSAGES = 12
WINDOW = 10 * SECOND


def put(table, backend="b1", weight=1.0):
    return face.SetRoute(table, backend, weight)


def move(table, marker):
    """Return a reply of the module that moves a route of the table."""
    return [put(table), put(table, "b0", 0.0), face.UpdateMarker(marker, False)]


def limited_room(monkeypatch, **limits):
    """Return a room with a message limit; the test sets the tables whose orders are urgent."""
    room = Room(monkeypatch, max_messages=MAX_MESSAGES, window=WINDOW, **limits)
    room.urgent_tables = set()
    room.relay.outbox.urgent_tables = lambda orders: (
        {o.table for o in orders if hasattr(o, "table")} & room.urgent_tables
    )
    return room


def tables_of(call):
    return [int(order.split(",")[1]) for order in call.split(";") if order.startswith("put")]


def complete_all_calls(room):
    while room.relay.awaiting_response:
        room.answer(taken=len(room.relay.pending_calls[0]))


def test_waiting_calls_are_merged_with_urgent_orders_first(monkeypatch):
    """In an incident the urgent call was the last of seven calls, sent a second apart."""
    room = limited_room(monkeypatch)
    room.urgent_tables = {7}
    room.relay.set_paused(True)
    for table in range(1, 8):
        room.relay.enqueue(move(table, table))
    room.relay.set_paused(False)
    orders, _ = room.sent_call()
    assert tables_of(orders)[:2] == [7, 7] and sorted(set(tables_of(orders))) == list(range(1, 8))
    assert orders.endswith("fence,7,0") and orders.count("fence") == 1
    complete_all_calls(room)
    assert room.relay.idle and len(room.relay.sent_at) == 1


def test_calls_that_can_wait_leave_messages_for_urgent_ones(monkeypatch):
    room = limited_room(monkeypatch)
    for table in range(1, 8):
        room.relay.enqueue(move(table, table))
        complete_all_calls(room)
    assert len(room.relay.sent_at) == 2 and room.log.counts["call_rate_limited"]
    room.urgent_tables = {9}
    room.relay.enqueue(move(9, 9))  # sent at once, with the waiting orders
    assert tables_of(room.sent_call()[0])[:2] == [9, 9] and len(set(tables_of(room.sent_call()[0]))) == 6


def test_orders_that_become_urgent_while_waiting_are_sent_at_once(monkeypatch):
    """The backend began to drain after the removal of its route was ordered."""
    room = limited_room(monkeypatch)
    for table in range(1, 5):
        room.relay.enqueue(move(table, table))
        complete_all_calls(room)
    assert not room.relay.awaiting_response and room.relay.waits_for_capacity
    room.relay.reconsider()
    assert not room.relay.awaiting_response
    room.urgent_tables = {4}
    room.relay.reconsider()
    assert sorted(tables_of(room.sent_call()[0])) == [3, 3, 4, 4]


def test_orders_for_acquired_slices_share_one_call(monkeypatch):
    room = Room(monkeypatch)
    room.relay.enqueue(move(0, 1))
    for table in range(1, 6):
        room.relay.enqueue([put(table)], joins=True)
    room.relay.enqueue(move(9, 2))
    room.relay.enqueue([put(7)], joins=True)
    calls = []
    while room.relay.awaiting_response:
        calls.append(tables_of(room.sent_call()[0]))
        room.answer(taken=len(room.relay.pending_calls[0]))
    assert calls == [[0, 0], [1, 2, 3, 4, 5], [9, 9], [7]]


def test_the_urgent_part_does_not_wait_for_capacity_for_the_rest(monkeypatch):
    """With ten proxies, 90 lines may wait, and next to none leave."""
    room = Room(monkeypatch, max_lines=100, drain_rate=0.01, proxies=10)
    room.relay.outbox.urgent_tables = lambda orders: {3}
    room.relay.enqueue([put(table) for table in range(10, 15)])  # 50 lines
    room.relay.enqueue([put(table) for table in range(20, 25)])
    room.relay.enqueue([put(3), put(3, "b0", 0.0)])
    room.answer(taken=5)
    assert tables_of(room.sent_call()[0]) == [3, 3]
    room.answer(taken=2)
    assert not room.relay.awaiting_response and len(room.relay.pending()) == 5


@pytest.mark.parametrize("is_applied", [True, False])
def test_an_unresolved_call_is_retried_together_with_later_orders(monkeypatch, is_applied):
    """The silent store does not show the outcome, so the retry and the later orders share one message."""
    room = limited_room(monkeypatch)
    room.store = {1: StoredTable({"b0": 1.0})}
    room.known_tables = {1: StoredTable({"b0": 1.0})}
    room.is_store_silent = True
    room.relay.enqueue(move(1, 1))
    if is_applied:
        room.store[1] = StoredTable({"b1": 1.0})
    room.answer("timeout")
    room.relay.enqueue([put(1, "b2"), put(1, "b1", 0.0), face.UpdateMarker(2, False)])
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    assert room.sent_call()[0] == "put,1,b0,0.0;put,1,b2,1.0;put,1,b1,0.0;fence,2,0"
    # The merged call is unresolved too: routes that the first one may have set prove nothing about it.
    room.is_store_silent = False
    room.answer("timeout")
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    room.store[1] = StoredTable({"b2": 1.0})
    room.answer("timeout")
    room.until(lambda: room.relay.idle, 2 * SECOND)
    assert room.known_tables[1].routes == {"b2": 1.0}


def test_routes_that_an_earlier_call_may_have_set_prove_nothing():
    stored = {1: StoredTable({"a": 1.0}), 2: StoredTable({"a": 1.0})}
    unresolved_orders = [put(1, "b"), put(1, "a", 0.0)]
    orders = [*unresolved_orders, put(2, "c"), put(2, "a", 0.0)]
    evidence = TableEvidence(stored, orders, unresolved_orders)
    evidence.add_route(1, "b", 1.0)
    assert evidence.outcome is CallOutcome.UNKNOWN
    evidence.add_route(2, "a", 1.0)
    assert evidence.outcome is CallOutcome.NOT_APPLIED
    evidence.add_route(2, "c", 1.0)
    assert evidence.outcome is CallOutcome.APPLIED and evidence.applied_count == 4
    assert not TableEvidence(stored, unresolved_orders, unresolved_orders).can_decide


def test_a_silent_relay_costs_few_messages(monkeypatch):
    """In an incident a cut of 4.5 s cost ten attempts of the twelve messages in the window."""
    room = limited_room(monkeypatch)
    room.is_store_silent = True
    room.relay.enqueue(move(1, 1))
    end = room.clock.now() + SECOND * 9 // 2
    while room.clock.now() < end or room.relay.awaiting_response:
        if room.relay.awaiting_response:
            room.clock.by += SECOND // 5
            room.answer("timeout")
        room.advance(100)
    assert len(room.relay.sent_at) <= 4
    room.urgent_tables = {2}
    room.is_store_silent = False
    room.relay.enqueue(move(2, 2))
    room.until_call_sent()
    assert tables_of(room.sent_call()[0])[:2] == [2, 2]


def test_pending_orders_are_bounded_during_a_long_silence(monkeypatch):
    room = limited_room(monkeypatch)
    room.is_store_silent = True
    for number in range(200):
        room.relay.enqueue([put(number % 5, f"b{number % 3}"), face.UpdateMarker(number, False)])
        room.until(lambda: room.relay.awaiting_response, 20 * SECOND)
        room.answer("timeout")
    assert len(room.relay.in_flight_call.unresolved_orders) <= 15 and len(room.relay.pending()) <= 17
