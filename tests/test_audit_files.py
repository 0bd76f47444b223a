"""The files of a chain: torn, damaged, on a full disk, deleted, synced in a worker thread."""

import errno
import os

import msgspec
import pytest

from indigohitch.fleet.audit.files import KINDS, chain_files, decode_records, read_chains
from recording_member import RecordingMember, check_findings, member_with_records, scrub_findings


@pytest.fixture
def member(tmp_path):
    return member_with_records(tmp_path / "audit")


def test_a_torn_tail_is_cut_and_damage_in_the_middle_is_reported(member):
    path = chain_files(member.store.folder)[0][1]
    member.act(1)
    with open(path, "ab") as file:
        file.write(path.read_bytes()[:50])
    next_process = RecordingMember(member.store.folder, incarnation=2)
    next_process.act(1)
    records, errors = read_chains(member.store.folder)
    assert next_process.store.torn_bytes_cut == 50 and not errors and len(records[1]) == 41
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    assert read_chains(member.store.folder)[1]
    data[len(data) // 2] ^= 1
    for at in range(60, 200):  # each byte of a frame
        data[at] ^= 0x20
        path.write_bytes(data)
        assert read_chains(member.store.folder)[1], at
        data[at] ^= 0x20
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    records, errors = read_chains(member.store.folder)
    assert errors and path.name in errors[0].location and errors[0].remedy
    assert any(finding.kind == "missing" for finding in check_findings(member, {1: records[1]}))


def test_a_running_member_finds_what_was_changed_in_its_folder(tmp_path, monkeypatch):
    monkeypatch.setattr("indigohitch.fleet.audit.scrub.CHUNK_BYTES", 1500)
    member = RecordingMember(tmp_path / "audit", max_file_bytes=4000)
    for _ in range(3):
        member.act(60)
        assert not scrub_findings(member)
        member.commit_head()
        assert not scrub_findings(member)
    path = chain_files(member.store.folder)[1][1]
    whole = path.read_bytes()
    path.write_bytes(whole[:900] + bytes([whole[900] ^ 1]) + whole[901:])
    assert "spoilt" in scrub_findings(member)
    records, *_ = decode_records(whole)
    path.write_bytes(b"".join(KINDS.frame(r) for r in records if r.stamp.number % 7))
    assert scrub_findings(member) == {"missing"}
    path.write_bytes(b"".join(KINDS.frame(msgspec.structs.replace(r, kind="other")) for r in records))
    assert scrub_findings(member) == {"changed"}
    path.write_bytes(whole)
    assert not scrub_findings(member)


def test_files_are_limited_and_only_deleted_once_the_replicated_state_knows(tmp_path):
    member = RecordingMember(tmp_path, max_file_bytes=2000, max_files=4)
    for _ in range(8):
        member.act(40)
        assert not check_findings(member)
        member.commit_head()
        assert not check_findings(member) and len(chain_files(member.store.folder)) <= 4
    assert len(chain_files(member.store.folder)) == 4 and read_chains(tmp_path)[0][1][0].stamp.number > 100
    first = chain_files(member.store.folder)[0][1]
    first.unlink()
    assert [finding.kind for finding in check_findings(member)] == ["missing"]


@pytest.mark.parametrize("kind", ["durable", "done"])
@pytest.mark.parametrize("failing", ["write", "fsync"])
def test_actions_stop_while_the_disk_fails_and_resume_without_a_gap(tmp_path, monkeypatch, failing, kind):
    member = RecordingMember(tmp_path / "audit")
    real = getattr(os, failing)
    full = False

    def fails(fd, *data):
        if full and failing == "write":
            real(fd, data[0][:10])
        if full:
            raise OSError(errno.ENOSPC, "no room")
        return real(fd, *data)

    monkeypatch.setattr(os, failing, fails)
    member.act(5, kind)
    full = True
    refused = member.act(1, kind) is None
    assert refused == (failing == "write" or kind == "durable") and (not refused or member.errors[0].remedy)
    assert member.acts.sync() is refused  # an appended record is not on the disk yet
    full = False
    stamp = member.act(5, kind)
    assert stamp.number == (10 if refused else 11) and member.commit_head() == ""
    assert not check_findings(member) and [
        r.stamp.number for r in read_chains(member.store.folder)[0][1]
    ] == list(range(1, stamp.number + 1))


@pytest.mark.parametrize("fails", [False, True])
def test_actions_continue_while_a_worker_thread_syncs(tmp_path, fails, monkeypatch):
    class ManualWorker:
        """A net.worker_thread.WorkerThread whose call runs when the test says so."""

        def submit(self, call, done):
            self.call, self.done = call, done

        def run(self):
            try:
                self.call()
            except OSError as error:
                self.done(None, error)
            else:
                self.done(None, None)

    worker = ManualWorker()
    member = RecordingMember(tmp_path / "audit", start_worker=lambda: worker)
    member.act(5)
    member.acts.start_sync()
    member.act(3)
    member.acts.start_sync()  # does nothing, as only one runs at a time
    assert member.acts.synced_head is None
    with monkeypatch.context() as patch:
        if fails:
            patch.setattr(os, "fsync", lambda fd: (_ for _ in ()).throw(OSError(errno.EIO, "broken")))
        worker.run()
    assert (member.acts.synced_head or (0, 0))[1] == (0 if fails else 5) and bool(member.errors) == fails
    assert len(member.store.unsynced) == (8 if fails else 3)
    member.act(2)
    assert member.commit_head() == "" and member.acts.synced_head[1] == 10 and not check_findings(member)
    assert len(chain_files(member.store.folder)) == 1 + fails
