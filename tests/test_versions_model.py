"""Every interleaving of a small world: 2 relays, 2 slices, 3 versions, the third a way back to the first."""

import copy

import pytest

from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions import delta
from indigohitch.versions.session import BACKOFF, Session
from indigohitch.versions.tables import root_of
from indigohitch.versions.terms import Channel, Guard, Version
from indigohitch.versions.window import Window

ROOTS = [root_of({1: {"a": 1.0}, 2: {"b": 1.0}}), root_of({1: {"b": 1.0}, 2: {"a": 1.0}})]
ROOTS.append(ROOTS[0])  # rolled back
VERSIONS = [Version(n, root, None, "test", 0) for n, root in enumerate(ROOTS, 1)]
BY_DIGEST = {root.digest: root for root in ROOTS}
NO_WINDOW = Channel(messages=1 << 30, lines=1, queue=2, stall=0)  # a line a message, two unanswered
GUARD = Guard(cold={"a": 1.0}, warm=("w",))  # a and b must pass each other, and a is cold
BREAKS = LOSSES = 1
STRANGE = root_of({1: {"b": 1.0}, 2: {"b": 2.0}})  # of no version, and never claimed true by anyone


class Side:
    """A relay, its session, and what is on the wire between them."""

    def __init__(self, plan):
        self.relay, self.session = TableRelay(ROOTS[0]), Session("r", NO_WINDOW, BY_DIGEST.get, plan)
        self.down, self.up = [], []  # messages, answers
        self.breaks, self.losses = BREAKS, LOSSES
        self.session.on_connect(0, 1, self.relay.connect(1))

    def key(self):
        s, r = self.session, self.relay
        return repr(
            (
                r.root.digest,
                r.base,
                r.since,
                r.taken,
                r.connection,
                self.down,
                self.up,
                s.phase,
                s.connection,
                s.confirmed and s.confirmed.digest,
                [p.digest for p in s.candidates],
                s.in_flight,
                s.queue.updates,
                s.queue.replacements,
                s.target and s.target.number,
                s.sequence,
                s.after,
                self.breaks,
                self.losses,
            )
        )


def moves(side):
    """Each a function that changes the side; time stands still, so silence is a move of its own."""
    found = []
    if side.session.target is not None and (out := probe(side)):
        found.append(lambda s: s.down.extend(s.session.due(0)))
        del out
    if side.down:
        found.append(deliver)
        if side.losses:
            found.append(lose_down)
    if side.up:
        found.append(answer)
        if side.losses:
            found.append(lose_up)
    if side.breaks:
        found += [reconnect, restart_with_old, restart_with_strange]
    if side.session.in_flight and not side.down and not side.up:
        found.append(silence)
    return found


def probe(side):
    return copy_of(side).session.due(0)


def deliver(side):
    if (said := side.relay.receive(side.down.pop(0))) is not None:
        side.up.append(said)


def lose_down(side):
    side.losses -= 1
    side.down.pop(0)


def lose_up(side):
    side.losses -= 1
    side.up.pop(0)


def answer(side):
    said = side.up.pop(0)
    (side.session.on_nack if hasattr(said, "gap") else side.session.on_ack)(0, said)


def reconnect(side):
    """What was on the wire is gone, or reached it before: both are among the interleavings."""
    side.breaks -= 1
    side.down.clear()
    side.up.clear()
    connection = side.session.connection + 1
    side.session.on_disconnect(side.session.connection)
    side.session.on_connect(0, connection, side.relay.connect(connection))


def restart_with_old(side):
    side.relay.root = ROOTS[1]
    reconnect(side)


def restart_with_strange(side):
    side.relay.root = STRANGE
    reconnect(side)


def silence(side):
    side.session.last_answer_at = -BACKOFF
    side.down.extend(side.session.due(0))


def copy_of(side):
    twin = copy.copy(side)
    twin.relay, twin.session = copy.copy(side.relay), copy.copy(side.session)
    twin.down, twin.up = list(side.down), list(side.up)
    twin.session.queue = copy.copy(side.session.queue)
    for name in ("in_flight", "candidates"):
        setattr(twin.session, name, copy.copy(getattr(side.session, name)))
    for name in ("updates", "replacements"):
        setattr(twin.session.queue, name, copy.copy(getattr(side.session.queue, name)))
    twin.session.window = Window(NO_WINDOW)
    return twin


def check(side):
    """No slice is bare, no line is forbidden, the cold one is not above its cap."""
    root = side.relay.root
    for slice in (1, 2):
        assert root.lines_of(slice), "bare"
        assert set(root.lines_of(slice)) <= {"a", "b", "w"}, "forbidden"
    assert sum(root.lines_of(slice).get("a", 0) for slice in (1, 2)) <= 1.0, "cold"


def explore(plan=delta.ordered, change=lambda session: None):
    """Each relay for itself (nothing joins them but the versions wanted, which are a move of the world), so
    the states of two are the pairs at the same version; returns (states of one, of pairs)."""
    start = Side(plan)
    change(start.session)
    todo, seen, at = [(start, 0)], set(), [0] * (len(VERSIONS) + 1)
    while todo:
        side, version = todo.pop()
        key = side.key(), version
        if key in seen:
            continue
        seen.add(key)
        at[version] += 1
        check(side)
        options = moves(side)
        for move in options:
            twin = copy_of(side)
            move(twin)
            todo.append((twin, version))
        if version < len(VERSIONS):
            twin = copy_of(side)
            twin.session.set_target(VERSIONS[version], GUARD)
            todo.append((twin, version + 1))
        elif len(options) == 3 * bool(side.breaks):  # nothing left but to break it
            assert side.relay.root == VERSIONS[-1].root and side.session.in_sync, "not brought to it"
    return len(seen), sum(count * count for count in at)


def test_all_interleavings_of_the_small_world():
    states, pairs = explore()
    print(f"{states} states of a relay, {pairs} of two")
    assert states > 1000


def removals_first(froms, to, guard):
    return sorted(delta.ordered(froms, to, guard), key=lambda update: update.weight != 0)


def as_if_none_was_cold(froms, to, guard):
    return delta.ordered(froms, to, Guard())


def takes_last_for_known(session):
    """A guess instead of a set: what was sent last is what it holds."""
    session.possible_contents = lambda: session.expected_contents()
    find = session.find
    session.find = lambda digest: find(digest) or (session.expected_contents() or [ROOTS[0]])[-1]


@pytest.mark.parametrize("plan", [removals_first, as_if_none_was_cold])
def test_a_guard_taken_away_is_found(plan):
    with pytest.raises(AssertionError):
        explore(plan)


def test_a_guess_instead_of_a_set_is_found():
    with pytest.raises(AssertionError, match="not brought to it|cold"):
        explore(change=takes_last_for_known)
