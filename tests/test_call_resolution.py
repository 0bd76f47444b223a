"""A large call to the relay in doubt: the store tells whether it goes again."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_resolution import CallOutcome, MarkerEvidence, TableEvidence
from indigohitch.platform_protocol.stored_tables import StoredTable
from stage import drain, none_lost
from test_channel_backlog import UNCLEAR, bounded, moved, play, rounds, serving
from waiting import eventually


@pytest.mark.parametrize("fault", UNCLEAR)
def test_a_call_that_stands_by_the_store_does_not_go_again(platform, fault):
    """No proxy has answered its mark yet: a channel was seen at 22% of its pace."""
    program = serving(platform, 30.0, 320.0)
    platform.marks_told = False
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    assert eventually(lambda: program.said("call_outcome_resolved"))[0]["effect"] == "stands"
    drain(platform, "b2")
    put = [order for call in platform.calls for order in call if order.startswith("put,")]
    assert len(put) == len(set(put)) and none_lost(platform)


@pytest.mark.parametrize("fault", ["reset", "garbage", "503"])
def test_a_call_that_was_not_carried_out_goes_again_at_once(platform, fault):
    """Its lines don't wait in the channel: a drain does not wait for them."""
    program = serving(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    unclear = eventually(lambda: program.said("relay_call_unresolved"))[0]["ms"]
    found = eventually(lambda: program.said("call_outcome_resolved"))[0]
    again = next(sent for sent in program.said("relay_call_sent") if sent["ms"] >= unclear)
    assert found["effect"] == "none" and again["tries"] == 2 and again["ms"] - unclear < 200
    assert len(rounds(platform, platform.marks[-1])) == 1 and none_lost(platform)


@pytest.mark.parametrize("carried_out", [True, False])
def test_a_channel_at_a_fifth_of_its_pace_is_not_filled_twice(monkeypatch, carried_out):
    """Seen on a recorded day: what the settings say of the pace tells nothing of when lines have left."""
    room, channel = bounded(monkeypatch)
    channel.pace /= 5
    for tables in (room.store, room.stood):
        tables.update({number: StoredTable({"old": 1.0}) for number in range(30)})
    orders = [order for number in range(30) for order in moved(number, 1)[:2]] + [face.UpdateMarker(1, False)]
    room.relay.order(orders)
    began = room.clock.now()
    if carried_out:
        channel.carried_out()
    room.answer("reset")
    play(room, channel)
    assert channel.most <= 1000 and room.stand == orders and room.store == room.stood
    assert room.clock.now() - began < SECOND // 2  # a drain's lines have two seconds


def test_a_store_that_breaks_off_is_asked_again(platform):
    program = serving(platform, 30.0)
    platform.marks_told = False
    platform.relay_faults.append("reset done")
    platform.news_faults += ["unreadable", "reset"]
    drain(platform, "b1")
    assert eventually(lambda: program.said("call_outcome_resolved"))[0]["effect"] == "stands"
    assert none_lost(platform)


def test_what_the_tables_tell_of_a_call():
    stood = {1: StoredTable({"a": 1.0}), 2: StoredTable({"a": 1.0, "b": 1.0}), 3: StoredTable({})}

    def move(table, old, new):
        return [face.SetRoute(table, new, 1.0), face.SetRoute(table, old, 0.0)]

    orders = [*move(1, "a", "c"), face.SetRoute(3, "c", 1.0), *move(2, "a", "c"), face.UpdateMarker(7, False)]

    def told(*lines, of=orders):
        evidence = TableEvidence(stood, of)
        for line in lines:
            evidence.add_route(*line)
        return evidence.outcome

    assert TableEvidence(stood, orders).applied_count == 6  # the mark went with what it stands behind
    assert (
        TableEvidence(stood, [*orders[:5], face.SetRoute(9, "c", 1.0), orders[5]]).applied_count == 5
    )  # may be refused
    assert told() is told((1, "c", 1.0)) is told((3, "c", 1.0), (2, "b", 1.0)) is CallOutcome.UNKNOWN
    assert told((1, "c", 1.0), (2, "b", 1.0), (2, "c", 1.0)) is CallOutcome.APPLIED
    assert told((1, "a", 1.0), (2, "a", 1.0), (2, "b", 1.0)) is CallOutcome.NOT_APPLIED
    assert told((1, "c", 1.0), (2, "a", 1.0)) is CallOutcome.UNKNOWN  # in part: an order between was refused
    assert told((1, "a", 2.0), (2, "c", 2.0)) is CallOutcome.UNKNOWN  # written by another
    assert told((1, "c", 1.0), of=move(1, "a", "c")) is CallOutcome.APPLIED
    for silent in (
        [face.UpdateMarker(7, False)],
        [face.SetRoute(3, "c", 1.0)],
        [face.SetRoute(1, "a", 1.0)],
        move(9, "a", "b"),
    ):
        assert not TableEvidence(stood, silent).can_decide


def test_a_mark_that_an_earlier_call_had_proves_nothing():
    proof = MarkerEvidence()
    proof.start([face.UpdateMarker(7, False)])
    assert not proof.acknowledge(6) and not proof.is_confirmed and proof.acknowledge(7) and proof.is_confirmed
    proof.start([face.UpdateMarker(7, False)])
    assert not proof.acknowledge(7) and not proof.is_confirmed
