"""Explores every interleaving of one upgrade that the two state machines can distinguish.

The moves are messages, deadlines, SIGTERM to either process, a death, a hang and a cut of the channel, in
every phase.
"""

import copy

import pytest

import upgrade_pair
from indigohitch.upgrade.phases import Action, Phase
from indigohitch.upgrade.predecessor import Predecessor
from upgrade_pair import Pair


class FixedRandom:
    """Replaces the random generator: optional failures don't happen, and all idle connections are passed."""

    def __init__(self, loses_all):
        self.loses_all = loses_all

    def random(self):
        return 0.5

    def randint(self, low, high):
        return low if self.loses_all else high


def regular_moves(pair):
    """Return the possible next moves without faults."""
    old = pair.old
    new = pair.new
    moves = []
    for side, process in (("old", old), ("new", new)):
        if process is None or not process.is_alive or process.is_hung:
            continue
        if process.inbox:
            moves.append(lambda p, side=side: p.deliver(side))
        elif process.channel_cut and not process.noticed_cut:
            moves.append(lambda p, side=side: p.eof(side))
        if process.other_is_dead and not process.noticed_death:
            moves.append(lambda p, side=side: p.death(side))
        elif process.machine.timeout_name:  # a death is reported long before any deadline
            moves.append(lambda p, side=side: p.step(side, "deadline"))
    if new and new.is_alive and not new.is_hung:
        if not new.has_started:
            moves.append(lambda p: (setattr(p.new, "has_started", True), p.step("new", "started")))
        if new.ordered_to_end:
            moves.append(lambda p: p.end_new_by_order())
    if old.is_alive:
        for event in {Phase.SETTLING: ["settled"], Phase.DRAINING: ["drained", "watched"]}.get(
            old.machine.phase, []
        ):
            moves.append(lambda p, event=event: p.step("old", event))
        if old.machine.phase is Phase.DRAINING and old.owned:
            moves.append(lambda p: p.pass_late())
    return moves


def fault_moves(pair, done):
    """Return the possible faults with their names; those in `done` don't happen again."""
    moves = []
    for side, process in (("old", pair.old), ("new", pair.new)):
        if process and process.is_alive:
            name = f"term {side}"
            if side == "old" and process.machine.phase in Predecessor.BEFORE_COMMIT:
                name = "term old before"
            if not {name, "term old before"} & done:
                moves.append((name, lambda p, side=side: p.step(side, "told_to_end")))
            if "kill" not in done:
                moves.append(("kill", lambda p, side=side: p.kill(getattr(p, side))))
    if pair.new and pair.new.is_alive and not {"hang", "cut"} & done:
        moves.append(("hang", lambda p: setattr(p.new, "is_hung", True)))
        if pair.old.is_alive:  # the messages of a dead process have arrived already
            moves.append(("cut", lambda p: p.cut()))
    return moves


def state_key(pair, done):
    """Return a key that is equal for states which the rest of a schedule can't distinguish."""

    def process_key(process):
        if process is None:
            return None
        machine = tuple(sorted((k, str(v)) for k, v in vars(process.machine).items() if k != "result"))
        other_values = tuple(
            sorted((k, str(v)) for k, v in vars(process).items() if k not in ("machine", "owned"))
        )
        return machine, other_values, frozenset(process.owned)

    return (
        process_key(pair.old),
        process_key(pair.new),
        frozenset(pair.unconfirmed),
        frozenset(pair.received),
        frozenset(pair.lost),
        frozenset(done),
    )


def check_final_state(pair, done, context):
    """Check who serves, who has ended and who owns each connection when only faults can still happen."""
    serving = [p for p in (pair.old, pair.new) if p and p.accepting]
    # Only an order to the serving process, or to the old one before the commit, ends the service.
    if not done & {"term old", "term new", "term old before"}:
        running = [p for p in (pair.old, pair.new) if p and p.is_alive and not p.is_hung]
        assert len(serving) == 1 or "kill" in done and not running, context
    old_was_ordered = "term old" in done
    new_was_ordered = pair.new is not None and pair.new.ordered_to_end
    if old_was_ordered or "term old before" in done:
        assert not pair.old.is_alive, context
    if "term old before" in done:
        assert not serving, context
    if new_was_ordered and "cut" not in done and not pair.new.is_hung:
        assert not pair.new.is_alive and (not serving or "kill" in done), context
    if serving:
        owned = set().union(*(p.owned for p in (pair.old, pair.new) if p and p.is_alive))
        assert owned | pair.lost >= set(upgrade_pair.CONNECTIONS), context


def explore(loses_all, max_states=10**6):
    """Walk all states that can be reached; return their number and that of the final ones."""
    start = Pair(FixedRandom(loses_all))
    start.step("old", "asked")
    seen = set()
    pending = [(start, frozenset())]
    final_count = 0
    while pending:
        pair, done = pending.pop()
        if (key := state_key(pair, done)) in seen:
            continue
        seen.add(key)
        assert len(seen) < max_states
        is_final = True  # no move without a fault changes the state
        for name, move in [(None, move) for move in regular_moves(pair)] + fault_moves(pair, done):
            after = copy.deepcopy(pair)
            move(after)
            after.check()
            pending.append((after, done | {name} if name else done))
            is_final &= name is not None or state_key(after, done) == key
        if is_final:
            final_count += 1
            check_final_state(pair, done, (sorted(done), pair.steps))
    return len(seen), final_count


@pytest.fixture(autouse=True)
def two_connections(monkeypatch):
    monkeypatch.setattr(upgrade_pair, "CONNECTIONS", range(2))


@pytest.mark.parametrize("loses_all", [False, True])
def test_every_interleaving_ends_with_one_owner_of_service_and_connections(loses_all):
    """A cut of the channel loses all messages in transit, or none."""
    states, final_count = explore(loses_all)
    assert states > 3000 and final_count > 1000


@pytest.mark.parametrize(
    "name, faulty_handler",
    [
        (
            "on_refused",
            lambda self, reason: (
                self.call_off(reason) if self.phase in self.BEFORE_COMMIT else self.reclaim(reason)
            ),
        ),  # it replaces a new process that was ordered to end
        ("on_told_to_end", lambda self, reason: [Action.END]),
        ("on_died", lambda self, reason: self.call_off(reason) if self.phase in self.BEFORE_COMMIT else []),
    ],
)
def test_a_predecessor_with_a_faulty_handler_is_detected(name, faulty_handler, monkeypatch):
    monkeypatch.setattr(Predecessor, name, faulty_handler)
    with pytest.raises(AssertionError):
        explore(False)
