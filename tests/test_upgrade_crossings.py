"""Every crossing of one upgrade: words, deadlines, SIGTERM to either, a death, a hang and a cut of the
channel in every phase, in every order that the two machines tell apart."""

import copy

import pytest

import upgrade_pair
from indigohitch.upgrade.phases import Act, Phase
from indigohitch.upgrade.predecessor import Predecessor
from upgrade_pair import Pair


class Sure:
    """Chance, where the walk leaves none: what may fail does not, and every idle connection goes over."""

    def __init__(self, cut_all):
        self.cut_all = cut_all

    def random(self):
        return 0.5

    def randint(self, low, high):
        return low if self.cut_all else high


def moves(pair):
    """What can happen next, without faults."""
    old, new, found = pair.old, pair.new, []
    for side, process in (("old", old), ("new", new)):
        if process is None or not process.alive or process.hung:
            continue
        if process.inbox:
            found.append(lambda p, side=side: p.deliver(side))
        elif process.cut and not process.heard_cut:
            found.append(lambda p, side=side: p.eof(side))
        if process.sees_death and not process.saw_death:
            found.append(lambda p, side=side: p.death(side))
        elif process.machine.wait:  # a death is heard long before any deadline
            found.append(lambda p, side=side: p.step(side, "deadline"))
    if new and new.alive and not new.hung:
        if not new.started:
            found.append(lambda p: (setattr(p.new, "started", True), p.step("new", "started")))
        if new.told_to_end:
            found.append(lambda p: p.new_ends_in_order())
    if old.alive:
        for event in {Phase.SETTLING: ["settled"], Phase.DRAINING: ["drained", "watched"]}.get(
            old.machine.phase, []
        ):
            found.append(lambda p, event=event: p.step("old", event))
        if old.machine.phase is Phase.DRAINING and old.reads:
            found.append(lambda p: p.late())
    return found


def faults(pair, done):
    found = []
    for side, process in (("old", pair.old), ("new", pair.new)):
        if process and process.alive:
            name = f"term {side}"
            if side == "old" and process.machine.phase in Predecessor.BEFORE_COMMIT:
                name = "term old before"
            if not {name, "term old before"} & done:
                found.append((name, lambda p, side=side: p.step(side, "told_to_end")))
            if "kill" not in done:
                found.append(("kill", lambda p, side=side: p.kill(getattr(p, side))))
    if pair.new and pair.new.alive and not {"hang", "cut"} & done:
        found.append(("hang", lambda p: setattr(p.new, "hung", True)))
        if pair.old.alive:  # what a dead process said has come
            found.append(("cut", lambda p: p.cut()))
    return found


def sign(pair, done):
    def of(process):
        if process is None:
            return None
        machine = tuple(sorted((k, str(v)) for k, v in vars(process.machine).items() if k != "result"))
        rest = tuple(sorted((k, str(v)) for k, v in vars(process).items() if k not in ("machine", "reads")))
        return machine, rest, frozenset(process.reads)

    return (
        of(pair.old),
        of(pair.new),
        frozenset(pair.passed),
        frozenset(pair.held),
        frozenset(pair.died_with),
        frozenset(done),
    )


def rests(pair, done, story):
    """Nothing more happens by itself: who serves, who has ended, and who has each connection."""
    serving = [p for p in (pair.old, pair.new) if p and p.accepting]
    # Only a word to the service, or to the old one before there is another, ends the service.
    if not done & {"term old", "term new", "term old before"}:
        living = [p for p in (pair.old, pair.new) if p and p.alive and not p.hung]
        assert len(serving) == 1 or "kill" in done and not living, story
    told_old, told_new = "term old" in done, pair.new is not None and pair.new.told_to_end
    if told_old or "term old before" in done:
        assert not pair.old.alive, story
    if "term old before" in done:
        assert not serving, story
    if told_new and "cut" not in done and not pair.new.hung:
        assert not pair.new.alive and (not serving or "kill" in done), story
    if serving:
        owned = set().union(*(p.reads for p in (pair.old, pair.new) if p and p.alive))
        assert owned | pair.died_with >= set(upgrade_pair.CONNECTIONS), story


def explore(cut_all, most=10**6):
    start = Pair(Sure(cut_all))
    start.step("old", "asked")
    seen, todo, ended = set(), [(start, frozenset())], 0
    while todo:
        pair, done = todo.pop()
        if (key := sign(pair, done)) in seen:
            continue
        seen.add(key)
        assert len(seen) < most
        still = True  # nothing that happens by itself changes anything
        for name, move in [(None, move) for move in moves(pair)] + faults(pair, done):
            after = copy.deepcopy(pair)
            move(after)
            after.check()
            todo.append((after, done | {name} if name else done))
            still &= name is not None or sign(after, done) == key
        if still:
            ended += 1
            rests(pair, done, (sorted(done), pair.steps))
    return len(seen), ended


@pytest.fixture(autouse=True)
def two_connections(monkeypatch):
    monkeypatch.setattr(upgrade_pair, "CONNECTIONS", range(2))


@pytest.mark.parametrize("cut_all", [False, True])
def test_every_crossing(cut_all):
    """A cut of the channel loses what was on its way, or nothing of it."""
    states, ended = explore(cut_all)
    assert states > 3000 and ended > 1000


@pytest.mark.parametrize(
    "name, broken",
    [
        (
            "on_refused",
            lambda self, why: self.call_off(why) if self.phase in self.BEFORE_COMMIT else self.reclaim(why),
        ),  # one that goes on in the place of a service told to end
        ("on_told_to_end", lambda self, why: [Act.END]),
        ("on_died", lambda self, why: self.call_off(why) if self.phase in self.BEFORE_COMMIT else []),
    ],
)
def test_a_giver_that_is_wrong_in_one_crossing_is_found(name, broken, monkeypatch):
    monkeypatch.setattr(Predecessor, name, broken)
    with pytest.raises(AssertionError):
        explore(False)
