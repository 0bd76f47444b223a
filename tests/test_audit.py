"""Chains of acts: what lies in a folder, held against the heads that the ledger knows."""
import errno
import os
import random

import msgspec
import pytest

from indigohitch.errors import Unfit
from indigohitch.fleet.audit.acts import ChainedActs
from indigohitch.fleet.audit.check import acted, check
from indigohitch.fleet.audit.files import KINDS, Store, chains, frames, read
from indigohitch.fleet.audit.gate import Gate
from indigohitch.fleet.audit.heads import EVIDENCE, Head, Heads
from indigohitch.fleet.audit.scrub import Scrub
from indigohitch.fleet.book import Book
from indigohitch.fleet.members.roster import Roster
from indigohitch.fleet.ports import At
from indigohitch.fleet.terms import Lease, Stamp
from indigohitch.net.clock import SECOND


class Acting:
    """Acts of one incarnation over a real folder; the heads of its chain are taken."""

    def __init__(self, folder, member="m", incarnation=1, **store):
        self.book, self.troubles = Book([Roster(), Heads()]), []
        self.store, self.member = Store(folder, **store), member
        self.lease = Lease(incarnation, 10 ** 9)
        self.acts = ChainedActs(member, lambda now: self.lease, self.book, self.store, self.troubles.append,
                                frozenset({"firm"}))
        self.heads = self.book.parts["audit"]
        self.heads.member_joined(None, member, incarnation)
        self.now = 0

    def do(self, count, kind="done"):
        for _ in range(count):
            self.now += 10
            self.book.index += 1
            stamp = self.acts.stamp(self.now, kind, b"it")
        return stamp

    def tell(self):
        assert self.acts.sync()
        chain, (first, oldest) = self.acts.chain, self.store.wanted()
        at = At(1, 1, 0, self.member, chain.incarnation)
        told = self.heads.apply(at, "head", Head(self.member, chain.incarnation, chain.number, chain.head,
                                                 first, oldest))
        self.store.give_up(first, oldest)
        return told


def found(acting, records=None):
    records = read(acting.store.folder)[0] if records is None else records
    return check({acting.member: records}, acting.heads.facts)


@pytest.fixture
def acting(tmp_path):
    one = Acting(tmp_path / "audit")
    one.do(40)
    one.tell()
    return one


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
    if chance.random() < 0.5:                   # whoever did it knows how chains are made
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
    acting.heads.change_in_force(At(50, 1, 0, "l", 1), 30, (("m", 1, 25),))
    assert {f.number for f in found(acting) if f.kind == "old_version"} == {26, 27, 28, 29}
    kept.shut_out, kept.gone, kept.gone_at = 35, 36, 0
    assert {f.number for f in found(acting) if f.kind == "after_gone"} == set(range(35, 41))
    kept.shut_out = kept.gone = 100
    kept.gone_at = 395 - SECOND // 2
    assert {f.number for f in found(acting) if f.kind == "after_gone"} == {40}
    acting.lease = Lease(1, 0)
    acting.do(1)
    assert [f.number for f in found(acting) if f.kind == "no_lease"] == [41]


def test_without_a_lease_nothing_is_stamped(acting):
    acting.lease = None
    assert acting.do(2) is None and acting.acts.counts["refused"] == 2
    acting.lease = Lease(2, 10 ** 9)
    assert acting.do(1) == Stamp("m", 2, 0, 43, 1), "a chain of its own for each incarnation"


def test_a_torn_tail_is_cut_and_a_harmed_middle_told(acting):
    path = chains(acting.store.folder)[0][1]
    acting.do(1)
    with open(path, "ab") as file:
        file.write(path.read_bytes()[:50])
    after = Acting(acting.store.folder, incarnation=2)
    after.do(1)
    records, troubles = read(acting.store.folder)
    assert after.store.cut == 50 and not troubles and len(records[1]) == 41
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    assert read(acting.store.folder)[1]
    data[len(data) // 2] ^= 1
    for at in range(60, 200):                   # whichever byte of a frame
        data[at] ^= 0x20
        path.write_bytes(data)
        assert read(acting.store.folder)[1], at
        data[at] ^= 0x20
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    records, troubles = read(acting.store.folder)
    assert troubles and path.name in troubles[0].where and troubles[0].remedy
    assert any(f.kind == "missing" for f in found(acting, {1: records[1]}))


def scrubbed(acting, rounds=2):
    """What the member itself finds in its folder while it runs."""
    scrub, now = Scrub("m", acting.store, lambda: acting.heads.facts), 0
    while scrub.rounds < rounds:
        now += SECOND
        scrub.step(now)
    return {one.kind for one in scrub.found}


def test_a_member_finds_what_was_changed_while_it_runs(tmp_path, monkeypatch):
    monkeypatch.setattr("indigohitch.fleet.audit.scrub.PIECE", 1500)
    one = Acting(tmp_path / "audit", file=4000)
    for _ in range(3):
        one.do(60)
        assert not scrubbed(one)
        one.tell()
        assert not scrubbed(one)
    path = chains(one.store.folder)[1][1]
    whole = path.read_bytes()
    path.write_bytes(whole[:900] + bytes([whole[900] ^ 1]) + whole[901:])
    assert "spoilt" in scrubbed(one)
    records, *_ = frames(whole)
    path.write_bytes(b"".join(KINDS.frame(r) for r in records if r.stamp.number % 7))
    assert scrubbed(one) == {"missing"}
    path.write_bytes(b"".join(KINDS.frame(msgspec.structs.replace(r, kind="other")) for r in records))
    assert scrubbed(one) == {"changed"}
    path.write_bytes(whole)
    assert not scrubbed(one)


def test_files_have_a_limit_and_only_what_the_ledger_knows_to_go_goes(tmp_path):
    one = Acting(tmp_path, file=2000, files=4)
    for _ in range(8):
        one.do(40)
        assert not found(one)
        one.tell()
        assert not found(one) and len(chains(one.store.folder)) <= 4
    assert len(chains(one.store.folder)) == 4 and read(tmp_path)[0][1][0].stamp.number > 100
    first = chains(one.store.folder)[0][1]
    first.unlink()
    assert [f.kind for f in found(one)] == ["missing"]


@pytest.mark.parametrize("kind", ["firm", "done"])
@pytest.mark.parametrize("failing", ["write", "fsync"])
def test_a_disk_that_fails_ends_acts_until_it_is_back(tmp_path, monkeypatch, failing, kind):
    one, real, full = Acting(tmp_path / "audit"), getattr(os, failing), False

    def fails(fd, *data):
        if full and failing == "write":
            real(fd, data[0][:10])
        if full:
            raise OSError(errno.ENOSPC, "no room")
        return real(fd, *data)
    monkeypatch.setattr(os, failing, fails)
    one.do(5, kind)
    full = True
    refused = one.do(1, kind) is None
    assert refused == (failing == "write" or kind == "firm") and (not refused or one.troubles[0].remedy)
    assert one.acts.sync() is refused           # what could be appended is not on the disk yet
    full = False
    stamp = one.do(5, kind)
    assert stamp.number == (10 if refused else 11) and one.tell() == ""
    assert not found(one) and [r.stamp.number for r in read(one.store.folder)[0][1]] == list(
        range(1, stamp.number + 1))


def test_heads_only_grow_and_a_contradiction_is_kept(acting):
    at, heads = At(60, 1, 0, "m", 1), acting.heads
    assert heads.apply(at, "head", Head("m", 1, 40, acting.acts.chain.head)) == ""
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 40, b"else"))
    assert "contradicts" in heads.apply(at, "head", Head("m", 1, 7, b"older"))
    assert [f.kind for f in found(acting)] == ["contradiction"] * 2
    assert heads.of("m", 1).digest == acting.acts.chain.head
    with pytest.raises(Unfit):
        heads.apply(At(61, 1, 0, "n", 1), "head", Head("m", 1, 50, b""))
    heads.member_ended(At(62, 1, 0, "l", 1), "m", 1, 0)
    with pytest.raises(Unfit):
        heads.apply(at, "head", Head("m", 1, 50, b""))
    other = Heads()
    other.restore(msgspec.msgpack.encode(heads.row()))
    assert other.row() == heads.row() and len(other.facts.evidence) <= EVIDENCE


def test_a_stamp_from_before_a_shutting_out_is_refused():
    gate = Gate()
    assert not any(gate.admits(Stamp("m", 1, 1, 10, number), "seat") for number in (1, 2))
    assert "older" in gate.admits(Stamp("m", 1, 1, 10, 2), "seat")
    gate.end("m", 1)
    assert "shut out" in gate.admits(Stamp("m", 1, 1, 12, 3), "seat")
    assert not gate.admits(Stamp("m", 3, 1, 12, 1), "seat")
    assert "before one" in gate.admits(Stamp("m", 2, 1, 12, 9))
    gate.in_force(20)
    assert "in force" in gate.admits(Stamp("m", 3, 1, 19, 2)) and not gate.admits(Stamp("n", 1, 2, 20, 1))
    assert gate.refused == 4
