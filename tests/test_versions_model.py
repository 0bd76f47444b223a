"""Every interleaving of a small model: 2 relays, 2 slices, 3 versions, the third a rollback to the first."""

import copy

import pytest

from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions import delta
from indigohitch.versions.session import BACKOFF, Session
from indigohitch.versions.tables import root_of
from indigohitch.versions.terms import Channel, Guard, Version
from indigohitch.versions.window import Window

ROOTS = [root_of({1: {"a": 1.0}, 2: {"b": 1.0}}), root_of({1: {"b": 1.0}, 2: {"a": 1.0}})]
ROOTS.append(ROOTS[0])  # the rollback
VERSIONS = [Version(number, root, None, "test", 0) for number, root in enumerate(ROOTS, 1)]
BY_DIGEST = {root.digest: root for root in ROOTS}
# One line per message, two unanswered.
UNLIMITED_WINDOW = Channel(messages=1 << 30, lines=1, queue=2, stall=0)
GUARD = Guard(cold={"a": 1.0}, warm=("w",))  # a and b swap slices, and a is cold
BREAKS = LOSSES = 1
UNKNOWN_CONTENT = root_of({1: {"b": 1.0}, 2: {"b": 2.0}})  # the content of no version


class RelayState:
    """A relay, its session, and the messages in transit between them."""

    def __init__(self, plan):
        self.relay, self.session = TableRelay(ROOTS[0]), Session("r", UNLIMITED_WINDOW, BY_DIGEST.get, plan)
        self.down, self.up = [], []  # messages, answers
        self.breaks, self.losses = BREAKS, LOSSES
        self.session.on_connect(0, 1, self.relay.connect(1))

    def key(self):
        session, relay = self.session, self.relay
        return repr(
            (
                relay.root.digest,
                relay.base,
                relay.since,
                relay.taken,
                relay.connection,
                self.down,
                self.up,
                session.phase,
                session.connection,
                session.confirmed and session.confirmed.digest,
                [root.digest for root in session.candidates],
                session.in_flight,
                session.queue.updates,
                session.queue.replacements,
                session.target and session.target.number,
                session.sequence,
                session.after,
                self.breaks,
                self.losses,
            )
        )


def moves(state):
    """Returns functions that each change the state; time does not pass, so silence is a move of its own."""
    found = []
    if state.session.target is not None and (out := probe(state)):
        found.append(lambda one: one.down.extend(one.session.due(0)))
        del out
    if state.down:
        found.append(deliver)
        if state.losses:
            found.append(lose_down)
    if state.up:
        found.append(answer)
        if state.losses:
            found.append(lose_up)
    if state.breaks:
        found += [reconnect, restart_with_old, restart_with_unknown]
    if state.session.in_flight and not state.down and not state.up:
        found.append(silence)
    return found


def probe(state):
    return copied(state).session.due(0)


def deliver(state):
    if (said := state.relay.receive(state.down.pop(0))) is not None:
        state.up.append(said)


def lose_down(state):
    state.losses -= 1
    state.down.pop(0)


def lose_up(state):
    state.losses -= 1
    state.up.pop(0)


def answer(state):
    said = state.up.pop(0)
    (state.session.on_nack if hasattr(said, "gap") else state.session.on_ack)(0, said)


def reconnect(state):
    """Messages in transit are lost, or were delivered before: both are among the interleavings."""
    state.breaks -= 1
    state.down.clear()
    state.up.clear()
    connection = state.session.connection + 1
    state.session.on_disconnect(state.session.connection)
    state.session.on_connect(0, connection, state.relay.connect(connection))


def restart_with_old(state):
    state.relay.root = ROOTS[1]
    reconnect(state)


def restart_with_unknown(state):
    state.relay.root = UNKNOWN_CONTENT
    reconnect(state)


def silence(state):
    state.session.last_answer_at = -BACKOFF
    state.down.extend(state.session.due(0))


def copied(state):
    twin = copy.copy(state)
    twin.relay, twin.session = copy.copy(state.relay), copy.copy(state.session)
    twin.down, twin.up = list(state.down), list(state.up)
    twin.session.queue = copy.copy(state.session.queue)
    for name in ("in_flight", "candidates"):
        setattr(twin.session, name, copy.copy(getattr(state.session, name)))
    for name in ("updates", "replacements"):
        setattr(twin.session.queue, name, copy.copy(getattr(state.session.queue, name)))
    twin.session.window = Window(UNLIMITED_WINDOW)
    return twin


def check(state):
    """Checks that no slice is empty, no line is forbidden and the cold backend is within its limit."""
    root = state.relay.root
    for slice in (1, 2):
        assert root.lines_of(slice), "bare"
        assert set(root.lines_of(slice)) <= {"a", "b", "w"}, "forbidden"
    assert sum(root.lines_of(slice).get("a", 0) for slice in (1, 2)) <= 1.0, "cold"


def explore(plan=delta.ordered, change=lambda session: None):
    """Explores all states of one relay; returns the number of these states and of pairs of them.

    Relays share only the wanted versions, which change by a move of their own, so the states of two relays
    are the pairs of states at the same version.
    """
    start = RelayState(plan)
    change(start.session)
    pending, seen, at = [(start, 0)], set(), [0] * (len(VERSIONS) + 1)
    while pending:
        state, version = pending.pop()
        key = state.key(), version
        if key in seen:
            continue
        seen.add(key)
        at[version] += 1
        check(state)
        options = moves(state)
        for move in options:
            twin = copied(state)
            move(twin)
            pending.append((twin, version))
        if version < len(VERSIONS):
            twin = copied(state)
            twin.session.set_target(VERSIONS[version], GUARD)
            pending.append((twin, version + 1))
        elif len(options) == 3 * bool(state.breaks):  # only losing the connection is left
            assert state.relay.root == VERSIONS[-1].root and state.session.in_sync, "not brought to it"
    return len(seen), sum(count * count for count in at)


def test_all_interleavings_keep_slices_served_and_reach_the_last_version():
    state_count, pair_count = explore()
    print(f"{state_count} states of a relay, {pair_count} of two")
    assert state_count > 1000


def removals_first(starts, to, guard):
    return sorted(delta.ordered(starts, to, guard), key=lambda update: update.weight != 0)


def ignores_cold_backends(starts, to, guard):
    return delta.ordered(starts, to, Guard())


def assumes_last_sent_is_held(session):
    """Assumes that the relay holds what was sent last, instead of keeping all possible contents."""
    session.possible_contents = lambda: session.expected_contents()
    find = session.find
    session.find = lambda digest: find(digest) or (session.expected_contents() or [ROOTS[0]])[-1]


@pytest.mark.parametrize("plan", [removals_first, ignores_cold_backends])
def test_an_unsafe_order_of_steps_is_detected(plan):
    with pytest.raises(AssertionError):
        explore(plan)


def test_assuming_the_last_sent_content_is_detected():
    with pytest.raises(AssertionError, match="not brought to it|cold"):
        explore(change=assumes_last_sent_is_held)
