"""Chains of acts: what lies in a folder, held against the heads that the ledger knows."""

import random

import msgspec
import pytest

from acting import Acting, begun, found, scrubbed
from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.audit.check import acted
from indigohitch.fleet.audit.files import read
from indigohitch.fleet.audit.heads import EVIDENCE, KEPT, Head, Heads
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.types import Lease, Stamp
from indigohitch.net.clock import SECOND


@pytest.fixture
def acting(tmp_path):
    return begun(tmp_path / "audit")


def test_a_chain_is_read_as_it_was_written(acting):
    assert not found(acting)
    told = acted({"m": read(acting.store.folder)[0]})
    assert len(told) == 40 and told[0].acts == 1 and (told[0].version, told[-1].ended) == (1, 400)
    acting.do(3)
    assert not found(acting), "acts after the last head"


@pytest.mark.parametrize("seed", range(30))
def test_whatever_is_changed_afterwards_is_found(acting, seed):
    """One record altered, taken out, doubled or swapped; the rest of its chain written anew or not."""
    chance = random.Random(seed)
    chain = list(read(acting.store.folder)[0][1])
    n, how = chance.randrange(len(chain)), chance.choice(("changed", "removed", "doubled", "swapped", "cut"))
    match how:
        case "changed":
            field = chance.choice([{"about": b"else"}, {"at": 1}, {"kind": "other"}, {"left": 5}])
            chain[n] = msgspec.structs.replace(chain[n], **field)
        case "removed":
            del chain[n]
        case "doubled":
            chain.insert(n, chain[n])
        case "swapped":
            m = (n + chance.randint(1, 39)) % 40
            chain[n], chain[m] = chain[m], chain[n]
        case "cut":
            del chain[n:]
    if chance.random() < 0.5:  # whoever did it knows how chains are made
        for i in range(1, len(chain)):
            chain[i] = msgspec.structs.replace(chain[i], before=chain[i - 1].digest())
    assert found(acting, {1: chain}), how


def test_a_whole_chain_that_is_gone_or_unknown_is_found(acting):
    assert [f.kind for f in found(acting, {})] == ["missing"]
    other = Acting(acting.store.folder, incarnation=2)
    other.do(1)
    assert [f.kind for f in found(acting)] == ["unknown"]


def test_acts_that_might_not_be(acting):
    kept = acting.heads.of("m", 1)
    acting.heads.on_change_converged(EntryContext(50, 1, 0, "l", 1), 30, (("m", 1, 25),))
    assert {f.number for f in found(acting) if f.kind == "old_version"} == {26, 27, 28, 29}
    kept.shut_out, kept.gone, kept.gone_at = 35, 36, 0
    assert {f.number for f in found(acting) if f.kind == "after_gone"} == set(range(35, 41))
    kept.shut_out = kept.gone = 100
    kept.gone_at = 395 - SECOND // 2
    assert {f.number for f in found(acting) if f.kind == "after_gone"} == {40}
    acting.lease = Lease(1, 0)
    acting.do(1)
    assert [f.number for f in found(acting) if f.kind == "no_lease"] == [41]


def test_what_the_ledger_has_let_go_is_not_judged(acting):
    for incarnation in range(2, 2 + KEPT):
        acting.heads.on_member_joined(None, "m", incarnation)
    assert [one.incarnation for one in acting.heads.facts.kept["m"]] == list(range(2, 2 + KEPT))
    assert not found(acting) and not scrubbed(acting)


def test_without_a_lease_nothing_is_stamped(acting):
    acting.lease = None
    assert acting.do(2) is None and acting.acts.counts["refused"] == 2
    acting.lease = Lease(2, 10**9)
    assert acting.do(1) == Stamp("m", 2, 0, 43, 1), "a chain of its own for each incarnation"


def test_heads_only_grow_and_a_contradiction_is_kept(acting):
    at, heads = EntryContext(60, 1, 0, "m", 1), acting.heads
    assert heads.apply(at, "head", Head("m", 1, 40, acting.acts.chain.head)) == ""
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 40, b"else"))
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 7, b"older"))
    assert [f.kind for f in found(acting)] == ["contradiction"] * 2
    assert heads.of("m", 1).digest == acting.acts.chain.head
    with pytest.raises(InvalidRequestError):
        heads.apply(EntryContext(61, 1, 0, "n", 1), "head", Head("m", 1, 50, b""))
    heads.on_member_lease_ended(EntryContext(62, 1, 0, "l", 1), "m", 1, 0)
    with pytest.raises(InvalidRequestError):
        heads.apply(at, "head", Head("m", 1, 50, b""))
    other = Heads()
    other.restore(msgspec.msgpack.encode(heads.row()))
    assert other.row() == heads.row() and len(other.facts.evidence) <= EVIDENCE
