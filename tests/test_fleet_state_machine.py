"""The replicated state machine: duplicates, rejections, and equal states after snapshots."""

import random

import msgspec
import pytest

from indigohitch.encoding.rows import Row
from indigohitch.errors import InvalidDataError, InvalidRequestError
from indigohitch.fleet.state_machine import WINDOW, ReplicatedStateMachine
from indigohitch.fleet.types import LogEntry


class Add(Row):
    name: str
    amount: int


class Sums:
    """A part that adds amounts by name."""

    name = "sums"
    kinds = {"add": Add}

    def __init__(self):
        self.sums = {}

    def apply(self, at, word, body):
        if body.amount < 0:
            raise InvalidRequestError("below 0")
        self.sums[body.name] = self.sums.get(body.name, 0) + body.amount
        return self.sums[body.name]

    def row(self):
        return sorted(self.sums.items())

    def restore(self, row):
        self.sums = dict(msgspec.msgpack.decode(row))


def entry(index, number, name="a", amount=1, incarnation=1, kind="sums.add"):
    return LogEntry(index, 1, kind, msgspec.msgpack.encode(Add(name, amount)), "n1", incarnation, number)


def test_a_proposal_takes_effect_once():
    state_machine = ReplicatedStateMachine([Sums()])
    first = state_machine.apply(entry(1, 1))
    duplicate = state_machine.apply(entry(2, 1))
    assert (duplicate.is_duplicate, duplicate.index, duplicate.result) == (
        True,
        1,
        first.result,
    ) and not first.is_duplicate
    assert state_machine.parts["sums"].sums == {"a": 1}
    assert state_machine.apply(entry(3, 7 + WINDOW)).rejection == ""
    assert "too old" in state_machine.apply(entry(4, 2)).rejection
    assert state_machine.apply(entry(5, 1, incarnation=2)).rejection == ""
    assert "over" in state_machine.apply(entry(6, 9 + WINDOW)).rejection


def test_a_rejected_entry_changes_nothing():
    state_machine = ReplicatedStateMachine([Sums()])
    for index, (kind, amount) in enumerate([("sums.add", -1), ("sums.no", 1), ("no.add", 1)], 1):
        assert state_machine.apply(entry(index, index, amount=amount, kind=kind)).rejection
    assert state_machine.apply(LogEntry(4, 1, "sums.add", b"\xc1", "n1", 1, 4)).rejection
    assert (
        state_machine.parts["sums"].sums == {}
        and state_machine.apply(LogEntry(5, 2, "", b"")).rejection == ""
    )
    with pytest.raises(ValueError):
        state_machine.apply(entry(5, 5))
    with pytest.raises(InvalidDataError):
        ReplicatedStateMachine([Sums()]).restore(b"\x93")


@pytest.mark.parametrize("seed", range(20))
def test_a_member_that_restores_snapshots_has_the_same_outcomes_and_digests(seed):
    rng = random.Random(seed)
    one, other = ReplicatedStateMachine([Sums()]), ReplicatedStateMachine([Sums()])
    for index in range(1, 200):
        proposal_entry = entry(
            index,
            rng.randint(max(1, index - 20), index),
            rng.choice("abc"),
            rng.randint(-1, 5),
            1 + index // 70,
        )
        assert one.apply(proposal_entry) == other.apply(proposal_entry)
        if rng.random() < 0.1:
            data, other = other.snapshot(), ReplicatedStateMachine([Sums()])
            other.restore(data)
        assert one.digest() == other.digest()
