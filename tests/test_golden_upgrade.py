"""States and frames that an earlier version wrote keep their meaning and are written byte for byte."""

import os

import msgspec
import pytest

from golden.upgrade_states import (
    BACKENDS,
    CLOSED,
    DUE,
    FOLDER,
    FRAMES,
    ORDERS,
    PROBE_OUT,
    REHEARSED_AFTER,
    REST,
    SETTINGS_OF_COORDINATOR,
    SIDECAR_REST,
    SLICES,
    STATE,
    TAKEN,
    UNACKED,
    WITHDRAWN,
    eventful,
    ordered_next,
    values,
)
from indigohitch.config.sidecar_file import read
from indigohitch.log import Log
from indigohitch.net.clock import Clock
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.front import Front
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.settings import parse_settings
from indigohitch.sidecar.handover import SidecarHandover
from indigohitch.sidecar.host import Host
from indigohitch.upgrade import event_codec, snapshot
from indigohitch.upgrade.messages import MESSAGE_TYPES, FrameDecoder, frame
from indigohitch.upgrade.module_rows import ModuleRow
from indigohitch.upgrade.module_state import freeze, thaw
from waiting import free_address

TEXT = """listen {}
seed 3
rpc search idempotent soft 2s deadline 6s
rpc reserve non-idempotent soft 1.2s deadline 3s
pool nodes slices 24 report 2s
pool halls slices 24 report 1s
server n1 127.0.0.1:9 pool nodes
server h1 127.0.0.1:9 pool halls
route GET /a/{{b}} rpc search pool nodes key path 1
route GET /h/{{b}} rpc search pool halls key path 1
"""


def recorded(file: str) -> bytes:
    return (FOLDER / file).read_bytes()


def plain(name: str) -> list:
    """Return the body of a recorded snapshot as plain lists."""
    return msgspec.msgpack.decode(recorded(f"{name}.snapshot")[34:])


def modules() -> list[list]:
    return [plain("coordinator")[3][0], *(pool[2] for pool in plain("sidecar")[2][0])]


@pytest.fixture
def loop():
    event_loop = EventLoop(Clock(), lambda broken: None)
    yield event_loop
    event_loop.close()


@pytest.fixture
def log(loop):
    fd = os.open(os.devnull, os.O_WRONLY)
    yield Log(loop.clock, "t", fd)
    os.close(fd)


def coordinator(loop, log) -> CoordinatorHandover:
    document = {
        "name": "n0",
        "discovery": free_address(),
        "seed": "8c1f30d2",
        "settings": SETTINGS_OF_COORDINATOR,
        "store": {"address": free_address()},
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"generation": 1, "reset": True, "instances": []},
    }
    return CoordinatorHandover(
        None,
        lambda listening: Front(loop, log, document | {"listen": free_address()}),
        lambda: None,
        lambda sock: None,
        lambda: None,
    )


def sidecar(loop, log) -> SidecarHandover:
    host = Host(loop, log, read(TEXT.format(free_address())))
    return SidecarHandover(host, lambda: None, lambda sock: None, lambda: None)


def test_a_restored_coordinator_encodes_the_same_state(loop, log):
    data = recorded("coordinator.snapshot")
    side = coordinator(loop, log)
    state = snapshot.decode(data)
    assert snapshot.encode(state) == data
    side.restore(state, {})
    try:
        assert snapshot.encode(side.snapshot_again()) == data
        module = plain("coordinator")[3][0]
        orders = side.rehearse_copy(state, module[1] + REHEARSED_AFTER)
        assert orders == ordered_next(data)
        message, _ = next(FrameDecoder(MESSAGE_TYPES).feed(recorded("proven.frame")))
        assert msgspec.structs.astuple(message) == (orders,)
        assert side.rehearse(module[1] + REHEARSED_AFTER) == orders
    finally:
        side.front.close()


def test_a_restored_sidecar_encodes_the_same_state(loop, log):
    data = recorded("sidecar.snapshot")
    state = snapshot.decode(data)
    assert snapshot.encode(state) == data
    side = sidecar(loop, log)
    host = side.host
    side.restore(state, {})
    assert side.cold == [] and snapshot.encode(side.snapshot_again()) == data
    side.take_late_events(msgspec.msgpack.encode(SIDECAR_REST))
    taken_events = {name: event_codec.pack_all(pool.event_batch.take()) for name, pool in host.pools.items()}
    assert {name: [list(row) for row in rows] for name, rows in taken_events.items()} == {
        name: rows for name, (rows, _) in SIDECAR_REST.items()
    }


def test_recorded_states_contain_work_in_progress():
    kind, taken, _, front = plain("coordinator")
    assert (kind, taken) == ("coordinator", TAKEN) and eventful(front[0])
    assert front[6] == ORDERS and front[13] == [b[0] for b in front[0][BACKENDS] if b[PROBE_OUT]] != []
    assert all(name == "subscribe" and due > 0 for row in modules() for due, name in row[DUE])
    assert len(front[0][DUE]) > 0 and front[0][WITHDRAWN] and front[0][UNACKED]
    assert "draining" in {b[STATE] for b in front[0][BACKENDS]}
    kind, taken, sidecar, _ = plain("sidecar")
    assert (kind, taken) == ("sidecar", TAKEN) and [pool[0] for pool in sidecar[0]] == ["nodes", "halls"]
    closed = [[s[CLOSED] for s in pool[2][SLICES] if s[CLOSED] is not None] for pool in sidecar[0]]
    assert all(closed) and sidecar[0][0][10] != []


@pytest.mark.parametrize("index", range(3))
def test_a_restored_module_encodes_the_same_bytes(index):
    """Each value keeps its position, whatever the names of rows and attributes are."""
    row = modules()[index]
    boot, _ = parse_settings(SETTINGS_OF_COORDINATOR)
    module = thaw(msgspec.convert(row, ModuleRow), boot)
    data = msgspec.msgpack.encode(freeze(module))
    assert data == msgspec.msgpack.encode(row)
    assert msgspec.msgpack.decode(data) == row


@pytest.mark.parametrize("number", range(len(FRAMES)))
def test_a_recorded_frame_is_decoded_and_encoded_unchanged(number):
    name, descriptors, expected = FRAMES[number]
    data = recorded(f"{name}.frame")
    ((message, count),) = FrameDecoder(MESSAGE_TYPES).feed(data)
    assert type(message) is MESSAGE_TYPES.rows[number] and count == descriptors
    assert frame(message, count) == data
    expected_values = values(name, expected, recorded("coordinator.snapshot"))
    assert list(msgspec.structs.astuple(message)) == expected_values
    assert msgspec.msgpack.decode(data[-len(msgspec.msgpack.encode(expected_values)) :]) == expected_values


def test_each_message_has_a_recorded_frame():
    assert (
        len(MESSAGE_TYPES.rows) == len(FRAMES)
        and MESSAGE_TYPES.magic == b"IHup"
        and MESSAGE_TYPES.protocol == 1
    )
    assert {path.name for path in FOLDER.glob("*.frame")} == {f"{name}.frame" for name, _, _ in FRAMES}


def test_recorded_late_events_are_decoded_and_encoded_unchanged():
    ((commit, _),) = FrameDecoder(MESSAGE_TYPES).feed(recorded("commit.frame"))
    late_events = msgspec.structs.astuple(commit)[0]
    assert (
        msgspec.msgpack.encode(
            event_codec.pack_all(event_codec.unpack_all(msgspec.msgpack.decode(late_events)))
        )
        == late_events
    )
    assert msgspec.msgpack.decode(late_events) == REST


@pytest.mark.parametrize("index", range(len(ORDERS)))
def test_recorded_pending_orders_are_decoded_and_encoded_unchanged(index):
    rows = ORDERS[index]
    assert msgspec.msgpack.encode(
        event_codec.pack_all(event_codec.unpack_all(rows))
    ) == msgspec.msgpack.encode(rows)
