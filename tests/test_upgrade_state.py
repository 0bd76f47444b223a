"""The state of the decision module is restored exactly in seeded scenarios; damaged snapshots are refused."""

import os
import random

import msgspec
import pytest

import test_rules
from indigohitch.interface import ALL_TABLES, SetAdmission
from indigohitch.upgrade import event_codec, module_rows, module_state, snapshot
from world import World, entry


def restored_from_bytes(coordinator, boot):
    row = module_state.freeze(coordinator)
    data = msgspec.msgpack.encode(row)
    restored = module_state.thaw(msgspec.msgpack.decode(data, type=module_state.ModuleRow), boot)
    assert msgspec.msgpack.encode(module_state.freeze(restored)) == data
    return restored


class Upgraded(World):
    """A world whose decision module is replaced by its restored copy at seeded times."""

    replacement_ratio = 0.0

    def _handle(self, now, events):
        if random.Random(now).random() < self.replacement_ratio:
            self.c = restored_from_bytes(self.c, self.boot)
        return super()._handle(now, events)


@pytest.mark.parametrize("seed", range(24))
def test_scenarios_with_upgrades_produce_the_same_orders_as_without(seed, monkeypatch):
    """The world checks the rules after every step; the orders are equal, so no field is missing."""
    monkeypatch.setattr(test_rules, "World", Upgraded)
    logs = []
    for replacement_ratio in (0.0, 0.3):
        monkeypatch.setattr(Upgraded, "replacement_ratio", replacement_ratio)
        logs.append(
            test_rules.random_day(
                seed, 60, messages_most=(0, 12)[seed % 2], admission=("share", "none")[seed // 2 % 2]
            ).log
        )
    assert logs[0] == logs[1] and sum(len(orders) for _, orders in logs[0]) > 50


def test_a_lost_field_is_detected(monkeypatch):
    """Shows that the comparison above can fail."""
    thaw = module_state.thaw

    def thaw_without_move_times(row, boot):
        for slice_row in row.slices:
            slice_row.assignments = [(owner, 0) for owner, _ in slice_row.assignments]  # next_move_at is lost
        return thaw(row, boot)

    monkeypatch.setattr(module_state, "thaw", thaw_without_move_times)
    monkeypatch.setattr(msgspec.msgpack, "encode", lambda row: row)
    monkeypatch.setattr(msgspec.msgpack, "decode", lambda row, type: row)
    with pytest.raises(AssertionError):
        test_scenarios_with_upgrades_produce_the_same_orders_as_without(1, monkeypatch)


def test_every_attribute_of_the_module_is_in_the_rows():
    """A new attribute has to be added to the rows, or here to those that are empty between calls."""
    world = World()
    world.start()
    coordinator = world.c
    transient = {"orders", "subscribe_pending", "probe_targets"}
    # Derived from the settings at the start.
    from_settings = {"settings", "uniform", "methods", "coordinator_count", "own_index"}
    from_settings |= {"max_messages", "counting_window", "window", "burst", "reserve", "refill_interval"}
    # Converted by separate code: the fields of the rows, and the attributes.
    module_fields = {"backends", "slices", "proxies", "departed_proxies", "due_actions", "levels_sent"}
    module_fields |= {"ejected", "readmitted"}
    module_attributes = {"backends", "slices", "proxies", "departed_proxies", "due_actions", "levels_sent"}
    module_attributes |= {"ejected", "readmitted"}
    channel_fields = {"sent", "unacked"}
    backend_fields = {"id", "pace", "attempts", "assignments"}
    backend_attributes = {"id", "pace", "attempts", "assignments"}
    slice_fields = {
        "number",
        "assignments",
        "stored_routes",
        "demand",
        "long_term_demand",
        "latest_demand",
        "closed_methods",
    }
    slice_attributes = {
        "number",
        "assignments",
        "stored_routes",
        "demand",
        "long_term_demand",
        "latest_demand",
    }
    slice_attributes |= {"closed_methods"}
    fields = set(vars(coordinator)) - transient - from_settings - {"channel"}
    assert fields == set(module_rows.MODULE_ATTRIBUTES.values()) | module_attributes
    fields = (
        (set(vars(coordinator.channel)) | set(vars(coordinator.channel.messages)))
        - from_settings
        - {"messages"}
    )
    assert fields == set(module_rows.CHANNEL_ATTRIBUTES.values()) | channel_fields
    fields = set(vars(next(iter(coordinator.backends.values()))))
    assert fields - {"key"} == set(module_rows.BACKEND_ATTRIBUTES.values()) | backend_attributes
    assert set(vars(coordinator.slices[0])) == set(module_rows.SLICE_ATTRIBUTES.values()) | slice_attributes
    for row, copied_fields, converted_fields in (
        (
            module_rows.ModuleRow,
            module_rows.MODULE_ATTRIBUTES | module_rows.CHANNEL_ATTRIBUTES,
            module_fields | channel_fields | {"random_state"},
        ),
        (module_rows.BackendRow, module_rows.BACKEND_ATTRIBUTES, backend_fields),
        (module_rows.SliceRow, module_rows.SLICE_ATTRIBUTES, slice_fields),
    ):
        assert not copied_fields.keys() & converted_fields
        assert set(row.__struct_fields__) == copied_fields.keys() | converted_fields


def make_snapshot():
    world = World()
    world.start(slices=4)
    row = module_state.freeze(world.c)
    state = snapshot.CoordinatorState(row, [], {}, [], 1, True, [], [5], 0, [], [], True, [], [])
    return snapshot.Snapshot("coordinator", 7, None, state)


def test_a_damaged_snapshot_is_refused_as_a_whole():
    data = snapshot.encode(make_snapshot())
    assert snapshot.decode(data).taken == 7
    rng = random.Random(1)
    for cut in [0, 1, 30, len(data) - 1, *(rng.randrange(len(data)) for _ in range(200))]:
        with pytest.raises(snapshot.UnusableSnapshotError):
            snapshot.decode(data[:cut])
    for _ in range(2000):
        damaged = bytearray(data)
        damaged[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        with pytest.raises(snapshot.UnusableSnapshotError):
            snapshot.decode(bytes(damaged))
    with pytest.raises(snapshot.UnusableSnapshotError):
        snapshot.decode(data + b"x")


class NewerRow(module_state.ModuleRow):
    """A row with a field that a later version has added."""

    added_field: int = 7


@pytest.mark.parametrize(
    "version, is_readable",
    [(snapshot.SCHEMA - 1, True), (snapshot.SCHEMA + 1, True), (snapshot.SCHEMA + 2, False)],
)
def test_only_adjacent_schema_versions_are_read(version, is_readable):
    original = make_snapshot()
    module = original.coordinator.module
    original.coordinator.module = NewerRow(**{f: getattr(module, f) for f in module.__struct_fields__})
    data = snapshot.encode(original, version)
    if is_readable:
        assert snapshot.decode(data).coordinator.module == module
    else:
        with pytest.raises(snapshot.UnusableSnapshotError, match="version"):
            snapshot.decode(data)


def test_a_snapshot_file_is_replaced_atomically(tmp_path, monkeypatch):
    path = str(tmp_path / "state")
    snapshot.write(path, b"first")

    def fail_on_full_disk(fd, data):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "write", fail_on_full_disk)
    with pytest.raises(OSError):
        snapshot.write(path, b"second")
    monkeypatch.undo()
    assert (tmp_path / "state").read_bytes() == b"first" and os.listdir(tmp_path) == ["state"]
    (tmp_path / "state").write_bytes(snapshot.encode(make_snapshot())[:1000])  # truncated by a full disk
    with pytest.raises(snapshot.UnusableSnapshotError, match="truncated"):
        snapshot.read(path)


def test_events_and_orders_are_decoded_unchanged():
    world = World()
    world.start()
    items = [order for _, orders in world.log for order in orders] + [SetAdmission(ALL_TABLES, (1,), 0.5, 2)]
    rows = msgspec.msgpack.decode(msgspec.msgpack.encode(event_codec.pack_all(items)))
    assert event_codec.unpack_all(rows) == items
    backend_list = event_codec.interface.BackendList("full", 3, (entry("b0"),))
    assert (
        event_codec.unpack(msgspec.msgpack.decode(msgspec.msgpack.encode(event_codec.pack(backend_list))))
        == backend_list
    )
    with pytest.raises(ValueError):
        event_codec.unpack(("os", 1))
