"""Seeded schedules and the small model: no invariant is violated, and removing any guard is detected."""

import pytest

from proofs import ledger_model
from proofs.ledger_guards import GUARDS, taken_away
from proofs.ledger_schedules import play


@pytest.mark.parametrize("first_seed", range(1, 161, 40))
def test_schedules_violate_no_invariant(first_seed):
    breaches = [breach for _, breach in map(play, range(first_seed, first_seed + 40)) if breach]
    assert not breaches


@pytest.mark.parametrize("guard", GUARDS)
def test_schedules_detect_a_removed_guard(guard):
    with taken_away(guard):
        assert any(play(seed)[1] for seed in range(1, 400))


@pytest.mark.parametrize("scene", [scene.name for scene in ledger_model.SCENES])
def test_model_violates_no_invariant(scene):
    states, steps, breach = ledger_model.explore(scene, True, None)
    assert not breach and steps > states > 100


@pytest.mark.parametrize(
    "guard, scene",
    [
        ("vote_once", "two stand at once"),
        ("written", "another takes over"),
        ("read_quorum", "a read while another takes over"),
    ],
)
def test_model_detects_a_removed_guard(guard, scene):
    assert ledger_model.explore(scene, True, guard)[2]
