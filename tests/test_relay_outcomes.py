"""Outcomes of calls to the relay, also with limits, an address change, a pause or blocked calls."""

import os

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_response import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import relay as calls
from indigohitch.platform_protocol.front import Front
from relay_room import Room
from seam import Shifted
from stage import SETTINGS
from waiting import free_address

TRANSIT_MARGIN = calls.Relay.TRANSIT_MARGIN


@pytest.fixture
def room(monkeypatch):
    return Room(monkeypatch)


@pytest.mark.parametrize(
    "outcome, code, counted",
    [
        ("connect_failed", "", 0),
        ("unreached", "", 0),
        ("answered", "Throttling", 0),
        ("answered", "ValidationError", 0),
        ("reset", "", 1),
        ("timeout", "", 1),
        ("unreadable", "", 1),
        ("answered", "Other", 1),
        ("answered", "", 1),
    ],
)
def test_calls_that_may_have_been_applied_count_as_messages(monkeypatch, outcome, code, counted):
    room = Room(monkeypatch, max_messages=9, window=SECOND)
    room.enqueue(1)
    room.answer("reset")
    room.until_call_sent()
    before = list(room.relay.sent_at)
    assert len(before) == 2  # the call and its retry
    room.answer(outcome, code=code)
    assert list(room.relay.sent_at)[: 1 + counted] == before[: 1 + counted]
    if code not in ("Throttling", "Other") and outcome != "reset":
        return
    room.until_call_sent()
    assert len(room.relay.sent_at) == 2 + counted  # and another retry


def test_retries_never_exceed_the_message_limit(monkeypatch):
    room = Room(monkeypatch, max_messages=3, window=SECOND)
    room.enqueue(1)
    sent = []
    outcomes = ["reset", "Throttling", "timeout", "connect_failed", "unreadable"] * 6
    while outcomes:
        if not room.relay.awaiting_response:
            room.advance(100)
            continue
        outcome = outcomes.pop(0)
        if outcome not in ("Throttling", "connect_failed"):
            sent.append(room.relay.sent_at[-1])
        room.answer(
            "answered" if outcome == "Throttling" else outcome,
            code=outcome if outcome == "Throttling" else "",
        )
    assert len(sent) == 18
    assert min(late - early for early, late in zip(sent, sent[3:])) >= SECOND + TRANSIT_MARGIN
    assert {orders for orders, _ in room.relay.client.requests} == {"put,1,b1,1.0"}


def test_an_unresolved_call_is_retried_unchanged_before_merged_calls(room):
    room.enqueue(1)
    room.answer("timeout")
    for weight in range(2, 30):
        room.enqueue(weight)
    assert room.log.counts["calls_merged"]
    room.until_call_sent()
    assert room.sent_call()[0] == "put,1,b1,1.0"
    while not room.relay.idle:
        room.answer()
    weights = [order.weight for order in room.applied]
    assert weights[0] == 1.0 and weights[-1] == 29.0 and weights == sorted(weights) and len(weights) < 12


def test_a_reply_of_more_calls_than_may_wait_is_sent_at_once(room):
    orders = [face.SetRoute(n, f"backend-{n:06}", 1.0) for n in range(30_000)]
    room.relay.enqueue(orders)
    while not room.relay.idle:
        room.answer(taken=len(room.relay.pending_calls[0]))
    assert room.applied == orders


@pytest.mark.parametrize("outcome", ["answered", "timeout", "connect_failed"])
def test_an_address_change_while_a_call_is_in_flight(room, outcome):
    """The call ends at the old address. Unless it was applied, it is retried unchanged at the new address,
    before the next call."""
    room.enqueue(1)
    old = room.relay.client
    assert room.relay.move(("127.0.0.1", 2)) and old.is_retired
    room.enqueue(2)
    assert not room.relay.client.requests
    old.requests[0][1](
        HttpResponse(outcome, 200, b"<R><results><item><ok_count>1</ok_count></item></results></R>")
    )
    room.until_call_sent()
    sent = [orders for orders, _ in room.relay.client.requests]
    assert len(old.requests) == 1 and sent == ["put,1,b1,1.0" if outcome != "answered" else "put,1,b1,2.0"]


def test_a_pause_while_an_unresolved_call_waits(room):
    room.enqueue(1)
    room.relay.set_paused(True)
    room.answer("timeout")
    room.advance(10)
    room.enqueue(2)
    assert not room.relay.awaiting_response  # no call is started, and none is lost
    room.relay.set_paused(False)
    room.until_call_sent()
    assert room.sent_call()[0] == "put,1,b1,1.0"
    room.answer()
    assert room.sent_call()[0] == "put,1,b1,2.0"


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("outcome, reads", [("timeout", 1), ("answered", 0)])
def test_dropping_an_unresolved_call_reads_the_stored_state(room, outcome, reads, moved):
    """The call may have been applied, so the state known before it must not be reported to the module."""
    requested = []
    room.relay.on_unresolved_drop = lambda: requested.append(1)
    room.enqueue(1)
    room.enqueue(2)
    room.relay.is_allowed = lambda orders: False
    room.answer(outcome)
    if moved:
        room.relay.move(("127.0.0.1", 2))
    room.until(lambda: room.relay.idle)
    assert len(requested) == reads and room.dropped and room.relay.idle


def test_a_later_order_for_the_route_of_an_unresolved_call_wins(room):
    room.enqueue(5)
    room.answer("unreadable")
    room.enqueue(0)
    room.until_call_sent()
    room.answer()
    room.answer()
    assert [order.weight for order in room.applied] == [5.0, 0.0]


def test_stored_state_is_read_again_after_an_unresolved_call_is_dropped(platform):
    """The call is applied without a response, and then calls are blocked: only a new stream reports its
    route."""

    def fail(error):
        raise error

    loop = EventLoop(Shifted(), fail)
    log = Log(loop.clock, "t", os.open(os.devnull, os.O_WRONLY))
    front = Front(
        loop,
        log,
        {
            "listen": free_address(),
            "discovery": platform.discovery.address,
            "seed": "1",
            "settings": SETTINGS,
            "known": platform.known,
            "limits": platform.limits,
            "store": {"address": platform.relay.address},
        },
    )

    def until(holds):
        for _ in range(20_000):
            if holds():
                return
            loop.call_after(10, lambda: None)
            loop.turn()
            front.event_batch.flush_if_due()
        raise AssertionError("condition did not become true")

    front.start()
    until(lambda: front.store_mirror.has_started and front.relay.idle and platform.agrees())
    platform.relay_faults.append("silent done")
    front.relay.enqueue([face.SetRoute(3, "b1", 1.0)])
    until(lambda: "b1" in platform.tables[3])
    front.relay.is_allowed = lambda orders: False
    until(lambda: log.counts["orders_blocked"])
    assert "b1" not in front.store_mirror.tables[3].routes
    until(lambda: "b1" in front.store_mirror.tables[3].routes)
    front.close()
    loop.close()
