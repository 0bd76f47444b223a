"""Versions published, stopped by checks, pinned and rolled back."""

import random

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.versions import checks
from indigohitch.versions.checks import Facts
from indigohitch.versions.history import VersionHistory
from indigohitch.versions.publisher import VersionPublisher
from indigohitch.versions.store import Store
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Channel, Version
from tests.publishing import FACTS, READY, SLICES, Plain, Room, line, moved


@pytest.mark.parametrize(
    "rule,change,facts",
    [
        ("owner", {3: {}}, FACTS),
        ("listed", {3: {"x": 1.0}}, FACTS),
        ("gone", {3: {"c": 1.0}}, Facts(READY | {"c": "gone"}, FACTS.slices)),
        ("draining", {3: {"c": 1.0}}, Facts(READY | {"c": "draining"}, FACTS.slices)),
        ("size", {3: {"c": 1.0, "d": 1.0}}, Facts(READY, FACTS.slices, most_lines=SLICES)),
        ("cold", {3: {"c": 1.0}, 4: {"c": 1.0}}, Facts(READY, FACTS.slices, cold={"c": 1.5})),
        ("blast", {slice: {"c": 1.0} for slice in range(40)}, FACTS),
        ("repeats", {3: {"c": 1.0}}, Facts(READY, FACTS.slices, tries={"buy": 2})),
    ],
)
def test_each_rule_stops_only_its_own_fault_and_a_valid_change_passes(rule, change, facts):
    was = root_of({slice: {"ab"[slice % 2]: 1.0} for slice in range(SLICES)})
    assert [fault.rule for fault in checks.faults(was, was.changed(change), facts)] == [rule]
    good = Facts(
        READY, FACTS.slices, cold={"c": 1.5}, tries={"buy": 2, "read": 1}, idempotent=frozenset({"buy"})
    )
    assert not checks.faults(was, was.changed({3: {"c": 1.0}}), good)


@pytest.mark.parametrize("weight", [float("nan"), float("inf"), -1.0, "2", None])
def test_an_invalid_weight_is_stopped_and_its_line_is_logged(weight):
    room = Room()
    assert room.publisher.apply_orders(1, [line(5, "c", weight)], "bad") is None
    assert room.said[-1][1]["faults"][0].startswith("weights: slice 5 c")
    room.go()
    room.same()


def test_a_stopped_change_is_published_only_once_it_is_corrected():
    room = Room()
    before = room.publisher.root
    assert room.publisher.apply_orders(1, [line(4, "x"), line(4, "a", 0)], "names one not listed") is None
    assert room.said[-1][0] == "version_stopped" and "slice 4 x" in room.said[-1][1]["faults"][0]
    assert room.go() == 0 and room.publisher.root == before
    assert room.publisher.apply_orders(2, [line(4, "c"), line(4, "x", 0)], "cured").root.lines_of(4) == {
        "c": 1.0
    }
    assert room.go() == 3 * 2
    room.same()


def test_a_rollback_sends_one_delta_and_unpinning_sends_the_sum_of_held_orders():
    room = Room()
    first = room.publisher.current
    for slice in range(10):
        room.publisher.apply_orders(1, moved(slice, "ab"[slice % 2], "c"), f"order {slice}")
    room.go()
    plan = room.publisher.plan_rollback(first.number)
    assert (
        not plan.amended.notes
        and plan.prices[0].lines == 20
        and plan.prices[0].way == "delta"
        and room.go() == 0
    )
    room.publisher.rollback(2, first.number, "op")
    assert room.go() == 3 * 20 and room.publisher.root == first.root
    # The pin holds these orders, and they cancel out.
    for back in (moved(0, "c", "a"), moved(0, "a", "d"), moved(0, "d", "c")):
        assert room.publisher.apply_orders(3, back, "module") is None
    assert room.go() == 0
    assert room.publisher.unpin(4, "op").root.lines_of(0) == {"c": 1.0}
    assert room.go() == 3 * 20
    room.same()


def test_a_rollback_during_a_drain_is_amended_and_notes_it():
    room = Room()
    first = room.publisher.current
    for slice in range(0, 20, 2):
        room.publisher.apply_orders(1, moved(slice, "a", "c"), "away from a")
    room.go()
    room.publisher.update_facts(2, Facts(READY | {"a": "draining"}, FACTS.slices, cold={"b": 50.0}), "drain")
    back = room.publisher.rollback(3, first.number, "op")
    assert back.version is not None and any("a is draining" in said for said in back.amended.notes)
    room.go()
    room.same()
    assert all("a" not in table.lines for _, table in room.publisher.root.items())
    assert (
        not checks.owner(Root(), room.publisher.root, room.publisher.facts)
        or room.publisher.root.slices == SLICES
    )


def test_a_rollback_to_a_version_with_a_cold_backend_stays_within_its_limit():
    room = Room()
    for slice in range(10):
        room.publisher.apply_orders(1, moved(slice, "ab"[slice % 2], "c"), "to c")
    with_c = room.publisher.current
    for slice in range(10):
        room.publisher.apply_orders(2, moved(slice, "c", "d"), "to d")
    room.publisher.update_facts(3, Facts(READY, FACTS.slices, cold={"c": 3.0}), "c was restarted")
    back = room.publisher.rollback(4, with_c.number, "op")
    assert sum(table.lines.get("c", 0) for _, table in back.version.root.items()) == 3.0
    assert sum("c is cold" in said for said in back.amended.notes) == 7 and back.version.root.slices == SLICES


def test_of_two_overlapping_rollbacks_the_last_one_wins():
    room = Room()
    first = room.publisher.current
    second = room.publisher.apply_orders(1, moved(0, "a", "c"), "2")
    room.publisher.apply_orders(1, moved(1, "b", "d"), "3")
    room.go()
    room.publisher.rollback(2, first.number, "one")
    for name, session in room.publisher.sessions.items():
        for message in session.due(room.now + 5):
            room.relays[name].receive(message)  # the answers are lost
    room.publisher.rollback(3, second.number, "other")
    for name, relay in room.relays.items():
        room.join(name, relay)
    room.go()
    room.same()
    assert room.publisher.root == second.root and room.publisher.pin.by == "other"


def test_a_rollback_while_most_relays_are_disconnected_reaches_all():
    room, rng = Room(relays=20), random.Random(1)
    first = room.publisher.current
    room.publisher.apply_orders(1, moved(0, "a", "c"), "2")
    for number in rng.sample(range(20), 16):
        session = room.publisher.sessions[f"r{number}"]
        session.due(room.now + 1)
        session.on_disconnect(session.connection)
    room.publisher.rollback(2, first.number, "op")
    room.go()
    # 16 never received version 2.
    assert sum(relay.root == first.root for relay in room.relays.values()) == 20
    assert sum(session.in_sync for session in room.publisher.sessions.values()) == 4
    for name, relay in room.relays.items():
        room.join(name, relay)
    assert room.go() == 0
    assert all(session.in_sync for session in room.publisher.sessions.values())


def test_a_pin_stays_when_the_owner_of_slices_dies():
    room = Room()
    room.publisher.pin_current(1, "op")
    assert room.publisher.apply_orders(2, moved(0, "a", "c") + moved(2, "a", "d"), "held") is None
    made = room.publisher.update_facts(3, Facts(READY | {"a": "gone"}, FACTS.slices), "a died")
    assert made is not None and room.publisher.pin is not None
    assert all("a" not in table.lines for _, table in made.root.items()) and made.root.slices == SLICES
    assert made.root.lines_of(0) == {"c": 1.0}  # the module's line is preferred to another ready backend
    assert made.root.lines_of(1) == {"b": 1.0}  # and no other slice changed
    room.go()
    room.same()


@pytest.mark.parametrize("sent", [False, True])
def test_a_process_killed_before_or_after_sending_sends_nothing_twice(sent):
    """After a restart, relays are recognized by their digests, and are not sent what they hold."""
    files = Plain()
    store = Store(files, "f")
    store.open()
    room = Room(store=store)
    room.publisher.apply_orders(1, moved(0, "a", "c"), "written")
    if sent:
        for name, session in room.publisher.sessions.items():
            for message in session.due(room.now + 1):
                room.relays[name].receive(message)
    files.open.clear()
    again = Store(files, "f")
    again.open()
    after = Room(relays=0, store=again)
    assert after.publisher.current.number == 2
    for name, relay in room.relays.items():
        after.join(name, relay)
    assert after.go() == (0 if sent else 3 * 2)
    after.same()


def test_a_version_that_can_not_be_stored_is_not_sent_and_a_pin_survives_a_restart():
    files = Plain()
    store = Store(files, "f")
    store.open()
    room = Room(store=store)
    files.room = 10
    with pytest.raises(OSError):
        room.publisher.apply_orders(1, moved(0, "a", "c"), "no room")
    assert room.go() == 0
    files.room = 1 << 30
    made = room.publisher.apply_orders(2, moved(2, "a", "c"), "room")
    # It includes the orders that could not be stored.
    assert made.number == 2 and made.root.lines_of(0) == {"c": 1.0}
    room.publisher.rollback(3, 1, "op")
    again = Store(files, "f")
    again.open()
    publisher = VersionPublisher(again, FACTS, Channel())
    assert publisher.pin.by == "op" and publisher.root == room.publisher.root


def test_history_forgets_old_versions_but_not_what_a_relay_holds():
    history = VersionHistory(last=3)
    roots = [root_of({1: {f"n{number}": 1.0}}) for number in range(20)]
    history.count_holder((), [roots[2].digest])
    for number, root in enumerate(roots, 1):
        history.add(Version(number, root, None, "x", 0))
        if number == 5:
            history.name("good", 5)
    assert list(history.by_number) == [3, 5, 18, 19, 20] and history.find(roots[2].digest) == roots[2]
    history.count_holder([roots[2].digest], [])
    history.unname("good")
    assert list(history.by_number) == [18, 19, 20]
    with pytest.raises(InvalidRequestError):
        history.get(5)
    assert history.get(history.get(19).version_id.text()).number == 19


def test_a_content_of_two_versions_is_found_in_the_one_that_is_kept():
    history, root, other = VersionHistory(last=1), root_of({1: {"a": 1.0}}), root_of({1: {"b": 1.0}})
    history.add(Version(1, root, None, "x", 0))
    history.name("good", 1)
    history.add(Version(2, root, None, "x", 0))
    history.add(Version(3, other, None, "x", 0))  # the second is forgotten, the first has a name
    assert list(history.by_number) == [1, 3] and history.find(root.digest) is root
    assert history.unname("good")[0].number == 1 and history.find(root.digest) is None
