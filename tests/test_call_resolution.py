"""Calls with unknown outcome: whether the stored tables or a marker show that they were applied."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_resolution import CallOutcome, MarkerEvidence, TableEvidence
from indigohitch.platform_protocol.stored_tables import StoredTable
from stage import drain, none_lost
from test_channel_backlog import (
    UNRESOLVED_FAULTS,
    apply_times,
    limited_room,
    move_route,
    run_until_idle,
    start_with_channel,
)
from waiting import eventually


@pytest.mark.parametrize("fault", UNRESOLVED_FAULTS)
def test_a_call_that_the_store_shows_as_applied_is_not_retried(platform, fault):
    """No proxy has acknowledged its marker yet, as when a channel drained at 22% of its stated rate."""
    program = start_with_channel(platform, 30.0, 320.0)
    platform.marks_told = False
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    assert eventually(lambda: program.said("call_outcome_resolved"))[0]["effect"] == "stands"
    drain(platform, "b2")
    put = [order for call in platform.calls for order in call if order.startswith("put,")]
    assert len(put) == len(set(put)) and none_lost(platform)


@pytest.mark.parametrize("fault", ["reset", "garbage", "503"])
def test_a_call_that_was_not_applied_is_retried_at_once(platform, fault):
    """Its lines are not in the channel, so a drain does not wait for them."""
    program = start_with_channel(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    unresolved_ms = eventually(lambda: program.said("relay_call_unresolved"))[0]["ms"]
    resolved = eventually(lambda: program.said("call_outcome_resolved"))[0]
    retry = next(sent for sent in program.said("relay_call_sent") if sent["ms"] >= unresolved_ms)
    assert resolved["effect"] == "none" and retry["tries"] == 2 and retry["ms"] - unresolved_ms < 200
    assert len(apply_times(platform, platform.marks[-1])) == 1 and none_lost(platform)


@pytest.mark.parametrize("is_applied", [True, False])
def test_a_channel_at_a_fifth_of_its_rate_is_not_filled_twice(monkeypatch, is_applied):
    """On a recorded day the channel drained far slower than the settings state, so the stated rate does not
    show when the lines of a call have left."""
    room, channel = limited_room(monkeypatch)
    channel.drain_rate /= 5
    for tables in (room.store, room.known_tables):
        tables.update({number: StoredTable({"old": 1.0}) for number in range(30)})
    orders = [order for number in range(30) for order in move_route(number, 1)[:2]] + [
        face.UpdateMarker(1, False)
    ]
    room.relay.enqueue(orders)
    started_at = room.clock.now()
    if is_applied:
        channel.apply_call()
    room.answer("reset")
    run_until_idle(room, channel)
    assert channel.peak_lines <= 1000 and room.applied == orders and room.store == room.known_tables
    assert room.clock.now() - started_at < SECOND // 2  # the routes of a drain have two seconds


def test_the_store_is_queried_again_after_a_broken_stream(platform):
    program = start_with_channel(platform, 30.0)
    platform.marks_told = False
    platform.relay_faults.append("reset done")
    platform.news_faults += ["unreadable", "reset"]
    drain(platform, "b1")
    assert eventually(lambda: program.said("call_outcome_resolved"))[0]["effect"] == "stands"
    assert none_lost(platform)


def test_tables_prove_the_outcome_of_a_call():
    stored = {1: StoredTable({"a": 1.0}), 2: StoredTable({"a": 1.0, "b": 1.0}), 3: StoredTable({})}

    def move(table, old, new):
        return [face.SetRoute(table, new, 1.0), face.SetRoute(table, old, 0.0)]

    orders = [*move(1, "a", "c"), face.SetRoute(3, "c", 1.0), *move(2, "a", "c"), face.UpdateMarker(7, False)]

    def outcome_of(*routes, of=orders):
        evidence = TableEvidence(stored, of)
        for route in routes:
            evidence.add_route(*route)
        return evidence.outcome

    assert TableEvidence(stored, orders).applied_count == 6  # the marker directly follows applied orders
    # The order before the marker may have been rejected.
    assert TableEvidence(stored, [*orders[:5], face.SetRoute(9, "c", 1.0), orders[5]]).applied_count == 5
    assert (
        outcome_of()
        is outcome_of((1, "c", 1.0))
        is outcome_of((3, "c", 1.0), (2, "b", 1.0))
        is CallOutcome.UNKNOWN
    )
    assert outcome_of((1, "c", 1.0), (2, "b", 1.0), (2, "c", 1.0)) is CallOutcome.APPLIED
    assert outcome_of((1, "a", 1.0), (2, "a", 1.0), (2, "b", 1.0)) is CallOutcome.NOT_APPLIED
    # Applied in part: an order between was rejected.
    assert outcome_of((1, "c", 1.0), (2, "a", 1.0)) is CallOutcome.UNKNOWN
    assert outcome_of((1, "a", 2.0), (2, "c", 2.0)) is CallOutcome.UNKNOWN  # changed by another coordinator
    assert outcome_of((1, "c", 1.0), of=move(1, "a", "c")) is CallOutcome.APPLIED
    for undecidable in (
        [face.UpdateMarker(7, False)],
        [face.SetRoute(3, "c", 1.0)],
        [face.SetRoute(1, "a", 1.0)],
        move(9, "a", "b"),
    ):
        assert not TableEvidence(stored, undecidable).can_decide


def test_a_marker_of_an_earlier_call_proves_nothing():
    evidence = MarkerEvidence()
    evidence.start([face.UpdateMarker(7, False)])
    assert (
        not evidence.acknowledge(6)
        and not evidence.is_confirmed
        and evidence.acknowledge(7)
        and evidence.is_confirmed
    )
    evidence.start([face.UpdateMarker(7, False)])
    assert not evidence.acknowledge(7) and not evidence.is_confirmed
