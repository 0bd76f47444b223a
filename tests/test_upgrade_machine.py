"""Both upgrade state machines under seeded schedules of messages, lost messages, hangs and deaths.

After every step at most one process accepts and each connection has one owner; at the end one accepts.
"""

import random

import pytest

from indigohitch.upgrade.phases import Action, Phase
from indigohitch.upgrade.predecessor import Predecessor
from upgrade_actions import OldActions
from upgrade_pair import CONNECTIONS, Pair


def run_schedule(seed, end_share=0.03):
    rng = random.Random(seed)
    pair = Pair(rng)
    ordered_to_end = False
    fault_rate = rng.choice([0.0, 0.1, 0.3])
    for _ in range(rng.randint(5, 60)):
        roll = rng.random()
        if roll < 0.15 and pair.old.is_alive and not (pair.new and pair.new.is_alive):
            pair.step("old", "asked")
        elif roll < 0.15 + end_share and rng.random() < 0.2:
            side = rng.choice(["old", "new"])
            if side == "old" or pair.new:
                # An order to the new process, before it serves, ends only the upgrade.
                ordered_to_end |= side == "old" or pair.new.is_alive and pair.new.machine.accepting
                pair.step(side, "told_to_end")
        elif roll < 0.2:
            pair.deadlines()
        elif moves := pair.choices(rng.random() < fault_rate):
            rng.choice(moves)()
        pair.check()
    pair.run_without_faults()
    return pair, ordered_to_end


@pytest.mark.parametrize("block", range(20))
def test_one_process_accepts_and_owns_each_connection_in_ten_thousand_schedules(block):
    seen = set()
    for seed in range(block * 500, block * 500 + 500):
        pair, ordered_to_end = run_schedule(seed)
        running = [p for p in (pair.old, pair.new) if p and p.is_alive and not p.is_hung]
        context = f"seed {seed}: {pair.steps[-12:]}"
        if running and not ordered_to_end:
            assert sum(p.machine.accepting for p in running) == 1, context
        owned = set().union(*(p.owned for p in (pair.old, pair.new) if p and p.is_alive))
        if not ordered_to_end and any(p.machine.accepting for p in running):
            assert owned | pair.lost | pair.unconfirmed >= set(CONNECTIONS), context
            assert not pair.unconfirmed or (pair.new and pair.new.is_alive), context
        seen |= set(pair.reports)
    assert "upgraded" in seen and len(seen) >= 2


def test_schedules_detect_a_machine_that_reclaims_before_the_new_process_is_dead(monkeypatch):
    """Shows that the schedules above can fail."""

    def reclaim_at_once(self, reason):
        self.phase = Phase.SERVING
        return [Action.KILL]

    monkeypatch.setattr(Predecessor, "reclaim", reclaim_at_once)
    monkeypatch.setattr(OldActions, "kill", lambda self: None)  # SIGKILL does not take effect at once
    with pytest.raises(AssertionError):
        for seed in range(2000):
            run_schedule(seed)


def test_a_second_upgrade_starts_only_after_the_end_of_the_first():
    predecessor = Predecessor()
    assert predecessor.step("asked") == [Action.SPAWN]
    assert predecessor.step("asked") == []
    assert predecessor.step("died") == [Action.CALL_OFF, Action.KILL, Action.REPORT]
    assert predecessor.step("asked") == [Action.SPAWN]


def test_sigterm_before_the_commit_cancels_the_upgrade_and_ends_the_process():
    predecessor = Predecessor()
    for event in ("asked", "hello", "settled"):
        predecessor.step(event)
    assert predecessor.step("told_to_end")[-2:] == [Action.THAW, Action.END]


def test_sigterm_to_both_processes_during_the_drain_ends_both():
    predecessor = Predecessor()
    for event in ("asked", "hello", "settled", "restored", "proven", "accepting", "told_to_end"):
        predecessor.step(event)
    assert predecessor.phase is Phase.DRAINING
    assert predecessor.step("died")[-1] is Action.END


def test_sigterm_after_the_commit_waits_until_it_is_known_which_process_accepts():
    predecessor = Predecessor()
    for event in ("asked", "hello", "settled", "restored", "proven"):
        predecessor.step(event)
    assert predecessor.step("told_to_end") == []
    assert predecessor.step("died") == [Action.RECLAIM, Action.THAW, Action.REPORT, Action.END]
