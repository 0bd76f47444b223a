"""Orders for a slice that was taken away are neither sent, nor sent again, nor counted as applied."""

import socket

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND, Clock
from indigohitch.net.http_client import HttpClient
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import stored_tables
from indigohitch.platform_protocol.ownership_guard import OwnershipGuard
from indigohitch.platform_protocol.stored_tables import StoredTable
from relay_room import Room
from simulated_store import OUR_ORDERS, OWNERSHIP_EVENTS, SLICE, FakeRelay

REVOKED, KEPT = 1, 2


def orders(marker, *tables):
    return [*(face.SetRoute(table, "b1", 1.0) for table in tables), face.UpdateMarker(marker, False)]


@pytest.fixture
def room(monkeypatch):
    room = Room(monkeypatch)
    room.known_tables = {table: StoredTable({"b0": 1.0}) for table in (REVOKED, KEPT)}
    room.store = stored_tables.copy_tables(room.known_tables)
    room.applied_all_the_same = []
    room.relay.revocations.on_applied = room.applied_all_the_same.extend
    return room


def test_a_waiting_order_is_not_sent_after_its_slice_was_taken_away(room):
    """Guards against review/6, queued: the order waited behind a call while the slice was another's."""
    room.enqueue(1, table=9)
    room.relay.enqueue(orders(1, REVOKED, KEPT))
    room.relay.enqueue(orders(2, REVOKED))
    room.relay.revocations.revoke({REVOKED})
    room.answer()
    assert room.sent_call()[0] == "put,2,b1,1.0;fence,1,0"
    room.answer(taken=2)
    assert room.relay.idle and room.relay.pending() == []


def test_an_order_decided_after_the_slice_came_back_is_sent(room):
    room.enqueue(1, table=9)
    room.relay.enqueue(orders(1, REVOKED))
    room.relay.revocations.revoke({REVOKED})
    room.relay.enqueue(orders(2, REVOKED))
    room.answer()
    assert room.sent_call()[0] == "put,1,b1,1.0;fence,2,0"


@pytest.mark.parametrize("tables", [(REVOKED,), (REVOKED, KEPT)])
def test_an_order_in_flight_is_not_sent_again_after_its_slice_was_taken_away(room, tables):
    """Guards against review/6, resent: a call without an answer was sent again when the relay was back."""
    room.is_store_silent = True
    room.relay.enqueue(orders(1, *tables))
    room.relay.revocations.revoke({REVOKED})
    room.answer("timeout")
    room.advance(2 * SECOND)
    assert room.relay.awaiting_response == (KEPT in tables)
    if KEPT in tables:
        assert room.sent_call()[0] == "put,2,b1,1.0;fence,1,0"
    assert room.applied_all_the_same == [face.SetRoute(REVOKED, "b1", 1.0)]


def test_an_order_answered_after_its_slice_was_taken_away_counts_as_applied_for_nobody(room):
    """Guards against review/6, in flight: the relay counts an order as taken that changes nothing."""
    room.relay.enqueue(orders(1, REVOKED, KEPT))
    room.relay.revocations.revoke({REVOKED})
    assert room.relay.pending() == orders(1, KEPT)
    room.answer(taken=3)
    assert room.applied == orders(1, KEPT)
    assert room.applied_all_the_same == [face.SetRoute(REVOKED, "b1", 1.0)]


def test_the_rest_of_a_partly_applied_call_has_no_revoked_orders(room):
    room.relay.enqueue(orders(1, KEPT, REVOKED, 3))
    room.relay.revocations.revoke({REVOKED})
    room.answer(taken=1)
    assert room.sent_call()[0] == "put,3,b1,1.0;fence,1,0"


@pytest.mark.parametrize("code", ["ValidationError", "Throttling"])
def test_a_refused_call_does_not_report_or_repeat_revoked_orders(room, code):
    """Guards against review/6, reported as dropped."""
    room.relay.enqueue(orders(1, REVOKED, KEPT))
    room.relay.revocations.revoke({REVOKED})
    room.answer(code=code)
    room.advance(SECOND)
    if code == "Throttling":
        assert room.sent_call()[0] == "put,2,b1,1.0;fence,1,0"
    else:
        assert room.dropped == orders(1, KEPT) and room.relay.idle


def test_no_order_for_a_slice_is_sent_while_its_ownership_is_not_current(room):
    """Guards against a process that was stopped: unread news may say that a slice was taken away."""
    is_current = False
    room.relay.is_ownership_current = lambda: is_current
    room.relay.enqueue(orders(1, KEPT))
    room.advance(SECOND)
    assert not room.relay.awaiting_response
    is_current = True
    room.until_call_sent()


def test_a_closed_slice_is_reported_again_after_a_stream_was_lost():
    """Guards against review/6, reconciled: a snapshot with the same lines shows nothing of a slice that was
    away. Orders are withheld until it is reported."""
    relay = FakeRelay(requires_continuity=True)
    relay.store_mirror.apply([face.SetAdmission(SLICE, (1,), 0.0, 1)])
    relay.store_mirror.on_watch_lost()
    opening = [
        face.SetRoute(SLICE, "b1", 1.0),
        face.SetAdmission(SLICE, (), 1.0, 1),
        face.UpdateMarker(7, False),
    ]
    assert relay.guard.withhold(opening) == []
    assert relay.guard.withhold([face.EjectBackend("b1", True)]) == [face.EjectBackend("b1", True)]
    relay.read_snapshot()
    assert relay.module.ownership_events == 2 and relay.module.tables == {SLICE: {"b0": 1.0}}
    assert relay.calls == [[face.SetAdmission(SLICE, (), 1.0, 1)]]
    assert relay.guard.withhold(opening) == opening


def test_a_stream_that_replaces_one_with_unread_events_counts_as_one_after_a_loss():
    relay = FakeRelay(requires_continuity=True)
    relay.store_mirror.apply([face.SetAdmission(SLICE, (1,), 0.0, 1)])
    relay.store_mirror.on_watch_requested()
    relay.store_mirror.on_watch_opened(is_continuous=False)
    assert relay.guard.unconfirmed == {SLICE}
    relay.send(*OWNERSHIP_EVENTS)
    relay.store_mirror.on_keepalive()
    assert relay.module.ownership_events == 2 and not relay.guard.unconfirmed


def test_a_slice_that_no_transfer_concerns_is_not_reported_again():
    relay = FakeRelay(requires_continuity=True)
    relay.store_mirror.on_watch_lost()
    relay.read_snapshot()
    assert relay.module.ownership_events == 1 and not relay.guard.unconfirmed


def test_later_orders_for_a_slice_wait_until_its_dropped_orders_are_reported():
    """Guards against review/6, reported as dropped: the module took the slice for closed a second more."""
    relay = FakeRelay(requires_continuity=True)
    relay.store_mirror.on_dropped([face.SetAdmission(SLICE, (1,), 0.0, 1)])
    opening = [face.SetRoute(SLICE, "b1", 1.0)]
    assert relay.guard.withhold(opening) == []
    relay.store_mirror._report_dropped()
    assert relay.module.ownership_events == 2 and relay.guard.withhold(opening) == opening


def test_a_snapshot_requested_before_a_revoked_call_ended_confirms_nothing():
    relay = FakeRelay(requires_continuity=True)
    relay.enqueue(*OUR_ORDERS)
    relay.store_mirror.on_watch_lost()
    relay.store_mirror.on_watch_requested()
    relay.store_mirror.on_watch_opened()
    relay.send(*OWNERSHIP_EVENTS)
    relay.apply_call()  # after the snapshot
    relay.acknowledge()
    relay.store_mirror.on_keepalive()
    assert relay.guard.unconfirmed == {SLICE}
    module_table, stored_table = relay.complete_calls()
    assert module_table == stored_table == {"b1": 1.0} and not relay.guard.unconfirmed


def test_nothing_is_withheld_or_reported_again_while_the_stream_goes_on():
    """A quiet day of an exclusive deployment: each order passes as the module gave it."""
    relay = FakeRelay(requires_continuity=True)
    for marker in range(20):
        closing = [face.SetAdmission(SLICE, (1,), 0.0, 1), face.UpdateMarker(marker, False)]
        assert relay.guard.withhold(closing) is closing
        relay.store_mirror.apply(closing)
        relay.store_mirror.on_keepalive()
    assert relay.module.ownership_events == 1 and relay.calls == []


def test_a_guard_that_requires_no_continuity_withholds_nothing():
    relay = FakeRelay()
    relay.store_mirror.on_watch_lost()
    order = [face.SetRoute(SLICE, "b1", 1.0)]
    assert isinstance(relay.guard, OwnershipGuard) and relay.guard.withhold(order) == order


def test_an_unanswered_call_is_not_delivered_after_its_connection_was_given_up():
    """Guards against review/6, in flight: the kernel delivered a call that waited for the peer's kernel.

    The peer's window is full, as it is for a peer that is out of reach."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = EventLoop(Clock(), lambda error: None)
        ended = []
        client = HttpClient(loop, server.getsockname(), SECOND)
        body = b"x" * (60 << 10)
        client.request("POST", "/", SECOND // 10, ended.append, body, "text/plain")
        while not ended:
            loop.turn()
        assert ended[0].outcome == "timeout"
        peer, _ = server.accept()
        peer.settimeout(10)
        received = b""
        with peer, pytest.raises(ConnectionResetError):
            while part := peer.recv(1 << 16):
                received += part
        assert len(received) < len(body)
