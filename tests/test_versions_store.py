"""The store compared with a plain model: kills at every boundary and seeded offsets, a full disk, damage."""

import os
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from indigohitch.errors import InvalidRequestError
from indigohitch.fleet.storage.files import FileSystem
from indigohitch.versions.store import Store
from indigohitch.versions.store_records import InvalidVersionFileError, read
from indigohitch.versions.tables import Root, root_of
from indigohitch.versions.terms import Version
from tests.publishing import Plain


def opened(files, last=8, size=1 << 20):
    store = Store(files, "f", size)
    store.open(last)
    return store


def written(count, seed=1):
    """Returns files with a store of so many versions, its path, and the file's length and root after each."""
    rng, files = random.Random(seed), Plain()
    store = opened(files, last=count)
    ends, root = [], Root()
    for number in range(1, count + 1):
        root = root.changed({rng.randrange(300): {f"n{rng.randrange(5)}": 1.0} for _ in range(3)})
        store.add(Version(number, root, None, f"order {number}", number * 10))
        ends.append((len(files.held[store.path]), root))
    return files, store.path, ends


def check_cut(files, path, ends, at):
    files.held[path] = files.held[path][:at]
    store = opened(files, last=100)
    whole = [root for end, root in ends if end <= at]
    # All whole versions, and no other.
    assert [version.root for version in store.history.by_number.values()] == whole
    assert len(files.held[store.path]) <= at
    store.add(Version(1000, Root().with_line(7, "x", 1.0), None, "after", 0))  # writing continues
    again = opened(files, last=100)
    assert [version.root for version in again.history.by_number.values()] == [
        *whole,
        Root().with_line(7, "x", 1.0),
    ]


def test_a_file_cut_at_any_offset_keeps_all_whole_versions():
    files, path, ends = written(20)
    data, rng = bytes(files.held[path]), random.Random(5)
    assert len(read(data, path).rows) == 21
    start = data.find(b"IHvt", 1)  # after the first record, which is written whole
    for at in [start, *(end for end, _ in ends), *(rng.randrange(start, len(data)) for _ in range(200))]:
        files.held = {path: bytearray(data)}
        check_cut(files, path, ends, at)


def test_a_changed_byte_is_reported_as_damage_and_never_gives_a_wrong_table():
    files, path, ends = written(8)
    data, rng, rejected = bytes(files.held[path]), random.Random(6), 0
    for _ in range(200):
        damaged, at = bytearray(data), rng.randrange(len(data))
        damaged[at] ^= 1 << rng.randrange(8)
        files.held = {path: damaged}
        try:
            store = opened(files, last=100)
        except InvalidVersionFileError:
            rejected += 1
            continue
        roots = [version.root for version in store.history.by_number.values()]
        assert roots == [root for _, root in ends][: len(roots)] and at >= ends[-2][0]
    assert rejected > 100


def test_a_write_to_a_full_disk_keeps_nothing_and_later_writes_succeed():
    files, _, ends = written(3)
    store = opened(files)
    files.room = 20
    with pytest.raises(OSError):
        store.add(Version(4, root_of({1: {"z": 1.0}}), None, "x", 0))
    assert store.history.newest.number == 3
    with pytest.raises(OSError):
        store.add(Version(4, root_of({1: {"z": 1.0}}), None, "x", 0))
    files.room = 1 << 30
    store.add(Version(4, root_of({1: {"y": 1.0}}), None, "x", 0))
    assert opened(files).history.newest.root == root_of({1: {"y": 1.0}})
    assert opened(files).history.get(3).root == ends[2][1]


def test_an_unfinished_record_on_a_real_disk_is_cut_off(tmp_path):
    store = Store(FileSystem(), str(tmp_path))
    store.open()
    store.add(Version(1, root_of({1: {"a": 1.0}}), None, "x", 0))
    store.name("good", 1)
    store.close()
    with open(store.path, "ab") as file:
        file.write(b"IHvt torn")
    again = Store(FileSystem(), str(tmp_path))
    again.open()
    assert again.history.get("good").root == root_of({1: {"a": 1.0}})
    assert os.path.getsize(again.path) == again.valid_bytes
    again.close()


class Stores(RuleBasedStateMachine):
    """The model: the roots by version number, the names, and the pin."""

    def __init__(self):
        super().__init__()
        self.files = Plain()
        self.store = opened(self.files, last=4, size=600)
        self.store.history.retains_all = False
        self.made, self.names, self.pin = {}, {}, None

    @rule(slice=st.integers(0, 600), backend=st.sampled_from("abc"), weight=st.sampled_from((0, 1.0, 2.0)))
    def add(self, slice, backend, weight):
        root = self.store.root.with_line(slice, backend, weight)
        version = Version(max(self.made, default=0) + 1, root, None, "x", 0)
        self.store.add(version)
        self.made[version.number] = root

    @rule(name=st.sampled_from(("good", "better")), back=st.integers(0, 5))
    def name(self, name, back):
        number = max(self.made, default=0) - back
        try:
            self.store.name(name, max(0, number))
        except InvalidRequestError:
            assert number not in self.store.history.by_number
            return
        self.names.pop(name, None)
        if number > 0:
            self.names[name] = number

    @rule()
    def pin_newest(self):
        if self.made:
            self.pin = max(self.made)
            self.store.pin(self.pin, "operator", 5)

    @rule(room=st.integers(0, 40), slice=st.integers(0, 600))
    def add_on_full_disk(self, room, slice):
        number = max(self.made, default=0) + 1
        self.files.room = room
        root = self.store.root.with_line(slice, "full", 1.0)
        try:
            self.store.add(Version(number, root, None, "x", 0))
            self.made[number] = root
        except OSError:
            assert number not in self.store.history.by_number
        self.files.room = 1 << 40

    @rule(torn=st.binary(max_size=30))
    def restart_after_kill(self, torn):
        if self.store.fd >= 0:
            self.files.held[self.store.path] += torn
        self.files.open.clear()
        self.store = opened(self.files, last=4, size=600)
        self.store.history.retains_all = False

    @invariant()
    def same(self):
        kept, store = self.store.history, self.store
        assert all(version.root == self.made[number] for number, version in kept.by_number.items())
        must = set(sorted(self.made)[-4:]) | set(self.names.values()) | ({self.pin} if self.pin else set())
        assert must <= set(kept.by_number)
        assert kept.names == self.names
        assert (store.pinned.number if store.pinned else None) == self.pin


TestStores = Stores.TestCase
TestStores.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, database=None, derandomize=True
)
