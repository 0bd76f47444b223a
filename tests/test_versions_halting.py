"""Staged pushes: what stops them, and what does not."""

import random

import pytest
from scipy.stats import fisher_exact

from indigohitch.errors import NotNow
from indigohitch.versions.checks import Facts
from indigohitch.versions.halting import ALPHA, Course, Staged, likelihood
from tests.deskroom import FACTS, READY, Room, moved


def test_a_staged_push_that_harms_is_taken_back_and_one_that_does_not_goes_on():
    room = Room(relays=20)
    good = room.desk.current
    room.desk.pushing.begin(1)
    room.desk.ordered(1, moved(0, "a", "c"), "harms")
    room.go()
    assert sum(relay.root != good.root for relay in room.relays.values()) == 1
    harm = {name: (50 if name in room.desk.pushing.got else 1, 100) for name in room.relays}
    assert room.desk.pushing.looked(2, harm) is Course.STAGED
    assert room.desk.pushing.looked(3, harm) is Course.HALTED
    room.go()
    assert all(relay.root == good.root for relay in room.relays.values()) and room.desk.pin.by == "halt"
    assert room.desk.unpinned(4, "op") is None and room.desk.faults[0].rule == "halted"
    with pytest.raises(NotNow):
        room.desk.pushing.begin(5)


def test_a_server_that_dies_during_a_staged_push_halts_nothing():
    room = Room(relays=20)
    room.desk.pushing.begin(1)
    room.desk.ordered(1, moved(0, "a", "c"), "good")
    room.go()
    room.desk.heard(2, Facts(READY | {"b": "gone"}, FACTS.slices), "b died")
    assert all("b" not in table.lines for _, table in room.desk.pushing.before.root.items())
    room.go()
    while room.desk.pushing.staged is not None:
        assert room.desk.pushing.looked(3, {name: (40, 100) for name in room.relays}) is not Course.HALTED
        room.go()
    room.same()
    assert room.desk.root.lines_of(0) == {"c": 1.0} and room.desk.pin is None


def test_the_test_is_the_library_s_and_equal_relays_hardly_halt():
    chance = random.Random(2)
    for _ in range(50):
        all, other = chance.randint(20, 200), chance.randint(20, 1000)
        bad, other_bad = chance.randint(0, 20), chance.randint(0, 20)
        expected = fisher_exact([[bad, all - bad], [other_bad, other - other_bad]], "greater").pvalue
        assert likelihood(bad, all, other_bad, other) == pytest.approx(expected, rel=1e-6)
    halted = 0
    for _ in range(200):
        staged = Staged([f"r{number}" for number in range(100)])
        while staged.course is Course.STAGED:
            staged.look(
                sum(chance.random() < 0.05 for _ in range(50)),
                50,
                sum(chance.random() < 0.05 for _ in range(200)),
                200,
            )
        halted += staged.course is Course.HALTED
    assert halted == 0 and 0 < ALPHA < 0.01
