"""The invariants of calls: counted and told whatever decided on a call, and kept where a rule would break."""

import pytest

from indigohitch import interface as face
from indigohitch.logic.rate_limit import MessageRateLimit
from indigohitch.net.clock import SECOND
from relay_room import Room
from stage import drain
from waiting import eventually


def counted(room):
    """By invariant; each violation is one event as well."""
    found = {name: count for name, count in room.log.counts.items() if name.startswith("invariant_")}
    events = found.pop("invariant_violated", 0)
    assert sum(found.values()) == events
    return found


class Careless(MessageRateLimit):
    """Lets everything go at once."""

    def free_at(self, now, urgent):
        return now


def stand(room, weight):
    room.order(weight)
    room.answer()


def test_a_pace_that_is_wrong_does_not_break_the_limit(monkeypatch):
    room = Room(monkeypatch, most=3, over=SECOND)
    room.relay.channel_limits.message_rate = Careless(3, SECOND)
    for weight in range(1, 4):
        stand(room, weight)
    room.order(4)
    assert not room.relay.awaiting_response and counted(room) == {"invariant_message_limit": 1}
    room.until(lambda: room.relay.awaiting_response, 2 * SECOND)
    room.answer()
    assert [order.weight for order in room.stand] == [1.0, 2.0, 3.0, 4.0]


def test_what_came_to_nothing_is_no_message(monkeypatch):
    room = Room(monkeypatch, most=2, over=SECOND)
    room.relay.channel_limits.message_rate = Careless(2, SECOND)
    room.order(1)
    for _ in range(5):
        room.answer(code="Throttling")
        room.until_out()
    room.answer()
    stand(room, 2)
    assert not counted(room)


def test_the_same_again_waits_until_the_try_before_is_settled(monkeypatch):
    room = Room(monkeypatch)
    room.order(1)
    room.answer("reset")
    room.relay._retry_unresolved()
    assert not room.relay.awaiting_response and counted(room) == {"invariant_repeat_too_soon": 1}
    room.until_out()
    assert counted(room) == {"invariant_repeat_too_soon": 1}


def test_a_full_channel_is_told(monkeypatch):
    room = Room(monkeypatch, cap=100, pace=0.001, proxies=10)
    room.relay.backlog.fits_at = lambda now, lines: now
    for number in range(8):
        room.relay.order([face.SetRoute(number, "b1", 1.0)])
        room.answer()
    assert not counted(room)
    room.relay.order([face.SetRoute(9, "b1", 1.0), face.SetRoute(10, "b1", 1.0)])
    assert counted(room) == {"invariant_channel_full": 1}


def test_no_table_is_changed_before_the_store_has_told_what_stands(monkeypatch):
    room = Room(monkeypatch)
    begun = []
    room.relay.invariants.has_stored_state = lambda: bool(begun)
    room.relay.order([face.SetAdmission(face.ALL_TABLES, (), 1.0, 1)])
    room.answer()
    room.order(1)
    assert not room.relay.awaiting_response and counted(room) == {"invariant_call_before_start": 1}
    begun.append(True)
    room.until_out()


@pytest.mark.parametrize("first", ["fresh", "in doubt"])
def test_no_line_goes_to_a_backend_whose_grace_is_over(monkeypatch, first):
    """Ordered before its drain, as the relay was out of reach; the module has ordered the rest since."""
    room = Room(monkeypatch)
    late = set()
    room.relay.invariants.is_grace_over = late.__contains__
    put = [face.SetRoute(1, "b1", 1.0), face.SetRoute(1, "b2", 0.0)]
    room.relay.set_paused(first == "fresh")
    room.relay.order(put)
    if first == "in doubt":
        room.answer("timeout")
    room.relay.order([face.SetRoute(1, "b3", 1.0), face.SetRoute(1, "b1", 0.0)])
    late.add("b1")
    room.relay.set_paused(False)
    room.until_out()
    assert room.out()[0] == "put,1,b2,0.0;put,1,b3,1.0;put,1,b1,0.0"
    assert not counted(room)  # gathered with what makes up for it: nothing was refused


def test_a_line_at_a_backend_whose_grace_is_over_is_refused(monkeypatch):
    room = Room(monkeypatch)
    room.relay.invariants.is_grace_over = lambda backend: backend == "b1"
    room.order(1)
    assert room.relay.idle and [order.backend for order in room.void] == ["b1"]
    room.relay.order([face.SetRoute(1, "b1", 1.0), face.SetRoute(2, "b2", 1.0), face.SetRoute(3, "b1", 0.0)])
    assert room.out()[0] == "put,2,b2,1.0;put,3,b1,0.0"
    assert counted(room) == {"invariant_line_at_leaving": 2}


def test_the_end_tells_what_was_still_to_go(monkeypatch):
    room = Room(monkeypatch)
    room.relay.outbox.urgent = lambda orders: {1}
    told = []
    room.log.event = lambda what, **fields: told.append((what, fields))
    room.relay.client.close = lambda: None
    room.relay.set_paused(True)
    room.order(1, 2)
    room.relay.order([face.SetRoute(2, "b1", 1.0)])
    room.relay.close()
    assert told == [("exited_with_pending_orders", {"urgent": 2, "orders": 3})]


def test_what_the_news_have_told_may_be_changed_before_their_first_sign_of_life(platform):
    """Found by the soak: a drain waited for it, five seconds where the relay fell silent just then."""
    program = platform.start()
    eventually(lambda: platform.calls)
    drain(platform, "b1")
    assert not program.said("invariant_violated")
    assert "invariant_call_before_start" not in program.counters()


def test_a_try_that_was_not_sent_settles_nothing_and_delays_nothing(monkeypatch):
    """Found by the soak: the next one was taken for a repeat that came too soon."""
    room = Room(monkeypatch)
    room.order(1)
    room.answer("timeout")
    room.until_out()
    room.answer("connect_failed")
    room.go(10)
    assert room.relay.awaiting_response and not counted(room)
