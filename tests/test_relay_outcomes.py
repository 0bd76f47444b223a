"""Calls to the relay that cross each other, a bound, a move or a ban, with relay_room.py's client."""

import os

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_exchange import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import relay as calls
from indigohitch.platform_protocol.front import Front
from relay_room import Room
from seam import Shifted
from stage import SETTINGS
from waiting import free_address

MARGIN = calls.Relay.TRANSIT_MARGIN


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
def test_what_may_have_gone_out_counts_as_a_message(monkeypatch, outcome, code, counted):
    room = Room(monkeypatch, most=9, over=SECOND)
    room.order(1)
    room.answer("reset")
    room.until_out()
    before = list(room.relay.sent_at)
    assert len(before) == 2  # the call, and itself again
    room.answer(outcome, code=code)
    assert list(room.relay.sent_at)[: 1 + counted] == before[: 1 + counted]
    if code not in ("Throttling", "Other") and outcome != "reset":
        return
    room.until_out()
    assert len(room.relay.sent_at) == 2 + counted  # and once more


def test_repeats_never_exceed_the_bound(monkeypatch):
    room = Room(monkeypatch, most=3, over=SECOND)
    room.order(1)
    sent, outcomes = [], ["reset", "Throttling", "timeout", "connect_failed", "unreadable"] * 6
    while outcomes:
        if not room.relay.awaiting_response:
            room.go(100)
            continue
        how = outcomes.pop(0)
        if how not in ("Throttling", "connect_failed"):
            sent.append(room.relay.sent_at[-1])
        room.answer("answered" if how == "Throttling" else how, code=how if how == "Throttling" else "")
    assert len(sent) == 18
    assert min(late - early for early, late in zip(sent, sent[3:])) >= SECOND + MARGIN
    assert {orders for orders, _ in room.relay.client.asked} == {"put,1,b1,1.0"}


def test_a_call_in_doubt_goes_again_as_it_was_before_what_is_merged(room):
    room.order(1)
    room.answer("timeout")
    for weight in range(2, 30):
        room.order(weight)
    assert room.log.counts["calls_merged"]
    room.until_out()
    assert room.out()[0] == "put,1,b1,1.0"
    while not room.relay.idle:
        room.answer()
    weights = [order.weight for order in room.stand]
    assert weights[0] == 1.0 and weights[-1] == 29.0 and weights == sorted(weights) and len(weights) < 12


def test_one_reply_of_more_calls_than_may_wait_goes_at_once(room):
    orders = [face.SetRoute(n, f"backend-{n:06}", 1.0) for n in range(30_000)]
    room.relay.order(orders)
    while not room.relay.idle:
        room.answer(taken=len(room.relay.pending_calls[0]))
    assert room.stand == orders


@pytest.mark.parametrize("outcome", ["answered", "timeout", "connect_failed"])
def test_a_move_while_a_call_is_out(room, outcome):
    """It ends where it began; only in doubt it goes to the new address, as it was, before the next."""
    room.order(1)
    old = room.relay.client
    assert room.relay.move(("127.0.0.1", 2)) and old.retired
    room.order(2)
    assert not room.relay.client.asked
    old.asked[0][1](
        HttpResponse(outcome, 200, b"<R><results><item><ok_count>1</ok_count></item></results></R>")
    )
    room.until_out()
    seen = [orders for orders, _ in room.relay.client.asked]
    assert len(old.asked) == 1 and seen == ["put,1,b1,1.0" if outcome != "answered" else "put,1,b1,2.0"]


def test_a_hold_while_a_call_in_doubt_waits(room):
    room.order(1)
    room.relay.set_paused(True)
    room.answer("timeout")
    room.go(10)
    room.order(2)
    assert not room.relay.awaiting_response  # nothing begins, and nothing is lost
    room.relay.set_paused(False)
    room.until_out()
    assert room.out()[0] == "put,1,b1,1.0"
    room.answer()
    assert room.out()[0] == "put,1,b1,2.0"


@pytest.mark.parametrize("moved", [False, True])
@pytest.mark.parametrize("outcome, doubts", [("timeout", 1), ("answered", 0)])
def test_a_call_in_doubt_that_may_not_go_again_has_what_stands_read(room, outcome, doubts, moved):
    """It may have been carried out: to tell the module what stood before would be a guess."""
    asked = []
    room.relay.on_unresolved_drop = lambda: asked.append(1)
    room.order(1)
    room.order(2)
    room.relay.is_allowed = lambda orders: False
    room.answer(outcome)
    if moved:
        room.relay.move(("127.0.0.1", 2))
    room.until(lambda: room.relay.idle)
    assert len(asked) == doubts and room.void and room.relay.idle


def test_an_order_for_the_same_line_while_one_is_in_doubt(room):
    """The later one wins, whichever came of the first."""
    room.order(5)
    room.answer("unreadable")
    room.order(0)
    room.until_out()
    room.answer()
    room.answer()
    assert [order.weight for order in room.stand] == [5.0, 0.0]


def test_what_stands_is_read_again_after_a_call_in_doubt_was_dropped(platform):
    """Carried out without an answer, and then no call may go: no other stream would tell of its line."""

    def fail(broken):
        raise broken

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
        raise AssertionError("never came true")

    front.start()
    until(lambda: front.store_mirror.has_started and front.relay.idle and platform.agrees())
    platform.relay_faults.append("silent done")
    front.relay.order([face.SetRoute(3, "b1", 1.0)])
    until(lambda: "b1" in platform.tables[3])
    front.relay.is_allowed = lambda orders: False
    until(lambda: log.counts["orders_blocked"])
    assert "b1" not in front.store_mirror.tables[3].lines
    until(lambda: "b1" in front.store_mirror.tables[3].lines)
    front.close()
    loop.close()
