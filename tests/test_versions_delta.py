"""Deltas: the fewest lines, in an order that is safe at each step."""

import random

import pytest

from indigohitch.standins.table_relay import TableRelay
from indigohitch.versions import delta
from indigohitch.versions.session import Session
from indigohitch.versions.tables import difference, root_of
from indigohitch.versions.terms import Channel, Guard, LineUpdate, Message, Version, VersionId, applied


@pytest.mark.parametrize("seed", range(20))
def test_a_delta_is_minimal_and_safe_at_each_step(seed):
    rng = random.Random(seed)
    names = [f"n{number}" for number in range(8)]

    def tables():
        return {slice: {name: 1.0 for name in rng.sample(names, rng.randint(1, 2))} for slice in range(30)}

    start, to = root_of(tables()), root_of(tables())
    weight = [sum(table.lines.get("n0", 0) for _, table in root.items()) for root in (start, to)]
    guard = Guard(frozenset({"n7"}), {"n0": max(weight)}, ("w",))
    updates = delta.ordered([start], to, guard)
    changed_lines = sum(
        len(set((a.lines if a else {}).items()) ^ set((b.lines if b else {}).items()))
        for _, a, b in difference(start, to)
    )
    assert len(updates) == changed_lines + 2 * sum(
        update.backend == "w" and update.weight > 0 for update in updates
    )
    held = start
    for update in updates:
        held = applied(held, Message(1, 1, 0, VersionId(1, to.digest), (update,)))
        assert held.slices == 30, "bare"
        assert sum(table.lines.get("n0", 0) for _, table in held.items()) <= max(weight), "cold"
    assert held == to
    drain_positions = [
        number for number, update in enumerate(updates) if update.backend == "n7" and not update.weight
    ]
    other_positions = [
        number
        for number, update in enumerate(updates)
        if update.backend != "n7"
        and not update.weight
        and all(one.backend != "n7" or one.slice != update.slice for one in updates)
    ]
    assert (
        not drain_positions
        or not other_positions
        or sum(drain_positions) / len(drain_positions) < sum(other_positions) / len(other_positions)
    )


def test_cold_backends_that_swap_slices_use_a_warm_stand_in():
    start, to = root_of({1: {"a": 1.0}, 2: {"b": 1.0}}), root_of({1: {"b": 1.0}, 2: {"a": 1.0}})
    updates = delta.ordered([start], to, Guard(cold={"a": 1.0, "b": 1.0}, warm=("w",)))
    assert [update for update in updates if update.backend == "w"] == [
        LineUpdate(1, "w", 1.0),
        LineUpdate(1, "w", 0),
    ]
    with pytest.raises(Exception, match="cold backends wait"):
        delta.ordered([start], to, Guard(cold={"a": 1.0, "b": 1.0}))


def test_when_nearly_all_lines_change_ranges_are_sent_and_no_slice_is_empty():
    start = root_of({slice: {"a": 1.0} for slice in range(1000)})
    to = root_of({slice: {"b": 1.0} for slice in range(1000)} | {7: {"b": 1.0, "c": 1.0}})
    relay, session = TableRelay(start), Session("r", Channel(), {start.digest: start}.get)
    session.on_connect(0, 1, relay.connect(1))
    session.set_target(Version(1, to, None, "x", 0), Guard(cold={"c": 1.0}))
    lines = now = 0
    while not session.in_sync:
        now += 500
        for message in session.due(now):
            lines += message.lines()
            session.on_ack(now, relay.receive(message))
            assert relay.root.slices == 1000
    assert relay.root == to and lines == 1001  # the delta has 2,001
