"""The queue of calls to the relay: what goes next where messages or lines are bounded, or one is in doubt."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_resolution import CallOutcome, TableEvidence
from indigohitch.platform_protocol.stored_tables import StoredTable
from relay_room import Room

MOST, OVER = 12, 10 * SECOND


def put(table, backend="b1", weight=1.0):
    return face.SetRoute(table, backend, weight)


def move(table, mark):
    """A reply of the module."""
    return [put(table), put(table, "b0", 0.0), face.UpdateMarker(mark, False)]


def limited(monkeypatch, **more):
    room = Room(monkeypatch, most=MOST, over=OVER, **more)
    room.urgent = set()
    room.relay.outbox.urgent = lambda orders: {o.table for o in orders if hasattr(o, "table")} & room.urgent
    return room


def tables_of(call):
    return [int(order.split(",")[1]) for order in call.split(";") if order.startswith("put")]


def answer_all(room):
    while room.relay.awaiting_response:
        room.answer(taken=len(room.relay.pending_calls[0]))


def test_what_waited_goes_as_one_and_the_urgent_leads(monkeypatch):
    """In the incident it was the last of seven calls, a second apart."""
    room = limited(monkeypatch)
    room.urgent = {7}
    room.relay.set_paused(True)
    for table in range(1, 8):
        room.relay.order(move(table, table))
    room.relay.set_paused(False)
    orders, _ = room.out()
    assert tables_of(orders)[:2] == [7, 7] and sorted(set(tables_of(orders))) == list(range(1, 8))
    assert orders.endswith("fence,7,0") and orders.count("fence") == 1
    answer_all(room)
    assert room.relay.idle and len(room.relay.sent_at) == 1


def test_what_can_wait_leaves_messages_to_what_is_urgent(monkeypatch):
    room = limited(monkeypatch)
    for table in range(1, 8):
        room.relay.order(move(table, table))
        answer_all(room)
    assert len(room.relay.sent_at) == 2 and room.log.counts["call_rate_limited"]
    room.urgent = {9}
    room.relay.order(move(9, 9))  # goes at once, and takes along what waited
    assert tables_of(room.out()[0])[:2] == [9, 9] and len(set(tables_of(room.out()[0]))) == 6


def test_what_becomes_urgent_as_it_waits_goes_at_once(monkeypatch):
    """The backend began to drain after its line was ordered away."""
    room = limited(monkeypatch)
    for table in range(1, 5):
        room.relay.order(move(table, table))
        answer_all(room)
    assert not room.relay.awaiting_response and room.relay.waits_for_capacity
    room.relay.reconsider()
    assert not room.relay.awaiting_response
    room.urgent = {4}
    room.relay.reconsider()
    assert sorted(tables_of(room.out()[0])) == [3, 3, 4, 4]


def test_orders_for_slices_given_anew_are_one_call(monkeypatch):
    room = Room(monkeypatch)
    room.relay.order(move(0, 1))
    for table in range(1, 6):
        room.relay.order([put(table)], joins=True)
    room.relay.order(move(9, 2))
    room.relay.order([put(7)], joins=True)
    calls = []
    while room.relay.awaiting_response:
        calls.append(tables_of(room.out()[0]))
        room.answer(taken=len(room.relay.pending_calls[0]))
    assert calls == [[0, 0], [1, 2, 3, 4, 5], [9, 9], [7]]


def test_the_urgent_part_does_not_wait_for_room_for_the_rest(monkeypatch):
    """Ten proxies, 90 lines that may wait, and next to none that leave."""
    room = Room(monkeypatch, cap=100, pace=0.01, proxies=10)
    room.relay.outbox.urgent = lambda orders: {3}
    room.relay.order([put(table) for table in range(10, 15)])  # 50 lines
    room.relay.order([put(table) for table in range(20, 25)])
    room.relay.order([put(3), put(3, "b0", 0.0)])
    room.answer(taken=5)
    assert tables_of(room.out()[0]) == [3, 3]
    room.answer(taken=2)
    assert not room.relay.awaiting_response and len(room.relay.pending()) == 5


@pytest.mark.parametrize("carried_out", [True, False])
def test_a_call_in_doubt_goes_again_with_what_came_since(monkeypatch, carried_out):
    """The store can't tell, as the lines are new: one message for both, not two."""
    room = limited(monkeypatch)
    room.store, room.stood = {1: StoredTable({"b0": 1.0})}, {1: StoredTable({"b0": 1.0})}
    room.mute = True
    room.relay.order(move(1, 1))
    if carried_out:
        room.store[1] = StoredTable({"b1": 1.0})
    room.answer("timeout")
    room.relay.order([put(1, "b2"), put(1, "b1", 0.0), face.UpdateMarker(2, False)])
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    assert room.out()[0] == "put,1,b0,0.0;put,1,b2,1.0;put,1,b1,0.0;fence,2,0"
    # Now in doubt itself: what the first may have left says nothing of it.
    room.mute = False
    room.answer("timeout")
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    room.store[1] = StoredTable({"b2": 1.0})
    room.answer("timeout")
    room.until(lambda: room.relay.idle, 2 * SECOND)
    assert room.stood[1].lines == {"b2": 1.0}


def test_lines_that_an_earlier_call_may_have_left_prove_nothing():
    stood = {1: StoredTable({"a": 1.0}), 2: StoredTable({"a": 1.0})}
    maybe = [put(1, "b"), put(1, "a", 0.0)]
    orders = [*maybe, put(2, "c"), put(2, "a", 0.0)]
    evidence = TableEvidence(stood, orders, maybe)
    evidence.add_route(1, "b", 1.0)
    assert evidence.outcome is CallOutcome.UNKNOWN
    evidence.add_route(2, "a", 1.0)
    assert evidence.outcome is CallOutcome.NOT_APPLIED
    evidence.add_route(2, "c", 1.0)
    assert evidence.outcome is CallOutcome.APPLIED and evidence.applied_count == 4
    assert not TableEvidence(stood, maybe, maybe).can_decide


def test_a_silent_relay_costs_few_messages(monkeypatch):
    """In the incident ten tries in a cut of 4.5 s, of twelve messages that there are."""
    room = limited(monkeypatch)
    room.mute = True
    room.relay.order(move(1, 1))
    end = room.clock.now() + SECOND * 9 // 2
    while room.clock.now() < end or room.relay.awaiting_response:
        if room.relay.awaiting_response:
            room.clock.by += SECOND // 5
            room.answer("timeout")
        room.go(100)
    assert len(room.relay.sent_at) <= 4
    room.urgent = {2}
    room.mute = False
    room.relay.order(move(2, 2))
    room.until_out()
    assert tables_of(room.out()[0])[:2] == [2, 2]


def test_a_long_silence_holds_no_more_than_there_is_to_set(monkeypatch):
    room = limited(monkeypatch)
    room.mute = True
    for turn in range(200):
        room.relay.order([put(turn % 5, f"b{turn % 3}"), face.UpdateMarker(turn, False)])
        room.until(lambda: room.relay.awaiting_response, 20 * SECOND)
        room.answer("timeout")
    assert len(room.relay.in_flight_call.unresolved_orders) <= 15 and len(room.relay.pending()) <= 17
