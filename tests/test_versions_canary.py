"""Staged rollouts: what halts them, and what does not."""

import random

import pytest
from scipy.stats import fisher_exact

from indigohitch.errors import UnavailableError
from indigohitch.versions.canary import SIGNIFICANCE, CanaryAnalysis, RequestCounts, Verdict, p_value
from indigohitch.versions.checks import Facts
from tests.publishing import FACTS, READY, Room, moved


def test_a_harmful_staged_rollout_is_rolled_back_and_pinned():
    room = Room(relays=20)
    good = room.publisher.current
    room.publisher.rollout.begin(1)
    room.publisher.apply_orders(1, moved(0, "a", "c"), "harms")
    room.go()
    assert sum(relay.root != good.root for relay in room.relays.values()) == 1
    harm = {
        name: RequestCounts(50 if name in room.publisher.rollout.canaries else 1, 100) for name in room.relays
    }
    assert room.publisher.rollout.look(2, harm) is Verdict.CONTINUE
    assert room.publisher.rollout.look(3, harm) is Verdict.HALTED
    room.go()
    assert all(relay.root == good.root for relay in room.relays.values()) and room.publisher.pin.by == "halt"
    assert room.publisher.unpin(4, "op") is None and room.publisher.faults[0].rule == "halted"
    with pytest.raises(UnavailableError):
        room.publisher.rollout.begin(5)


def test_a_backend_that_dies_during_a_staged_rollout_does_not_halt_it():
    room = Room(relays=20)
    room.publisher.rollout.begin(1)
    room.publisher.apply_orders(1, moved(0, "a", "c"), "good")
    room.go()
    room.publisher.update_facts(2, Facts(READY | {"b": "gone"}, FACTS.slices), "b died")
    assert all("b" not in table.lines for _, table in room.publisher.rollout.baseline.root.items())
    room.go()
    while room.publisher.rollout.analysis is not None:
        assert (
            room.publisher.rollout.look(3, {name: RequestCounts(40, 100) for name in room.relays})
            is not Verdict.HALTED
        )
        room.go()
    room.same()
    assert room.publisher.root.lines_of(0) == {"c": 1.0} and room.publisher.pin is None


def test_p_values_equal_those_of_scipy_and_equal_relays_do_not_halt():
    rng = random.Random(2)
    for _ in range(50):
        all, other = rng.randint(20, 200), rng.randint(20, 1000)
        bad, other_bad = rng.randint(0, 20), rng.randint(0, 20)
        expected = fisher_exact([[bad, all - bad], [other_bad, other - other_bad]], "greater").pvalue
        assert p_value(RequestCounts(bad, all), RequestCounts(other_bad, other)) == pytest.approx(
            expected, rel=1e-6
        )
    halted = 0
    for _ in range(200):
        analysis = CanaryAnalysis([f"r{number}" for number in range(100)])
        while analysis.verdict is Verdict.CONTINUE:
            analysis.look(
                RequestCounts(sum(rng.random() < 0.05 for _ in range(50)), 50),
                RequestCounts(sum(rng.random() < 0.05 for _ in range(200)), 200),
            )
        halted += analysis.verdict is Verdict.HALTED
    assert halted == 0 and 0 < SIGNIFICANCE < 0.01
