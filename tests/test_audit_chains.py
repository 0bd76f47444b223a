"""Chains of recorded actions in a folder, checked against the heads in the replicated state."""

import random

import msgspec
import pytest

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.audit.check import activity_by_version
from indigohitch.fleet.audit.files import read_chains
from indigohitch.fleet.audit.heads import MAX_CONTRADICTIONS, MAX_HISTORY, Head, Heads
from indigohitch.fleet.interfaces import EntryContext
from indigohitch.fleet.types import Lease, Stamp
from indigohitch.net.clock import SECOND
from recording_member import RecordingMember, check_findings, member_with_records, scrub_findings


@pytest.fixture
def member(tmp_path):
    return member_with_records(tmp_path / "audit")


def test_a_chain_is_read_as_it_was_written(member):
    assert not check_findings(member)
    activity = activity_by_version({"m": read_chains(member.store.folder)[0]})
    assert (
        len(activity) == 40
        and activity[0].actions == 1
        and (activity[0].version, activity[-1].last_at) == (1, 400)
    )
    member.act(3)
    assert not check_findings(member), "actions after the last head"


@pytest.mark.parametrize("seed", range(30))
def test_a_chain_that_was_tampered_with_is_found(member, seed):
    """One record is changed, removed, doubled or swapped, or the chain is cut.

    The digests of the rest are made anew or left as they are.
    """
    rng = random.Random(seed)
    chain = list(read_chains(member.store.folder)[0][1])
    position = rng.randrange(len(chain))
    how = rng.choice(("changed", "removed", "doubled", "swapped", "cut"))
    match how:
        case "changed":
            field = rng.choice([{"about": b"else"}, {"at": 1}, {"kind": "other"}, {"left": 5}])
            chain[position] = msgspec.structs.replace(chain[position], **field)
        case "removed":
            del chain[position]
        case "doubled":
            chain.insert(position, chain[position])
        case "swapped":
            other = (position + rng.randint(1, 39)) % 40
            chain[position], chain[other] = chain[other], chain[position]
        case "cut":
            del chain[position:]
    if rng.random() < 0.5:  # forged by someone who knows how a chain is made
        for i in range(1, len(chain)):
            chain[i] = msgspec.structs.replace(chain[i], previous_digest=chain[i - 1].digest())
    assert check_findings(member, {1: chain}), how


def test_a_chain_that_is_missing_or_unknown_is_found(member):
    assert [finding.kind for finding in check_findings(member, {})] == ["missing"]
    other = RecordingMember(member.store.folder, incarnation=2)
    other.act(1)
    assert [finding.kind for finding in check_findings(member)] == ["unknown"]


def test_actions_that_were_not_allowed_are_found(member):
    known = member.heads.find_or_add("m", 1)
    member.heads.on_change_converged(EntryContext(50, 1, 0, "l", 1), 30, (("m", 1, 25),))
    assert {f.number for f in check_findings(member) if f.kind == "old_version"} == {26, 27, 28, 29}
    known.evicted_index, known.lease_ended_index, known.lease_ended_at = 35, 36, 0
    assert {f.number for f in check_findings(member) if f.kind == "after_gone"} == set(range(35, 41))
    known.evicted_index = known.lease_ended_index = 100
    known.lease_ended_at = 395 - SECOND // 2
    assert {f.number for f in check_findings(member) if f.kind == "after_gone"} == {40}
    member.lease = Lease(1, 0)
    member.act(1)
    assert [f.number for f in check_findings(member) if f.kind == "no_lease"] == [41]


def test_incarnations_that_the_replicated_state_has_dropped_are_not_checked(member):
    for incarnation in range(2, 2 + MAX_HISTORY):
        member.heads.on_member_joined(None, "m", incarnation)
    assert [one.incarnation for one in member.heads.facts.incarnations["m"]] == list(
        range(2, 2 + MAX_HISTORY)
    )
    assert not check_findings(member) and not scrub_findings(member)


def test_without_a_lease_nothing_is_stamped(member):
    member.lease = None
    assert member.act(2) is None and member.acts.counts["refused"] == 2
    member.lease = Lease(2, 10**9)
    assert member.act(1) == Stamp("m", 2, 0, 43, 1), "a chain of its own for each incarnation"


def test_heads_only_grow_and_a_contradiction_is_kept(member):
    at, heads = EntryContext(60, 1, 0, "m", 1), member.heads
    assert heads.apply(at, "head", Head("m", 1, 40, member.acts.chain.head)) == ""
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 40, b"else"))
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 7, b"older"))
    assert [finding.kind for finding in check_findings(member)] == ["contradiction"] * 2
    assert heads.find_or_add("m", 1).digest == member.acts.chain.head
    with pytest.raises(InvalidRequestError):
        heads.apply(EntryContext(61, 1, 0, "n", 1), "head", Head("m", 1, 50, b""))
    heads.on_member_lease_ended(EntryContext(62, 1, 0, "l", 1), "m", 1, 0)
    with pytest.raises(InvalidRequestError):
        heads.apply(at, "head", Head("m", 1, 50, b""))
    restored = Heads()
    restored.restore(msgspec.msgpack.encode(heads.row()))
    assert restored.row() == heads.row() and len(restored.facts.contradictions) <= MAX_CONTRADICTIONS
