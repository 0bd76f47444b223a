"""The storage of a member: recovery of writes, the folder's lock, snapshots, full and failing disks."""

import os

import pytest

from disks import MEMBERS, Bench, Faulty, entry, held
from indigohitch.errors import InvalidDataError, UnavailableError
from indigohitch.fleet.raft.interfaces import (
    HardState,
    Snapshot,
    SnapshotCompleted,
    StorageFailed,
    StorageRecovered,
    WriteCompleted,
    WriteEntries,
)
from indigohitch.fleet.storage.records import CorruptStorageError
from indigohitch.fleet.storage.store import StorageState
from indigohitch.fleet.types import MemberId


def test_writes_are_recovered_after_a_restart(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(1, MemberId("a", 1))))
    bench.wrote(WriteEntries(2, None, 0, tuple(map(entry, range(1, 6)))))
    bench.wrote(WriteEntries(3, HardState(2), 4, (entry(4, 2), entry(5, 2))))
    bench.close()
    recovered = held(tmp_path)
    assert recovered.hard_state == HardState(2) and recovered.snapshot.members == MEMBERS
    assert [(e.index, e.term) for e in recovered.entries] == [(1, 1), (2, 1), (3, 1), (4, 2), (5, 2)]


def test_two_processes_never_share_a_folder(tmp_path):
    bench = Bench(tmp_path).founded()
    with pytest.raises(UnavailableError, match="another process"):
        Bench(tmp_path).disk.open()
    bench.close()
    assert held(tmp_path) is not None


def test_the_folder_of_another_member_is_rejected(tmp_path):
    Bench(tmp_path).founded().close()
    bench = Bench(tmp_path)
    bench.disk.folder.identity.name = "b"
    with pytest.raises(InvalidDataError, match="belongs to member a of fleet whk"):
        bench.disk.open()


def test_the_highest_number_seen_of_a_member_is_kept_across_restarts(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.folder.record_seen_number(MemberId("b", 3))
    bench.disk.folder.record_seen_number(MemberId("b", 2))
    bench.close()
    again = Bench(tmp_path)
    again.disk.open()
    assert again.disk.identity.seen_numbers == {"b": 3} and again.disk.identity.number == 1
    again.close()


def test_a_missing_segment_is_reported_as_corrupt_storage(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.segments.size = 200
    for number in range(1, 20):
        bench.wrote(WriteEntries(number, None, 0, (entry(number),)))
    bench.close()
    names = sorted(n for n in os.listdir(tmp_path) if n.startswith("log-"))
    assert len(names) > 3
    assert len(held(tmp_path).entries) == 19
    os.unlink(tmp_path / names[1])
    with pytest.raises(CorruptStorageError, match="missing"):
        held(tmp_path)


def test_a_snapshot_removes_the_segments_that_it_covers(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.segments.size = 200
    for number in range(1, 20):
        bench.wrote(WriteEntries(number, None, 0, (entry(number),)))
    snapshot = Snapshot(15, 1, MEMBERS, b"book")
    bench.disk.snapshot(snapshot, True)
    bench.until(lambda: SnapshotCompleted(snapshot) in bench.told)
    bench.close()
    names = os.listdir(tmp_path)
    assert [n for n in names if n.startswith("book-")] == ["book-000000000015"]
    recovered = held(tmp_path)
    assert recovered.snapshot == snapshot and [e.index for e in recovered.entries] == [16, 17, 18, 19]
    assert len([n for n in names if n.startswith("log-")]) < 8


def test_a_snapshot_of_the_leader_replaces_the_log(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(3), 0, tuple(map(entry, range(1, 6)))))
    snapshot = Snapshot(40, 2, MEMBERS, b"book")
    bench.disk.snapshot(snapshot, False)
    bench.disk.write(WriteEntries(2, None, 0, (entry(41, 3),)))
    bench.until(lambda: WriteCompleted(2) in bench.told)
    bench.close()
    recovered = held(tmp_path)
    assert (recovered.snapshot, recovered.hard_state, [e.index for e in recovered.entries]) == (
        snapshot,
        HardState(3),
        [41],
    )


@pytest.mark.parametrize("fault", ["full", "stuck"])
def test_a_full_or_failing_disk_completes_no_writes_until_it_recovers(tmp_path, fault):
    files = Faulty()
    bench = Bench(tmp_path, files).founded()
    bench.wrote(WriteEntries(1, HardState(1), 0, (entry(1),)))
    if fault == "full":
        files.room = 30
    else:
        files.stuck = True
    bench.disk.write(WriteEntries(2, None, 0, (entry(2),)))
    bench.disk.write(WriteEntries(3, None, 0, (entry(3),)))
    bench.until(lambda: any(isinstance(event, StorageFailed) for event in bench.told))
    assert bench.disk.state in (StorageState.FAILED, StorageState.REWRITING)
    assert not {WriteCompleted(2), WriteCompleted(3)} & set(bench.told)
    bench.until(lambda: bench.disk.failures > 1)  # at least one retry has failed
    files.room, files.stuck = 1 << 60, False
    bench.until(lambda: StorageRecovered() in bench.told)
    assert sum(isinstance(event, StorageFailed) for event in bench.told) == 1
    # The Raft node writes again what was not completed.
    bench.wrote(WriteEntries(4, None, 2, (entry(2), entry(3))))
    bench.close()
    assert [e.index for e in held(tmp_path).entries] == [1, 2, 3]


def test_a_crash_during_the_rewrite_loses_no_completed_write(tmp_path):
    """A crash before the torn segment is removed leaves it beside the new one, whose header replaces it."""
    files = Faulty()
    bench = Bench(tmp_path, files).founded()
    bench.wrote(WriteEntries(1, HardState(1), 0, (entry(1), entry(2))))
    files.room = 30
    bench.disk.write(WriteEntries(2, None, 0, (entry(3),)))
    bench.until(lambda: any(isinstance(event, StorageFailed) for event in bench.told))
    torn = open(tmp_path / "log-000000000001", "rb").read()
    files.room = 1 << 60
    bench.until(lambda: StorageRecovered() in bench.told)
    bench.close()
    open(tmp_path / "log-000000000001", "wb").write(torn)
    assert [e.index for e in held(tmp_path).entries] == [1, 2, 3]


def test_many_writes_share_an_fsync(tmp_path):
    bench = Bench(tmp_path).founded()
    for number in range(1, 501):
        bench.disk.write(WriteEntries(number, None, 0, (entry(number),)))
    bench.until(lambda: WriteCompleted(500) in bench.told)
    assert bench.disk.syncs < 100
    assert [event.number for event in bench.told] == sorted(event.number for event in bench.told)
    bench.close()
    assert len(held(tmp_path).entries) == 500


def test_a_write_larger_than_a_record_is_split_and_recovered(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(2), 0, tuple(entry(n, 1, bytes(300_000)) for n in range(1, 31))))
    bench.close()
    recovered = held(tmp_path)
    assert len(recovered.entries) == 30 and recovered.hard_state == HardState(2)
