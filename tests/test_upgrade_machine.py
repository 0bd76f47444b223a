"""The two upgrade machines together, through seeded orders of messages, loss, hanging and death: after every
step nobody accepts beside another, and each connection has one reader; in the end one accepts."""

import random

import pytest

from indigohitch.upgrade.phases import Act, Phase
from indigohitch.upgrade.predecessor import Predecessor
from upgrade_actions import OldActions
from upgrade_pair import CONNECTIONS, Pair


def walk(seed, end_at=0.03):
    rng = random.Random(seed)
    pair = Pair(rng)
    asked_to_end = False
    rate = rng.choice([0.0, 0.1, 0.3])
    for _ in range(rng.randint(5, 60)):
        roll = rng.random()
        if roll < 0.15 and pair.old.alive and not (pair.new and pair.new.alive):
            pair.step("old", "asked")
        elif roll < 0.15 + end_at and rng.random() < 0.2:
            side = rng.choice(["old", "new"])
            if side == "old" or pair.new:
                # A word to the new one alone, before it is the service, ends just the upgrade.
                asked_to_end |= side == "old" or pair.new.alive and pair.new.machine.accepting
                pair.step(side, "told_to_end")
        elif roll < 0.2:
            pair.deadlines()
        elif found := pair.choices(rng.random() < rate):
            rng.choice(found)()
        pair.check()
    pair.settle()
    return pair, asked_to_end


@pytest.mark.parametrize("block", range(20))
def test_ten_thousand_schedules(block):
    seen = set()
    for seed in range(block * 500, block * 500 + 500):
        pair, asked_to_end = walk(seed)
        living = [p for p in (pair.old, pair.new) if p and p.alive and not p.hung]
        story = f"seed {seed}: {pair.steps[-12:]}"
        if living and not asked_to_end:
            assert sum(p.machine.accepting for p in living) == 1, story
        owned = set().union(*(p.reads for p in (pair.old, pair.new) if p and p.alive))
        if not asked_to_end and any(p.machine.accepting for p in living):
            assert owned | pair.died_with | pair.passed >= set(CONNECTIONS), story
            assert not pair.passed or (pair.new and pair.new.alive), story
        seen |= set(pair.reports)
    assert "upgraded" in seen and len(seen) >= 2


def test_a_machine_that_reclaims_too_soon_is_found(monkeypatch):
    """The walk can fail: an old one that takes back without waiting for the death is seen."""

    def hasty(self, why):
        self.phase = Phase.SERVING
        return [Act.KILL]

    monkeypatch.setattr(Predecessor, "reclaim", hasty)
    monkeypatch.setattr(OldActions, "kill", lambda self: None)  # SIGKILL takes its time
    with pytest.raises(AssertionError):
        for seed in range(2000):
            walk(seed)


def test_only_one_upgrade_at_a_time():
    giver = Predecessor()
    assert giver.step("asked") == [Act.SPAWN]
    assert giver.step("asked") == []
    assert giver.step("died") == [Act.CALL_OFF, Act.KILL, Act.REPORT]
    assert giver.step("asked") == [Act.SPAWN]


def test_told_to_end_before_the_commit_calls_off_and_ends():
    giver = Predecessor()
    for event in ("asked", "hello", "settled"):
        giver.step(event)
    assert giver.step("told_to_end")[-2:] == [Act.THAW, Act.END]


def test_both_told_to_end_while_the_old_one_drains_end_both():
    giver = Predecessor()
    for event in ("asked", "hello", "settled", "restored", "proven", "accepting", "told_to_end"):
        giver.step(event)
    assert giver.phase is Phase.DRAINING
    assert giver.step("died")[-1] is Act.END


def test_told_to_end_after_the_word_waits_until_it_is_known_who_accepts():
    giver = Predecessor()
    for event in ("asked", "hello", "settled", "restored", "proven"):
        giver.step(event)
    assert giver.step("told_to_end") == []
    assert giver.step("died") == [Act.RECLAIM, Act.THAW, Act.REPORT, Act.END]
