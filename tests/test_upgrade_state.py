"""The module's state as bytes and back within seeded days; snapshots that are harmed."""

import os
import random

import msgspec
import pytest

import test_rules
from indigohitch.interface import ALL_TABLES, SetAdmission
from indigohitch.upgrade import event_codec, module_rows, module_state
from indigohitch.upgrade import snapshot as shots
from world import World, entry


def over_and_back(coordinator, boot):
    row = module_state.freeze(coordinator)
    data = msgspec.msgpack.encode(row)
    again = module_state.thaw(msgspec.msgpack.decode(data, type=module_state.ModuleRow), boot)
    assert msgspec.msgpack.encode(module_state.freeze(again)) == data
    return again


class Upgraded(World):
    """A world whose module is replaced by its restored state at seeded moments."""

    every = 0.0

    def _handle(self, now, heard):
        if random.Random(now).random() < self.every:
            self.c = over_and_back(self.c, self.boot)
        return super()._handle(now, heard)


@pytest.mark.parametrize("seed", range(24))
def test_days_with_upgrades_are_the_days_without(seed, monkeypatch):
    """The rules are checked after every step by the world; the orders are the same to the letter, so no field
    is missing."""
    monkeypatch.setattr(test_rules, "World", Upgraded)
    logs = []
    for every in (0.0, 0.3):
        monkeypatch.setattr(Upgraded, "every", every)
        logs.append(
            test_rules.random_day(
                seed, 60, messages_most=(0, 12)[seed % 2], admission=("share", "none")[seed // 2 % 2]
            ).log
        )
    assert logs[0] == logs[1] and sum(len(orders) for _, orders in logs[0]) > 50


def test_a_missing_field_is_found(monkeypatch):
    """The comparison can fail."""
    thaw = module_state.thaw

    def forgetful(row, boot):
        for found in row.slices:
            found.parts = [(owner, 0) for owner, _ in found.parts]  # since when each part rests
        return thaw(row, boot)

    monkeypatch.setattr(module_state, "thaw", forgetful)
    monkeypatch.setattr(msgspec.msgpack, "encode", lambda row: row)
    monkeypatch.setattr(msgspec.msgpack, "decode", lambda row, type: row)
    with pytest.raises(AssertionError):
        test_days_with_upgrades_are_the_days_without(1, monkeypatch)


def test_every_field_of_the_module_has_a_place():
    """One that is added later must be taken along, or be named here as one that is empty between calls."""
    w = World()
    w.start()
    c = w.c
    transient = {"orders", "subscribe_pending", "probe_targets"}
    of_boot = {"settings", "uniform", "methods", "coordinator_count", "own_index"}  # read of it at the start
    of_boot |= {"max_messages", "counting_window", "window", "burst", "reserve", "refill_interval"}
    # Copied by code of their own: the attributes, and the fields of the rows.
    own = {"backends", "slices", "proxies", "left", "due", "levels_sent", "withdrawn", "returned"}
    own_attributes = {"backends", "slices", "proxies", "departed_proxies", "due_actions", "levels_sent"}
    own_attributes |= {"ejected", "readmitted"}
    of_channel, of_backend = {"sent", "unacked"}, {"id", "pace", "tries", "parts"}
    backend_attributes = {"id", "pace", "attempts", "assignments"}
    of_slice = {"number", "parts", "stored", "demand", "usual", "latest", "closed"}
    slice_attributes = {
        "number",
        "assignments",
        "stored_routes",
        "demand",
        "long_term_demand",
        "latest_demand",
    }
    slice_attributes |= {"closed_methods"}
    fields = set(vars(c)) - transient - of_boot - {"channel"}
    assert fields == set(module_rows.PLAIN.values()) | own_attributes
    fields = (set(vars(c.channel)) | set(vars(c.channel.messages))) - of_boot - {"messages"}
    assert fields == set(module_rows.OF_CHANNEL.values()) | of_channel
    fields = set(vars(next(iter(c.backends.values()))))
    assert fields - {"key"} == set(module_rows.OF_BACKEND.values()) | backend_attributes
    assert set(vars(c.slices[0])) == set(module_rows.OF_SLICE.values()) | slice_attributes
    for row, by_table, by_hand in (
        (
            module_rows.ModuleRow,
            module_rows.PLAIN | module_rows.OF_CHANNEL,
            own | of_channel | {"chance"},
        ),
        (module_rows.BackendRow, module_rows.OF_BACKEND, of_backend),
        (module_rows.SliceRow, module_rows.OF_SLICE, of_slice),
    ):
        assert not by_table.keys() & by_hand
        assert set(row.__struct_fields__) == by_table.keys() | by_hand


def shot():
    w = World()
    w.start(slices=4)
    row = module_state.freeze(w.c)
    state = shots.CoordinatorState(row, [], {}, [], 1, True, [], [5], 0, [], [], True, [], [])
    return shots.Snapshot("coordinator", 7, None, state)


def test_a_snapshot_that_is_harmed_is_refused_whole():
    data = shots.encode(shot())
    assert shots.decode(data).taken == 7
    rng = random.Random(1)
    for cut in [0, 1, 30, len(data) - 1, *(rng.randrange(len(data)) for _ in range(200))]:
        with pytest.raises(shots.UnusableSnapshotError):
            shots.decode(data[:cut])
    for _ in range(2000):
        harmed = bytearray(data)
        harmed[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        with pytest.raises(shots.UnusableSnapshotError):
            shots.decode(bytes(harmed))
    with pytest.raises(shots.UnusableSnapshotError):
        shots.decode(data + b"x")


class NewerRow(module_state.ModuleRow):
    """As a later version may have it."""

    more: int = 7


@pytest.mark.parametrize(
    "version, read", [(shots.SCHEMA - 1, True), (shots.SCHEMA + 1, True), (shots.SCHEMA + 2, False)]
)
def test_versions_one_off_are_read_others_refused(version, read):
    found = shot()
    module = found.coordinator.module
    found.coordinator.module = NewerRow(**{f: getattr(module, f) for f in module.__struct_fields__})
    data = shots.encode(found, version)
    if read:
        assert shots.decode(data).coordinator.module == module
    else:
        with pytest.raises(shots.UnusableSnapshotError, match="version"):
            shots.decode(data)


def test_a_file_is_written_whole_or_not_at_all(tmp_path, monkeypatch):
    path = str(tmp_path / "state")
    shots.write(path, b"first")

    def full(fd, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", full)
    with pytest.raises(OSError):
        shots.write(path, b"second")
    monkeypatch.undo()
    assert (tmp_path / "state").read_bytes() == b"first" and os.listdir(tmp_path) == ["state"]
    (tmp_path / "state").write_bytes(shots.encode(shot())[:1000])  # as a disk that is full leaves it
    with pytest.raises(shots.UnusableSnapshotError, match="truncated"):
        shots.read(path)


def test_events_and_orders_come_back_as_they_were():
    w = World()
    w.start()
    items = [order for _, orders in w.log for order in orders] + [SetAdmission(ALL_TABLES, (1,), 0.5, 2)]
    rows = msgspec.msgpack.decode(msgspec.msgpack.encode(event_codec.pack_all(items)))
    assert event_codec.unpack_all(rows) == items
    listed = event_codec.face.BackendList("full", 3, (entry("b0"),))
    assert (
        event_codec.unpack(msgspec.msgpack.decode(msgspec.msgpack.encode(event_codec.pack(listed)))) == listed
    )
    with pytest.raises(ValueError):
        event_codec.unpack(("os", 1))


# ---- the channel ---------------------------------------------------------------------------------------
