"""The files of a chain: torn, harmed, full, given up, waited for."""

import errno
import os

import msgspec
import pytest

from acting import Acting, begun, found, scrubbed
from indigohitch.fleet.audit.files import KINDS, chains, frames, read


@pytest.fixture
def acting(tmp_path):
    return begun(tmp_path / "audit")


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
    for at in range(60, 200):  # whichever byte of a frame
        data[at] ^= 0x20
        path.write_bytes(data)
        assert read(acting.store.folder)[1], at
        data[at] ^= 0x20
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    records, troubles = read(acting.store.folder)
    assert troubles and path.name in troubles[0].location and troubles[0].remedy
    assert any(f.kind == "missing" for f in found(acting, {1: records[1]}))


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
    assert one.acts.sync() is refused  # what could be appended is not on the disk yet
    full = False
    stamp = one.do(5, kind)
    assert stamp.number == (10 if refused else 11) and one.tell() == ""
    assert not found(one) and [r.stamp.number for r in read(one.store.folder)[0][1]] == list(
        range(1, stamp.number + 1)
    )


@pytest.mark.parametrize("fails", [False, True])
def test_the_disk_is_waited_for_beside_the_acts(tmp_path, fails, monkeypatch):
    class Thread:  # net.worker.Worker, by hand
        def submit(self, call, done):
            self.call, self.done = call, done

        def go(self):
            try:
                self.call()
            except OSError as bad:
                self.done(None, bad)
            else:
                self.done(None, None)

    thread = Thread()
    one = Acting(tmp_path / "audit", begun=lambda: thread)
    one.do(5)
    one.acts.sync_soon()
    one.do(3)
    one.acts.sync_soon()  # one at a time
    assert one.acts.safe is None
    with monkeypatch.context() as patch:
        if fails:
            patch.setattr(os, "fsync", lambda fd: (_ for _ in ()).throw(OSError(errno.EIO, "broken")))
        thread.go()
    assert (one.acts.safe or (0, 0))[1] == (0 if fails else 5) and bool(one.troubles) == fails
    assert len(one.store.unsynced) == (8 if fails else 3)
    one.do(2)
    assert one.tell() == "" and one.acts.safe[1] == 10 and not found(one)
    assert len(chains(one.store.folder)) == 1 + fails
