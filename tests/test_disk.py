"""A member's disk: what is written comes back, one owner, snapshots, full and broken disks."""

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


def test_comes_back_as_written(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(1, MemberId("a", 1))))
    bench.wrote(WriteEntries(2, None, 0, tuple(map(entry, range(1, 6)))))
    bench.wrote(WriteEntries(3, HardState(2), 4, (entry(4, 2), entry(5, 2))))
    bench.close()
    found = held(tmp_path)
    assert found.hard_state == HardState(2) and found.snapshot.members == MEMBERS
    assert [(e.index, e.term) for e in found.entries] == [(1, 1), (2, 1), (3, 1), (4, 2), (5, 2)]


def test_two_processes_never_share_a_folder(tmp_path):
    bench = Bench(tmp_path).founded()
    with pytest.raises(UnavailableError, match="another process"):
        Bench(tmp_path).disk.open()
    bench.close()
    assert held(tmp_path) is not None


def test_another_members_disk_is_refused(tmp_path):
    Bench(tmp_path).founded().close()
    bench = Bench(tmp_path)
    bench.disk.folder.identity.name = "b"
    with pytest.raises(InvalidDataError, match="belongs to member a of fleet whk"):
        bench.disk.open()


def test_a_number_once_met_is_known_after_a_start(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.folder.record_seen_number(MemberId("b", 3))
    bench.disk.folder.record_seen_number(MemberId("b", 2))
    bench.close()
    again = Bench(tmp_path)
    again.disk.open()
    assert again.disk.identity.seen_numbers == {"b": 3} and again.disk.identity.number == 1
    again.close()


def test_a_missing_segment_is_refused(tmp_path):
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


def test_a_snapshot_takes_segments_away(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.disk.segments.size = 200
    for number in range(1, 20):
        bench.wrote(WriteEntries(number, None, 0, (entry(number),)))
    snap = Snapshot(15, 1, MEMBERS, b"book")
    bench.disk.snapshot(snap, True)
    bench.until(lambda: SnapshotCompleted(snap) in bench.told)
    bench.close()
    names = os.listdir(tmp_path)
    assert [n for n in names if n.startswith("book-")] == ["book-000000000015"]
    found = held(tmp_path)
    assert found.snapshot == snap and [e.index for e in found.entries] == [16, 17, 18, 19]
    assert len([n for n in names if n.startswith("log-")]) < 8


def test_a_leaders_snapshot_in_place_of_the_log(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(3), 0, tuple(map(entry, range(1, 6)))))
    snap = Snapshot(40, 2, MEMBERS, b"book")
    bench.disk.snapshot(snap, False)
    bench.disk.write(WriteEntries(2, None, 0, (entry(41, 3),)))
    bench.until(lambda: WriteCompleted(2) in bench.told)
    bench.close()
    found = held(tmp_path)
    assert (found.snapshot, found.hard_state, [e.index for e in found.entries]) == (snap, HardState(3), [41])


@pytest.mark.parametrize("fault", ["full", "stuck"])
def test_a_full_disk_ends_promises_and_not_the_process(tmp_path, fault):
    files = Faulty()
    bench = Bench(tmp_path, files).founded()
    bench.wrote(WriteEntries(1, HardState(1), 0, (entry(1),)))
    if fault == "full":
        files.room = 30
    else:
        files.stuck = True
    bench.disk.write(WriteEntries(2, None, 0, (entry(2),)))
    bench.disk.write(WriteEntries(3, None, 0, (entry(3),)))
    bench.until(lambda: any(isinstance(t, StorageFailed) for t in bench.told))
    assert bench.disk.state in (StorageState.FAILED, StorageState.REWRITING)
    assert not {WriteCompleted(2), WriteCompleted(3)} & set(bench.told)
    bench.until(lambda: bench.disk.failures > 1)  # it was tried again in vain
    files.room, files.stuck = 1 << 60, False
    bench.until(lambda: StorageRecovered() in bench.told)
    assert sum(isinstance(t, StorageFailed) for t in bench.told) == 1
    bench.wrote(
        WriteEntries(4, None, 2, (entry(2), entry(3)))
    )  # the machine writes anew what wasn't promised
    bench.close()
    assert [e.index for e in held(tmp_path).entries] == [1, 2, 3]


def test_a_crash_while_it_mends_loses_nothing_promised(tmp_path):
    """The torn segment and the new one stand side by side: the new one says that it is all."""
    files = Faulty()
    bench = Bench(tmp_path, files).founded()
    bench.wrote(WriteEntries(1, HardState(1), 0, (entry(1), entry(2))))
    files.room = 30
    bench.disk.write(WriteEntries(2, None, 0, (entry(3),)))
    bench.until(lambda: any(isinstance(t, StorageFailed) for t in bench.told))
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
    assert [t.number for t in bench.told] == sorted(t.number for t in bench.told)
    bench.close()
    assert len(held(tmp_path).entries) == 500


def test_a_large_write_goes_in_several_records(tmp_path):
    bench = Bench(tmp_path).founded()
    bench.wrote(WriteEntries(1, HardState(2), 0, tuple(entry(n, 1, bytes(300_000)) for n in range(1, 31))))
    bench.close()
    found = held(tmp_path)
    assert len(found.entries) == 30 and found.hard_state == HardState(2)
