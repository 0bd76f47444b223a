"""A piece in the state machine: its holder, a lost member, an operator's decision, changes of the plan."""

import msgspec
import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.batches.part import Batches
from indigohitch.fleet.batches.rows import (
    Assignment,
    Batch,
    BatchClass,
    Checkpoint,
    Contract,
    OperatorDecision,
    PieceSpec,
    Placement,
    Site,
    Start,
    State,
)
from indigohitch.fleet.batches.rows import PlanChanges as PlanBody
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.types import Stamp

SECOND = 10_000
NOW = 10**13
CONTRACT = Contract(
    1,
    5 * SECOND,
    (Site("eros", "UTC", "", {"std": 6}, ()),),
    (BatchClass("dunning", False, "/", {"std": 300}), BatchClass("report", True, "/", {"std": 200})),
)


def state_machine_with(idempotent=False, steps=4):
    part = Batches()
    part.apply(EntryContext(1, 1, 10, "a", 1), "contract", CONTRACT)
    cut = PieceSpec(NOW, NOW + 100 * SECOND, 8 * SECOND, steps)
    rpc = "report" if idempotent else "dunning"
    part.apply(EntryContext(2, 1, NOW, "a", 1), "submit", Batch("x", "whk", rpc, (cut,)))
    piece = part.pieces.all["x.0"]
    piece.placing = Placement("eros", "std", ((NOW, NOW + 20 * SECOND),))
    part.apply(EntryContext(3, 1, NOW, "a", 1), "give", Assignment("x.0", "m", 5))
    part.apply(EntryContext(4, 1, NOW, "m", 5), "start", Start("x.0", 1, Stamp("m", 5, 1, 3, 1)))
    part.apply(EntryContext(5, 1, NOW, "m", 5), "step", Checkpoint("x.0", 1, 2))
    return part, piece


def test_only_the_holder_may_report_on_a_piece():
    part, piece = state_machine_with()
    for proposer in (("m", 4), ("m", 6), ("n", 5)):
        with pytest.raises(InvalidRequestError):
            part.apply(EntryContext(6, 1, NOW, *proposer), "step", Checkpoint("x.0", 1, 4, "done"))
    part.apply(EntryContext(6, 1, NOW, "m", 5), "step", Checkpoint("x.0", 1, 2, "rests"))
    with pytest.raises(InvalidRequestError):  # a late start of a piece that was given back
        part.apply(EntryContext(7, 1, NOW, "m", 5), "start", Start("x.0", 2, Stamp("m", 5, 1, 3, 2)))


def test_no_piece_is_assigned_to_an_expired_incarnation():
    part, piece = state_machine_with(idempotent=True)
    part.on_member_lease_expired(EntryContext(6, 1, NOW, "", 0), "m", 5)
    with pytest.raises(InvalidRequestError, match="gone"):
        part.apply(EntryContext(7, 1, NOW, "a", 1), "give", Assignment("x.0", "m", 5))
    part.apply(EntryContext(8, 1, NOW, "a", 1), "give", Assignment("x.0", "m", 6))


def test_a_piece_of_a_lost_member_continues_from_its_checkpoint_or_is_unclear():
    part, piece = state_machine_with(idempotent=True)
    part.on_member_lease_expired(EntryContext(6, 1, NOW, "", 0), "m", 5)
    assert piece.state is State.WAITING and piece.step == 2 and not part.pieces.held
    part, piece = state_machine_with()
    part.on_member_lease_expired(EntryContext(6, 1, NOW, "", 0), "m", 5)
    assert piece.state is State.UNCLEAR and "lost" in piece.why
    with pytest.raises(InvalidRequestError):
        part.apply(
            EntryContext(7, 1, NOW, "m", 5), "step", Checkpoint("x.0", 1, 4, "done")
        )  # from a former holder
    with pytest.raises(InvalidRequestError):
        part.apply(EntryContext(7, 1, NOW, "a", 1), "give", Assignment("x.0", "n", 6))


@pytest.mark.parametrize(
    "word, step, state",
    [
        ("from", 3, State.WAITING),
        ("done", 0, State.DONE),
        ("drop", 0, State.DROPPED),
        ("from", 1, None),
        ("eh", 0, None),
    ],
)
def test_an_operator_s_decision_ends_or_continues_an_unclear_piece(word, step, state):
    part, piece = state_machine_with()
    part.on_member_lease_expired(EntryContext(6, 1, NOW, "", 0), "m", 5)
    if state is None:
        with pytest.raises(InvalidRequestError) as raised:
            part.apply(EntryContext(7, 1, NOW, "op", 1), "word", OperatorDecision("x.0", word, step))
        assert raised.value.remedy and piece.state is State.UNCLEAR
        return
    part.apply(EntryContext(7, 1, NOW, "op", 1), "word", OperatorDecision("x.0", word, step))
    assert piece.state is state and (piece.step == 3) == (word == "from")


def test_a_snapshot_restores_the_same_state():
    part, _ = state_machine_with()
    other = Batches()
    other.restore(msgspec.msgpack.encode(part.row()))
    assert other.row() == part.row() and other.pieces.held == part.pieces.held


@pytest.mark.parametrize(
    "runs, kind, base",
    [
        (((-1, 20),), "std", 0),
        (((0, 101),), "std", 0),
        (((0, 20), (10, 30)), "std", 0),
        (((20, 10),), "std", 0),
        ((), "std", 0),
        (((0, 20),), "old", 0),
        (((0, 20),), "std", 7),
    ],
)
def test_a_plan_with_invalid_runs_or_an_old_base_is_not_applied(runs, kind, base):
    part = Batches()
    part.apply(EntryContext(1, 1, 10, "a", 1), "contract", CONTRACT)
    cut = PieceSpec(NOW, NOW + 100 * SECOND, 8 * SECOND, 4)
    part.apply(EntryContext(2, 1, NOW, "a", 1), "submit", Batch("x", "whk", "report", (cut,)))
    placing = Placement(
        "eros", kind, tuple((NOW + begin * SECOND, NOW + end * SECOND) for begin, end in runs)
    )
    try:
        assert part.apply(EntryContext(3, 1, NOW, "a", 1), "plan", PlanBody(base, {"x.0": placing})) == 0
    except InvalidRequestError:
        assert base
    assert part.pieces.all["x.0"].placing is None and part.version == 0
