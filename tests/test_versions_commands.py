"""Operators' commands on versions and their answers."""

import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.versions.checks import Facts
from indigohitch.versions.commands import answer
from tests.publishing import FACTS, READY, Room, moved


def test_a_rollback_is_dry_run_then_done_and_unpinned():
    room = Room()
    publisher = room.publisher
    room.publisher.apply_orders(1, moved(0, "a", "c") + moved(1, "b", "d"), "module moves")
    room.go()
    assert answer(publisher, 2, ["diff", "1", "2"], "op") == ["slice 0: a=1 -> c=1", "slice 1: b=1 -> d=1"]
    dry = answer(publisher, 2, ["rollback", "1", "--dry-run"], "op")
    assert dry[:2] == ["dry run, nothing is sent", "delta: 4 lines, 1 messages and 0.0 s a relay"]
    assert room.go() == 0 and publisher.pin is None
    assert answer(publisher, 3, ["rollback", "1"], "op")[0].endswith("goes out, pinned")
    assert room.go() == 3 * 4
    assert answer(publisher, 4, ["list"], "op")[:2] == [
        f"pinned at {publisher.history.get(1).version_id.text()} by op",
        "3 relays, 0 on the way",
    ]
    assert "goes out" in answer(publisher, 5, ["unpin"], "op")[0]
    assert room.go() == 3 * 4
    room.same()


def test_a_rollback_that_a_rule_stops_changes_nothing_and_is_reported():
    room = Room()
    for slice in range(0, 100, 2):
        room.publisher.apply_orders(1, moved(slice, "a", "c"), "away")
    room.go()
    lines = answer(room.publisher, 2, ["rollback", "1"], "op")
    assert lines[0] == "nothing was changed" and lines[1].startswith("stopped by blast")
    assert room.publisher.pin is None
    assert answer(room.publisher, 2, ["rollback", "1", "--anyway"], "op")[0].endswith("pinned")


def test_each_amended_line_is_reported():
    room = Room()
    room.publisher.apply_orders(1, moved(0, "a", "c"), "away")
    room.publisher.update_facts(2, Facts(READY | {"a": "draining"}, FACTS.slices, blast=1.0), "drain")
    lines = answer(room.publisher, 3, ["rollback", "1", "--dry-run"], "op")
    assert "amended: slice 0: a is draining, in its place c" in lines


@pytest.mark.parametrize(
    "words",
    [
        [],
        ["lost"],
        ["show"],
        ["show", "99"],
        ["rollback", "1", "--now"],
        ["unpin"],
        ["show", "1", "x"],
        ["diff", "1", "1-abc"],
    ],
)
def test_an_invalid_command_is_rejected_with_a_remedy(words):
    with pytest.raises(InvalidRequestError) as error:
        answer(Room().publisher, 1, words, "op")
    assert error.value.remedy
