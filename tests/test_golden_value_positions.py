"""Each value of the recorded states, frames and rows is at the position of its name.

Decoding and encoding again would not detect two positions that are swapped in both directions.
"""

import msgspec
import pytest

from golden.upgrade_states import FRAMES, TAKEN, states
from indigohitch import interface
from indigohitch.upgrade import event_codec, snapshot
from indigohitch.upgrade.messages import MESSAGE_TYPES, FrameDecoder
from test_golden_upgrade import coordinator, log, loop, plain, recorded, sidecar  # noqa: F401

EVENTS_AND_ORDERS = [
    (["BackendList", "full", 3, []], interface.BackendList(scope="full", version=3, entries=())),
    (["Probed", "b1", "ok", 6, {}], interface.ProbeResult(backend="b1", outcome="ok", duration=6, load={})),
    (
        ["SliceDemand", 3, "get", 4, 5, 6],
        interface.SliceDemand(slice=3, method="get", total=4, unanswered=5, elapsed=6),
    ),
    (
        ["ProxyDemand", 3, "get", 4, 5, 6],
        interface.ProxyDemand(proxy=3, method="get", total=4, unanswered=5, elapsed=6),
    ),
    (
        ["Traffic", "east", "b1", 4, 5, 6, 7, {"queued": 1}],
        interface.BackendTraffic(
            zone="east", backend="b1", attempts=4, failures=5, duration=6, elapsed=7, load={"queued": 1}
        ),
    ),
    (
        ["ProxyJoined", 3, "east", 5.0, True],
        interface.ProxyJoined(proxy=3, zone="east", request_rate=5.0, has_no_tables=True),
    ),
    (["ProxyLeft", 3], interface.ProxyLeft(proxy=3)),
    (["Acked", 3, 4, 5], interface.UpdateAcknowledged(proxy=3, marker=4, duration=5)),
    (["Charge", 3, True], interface.SliceOwnership(slice=3, is_owned=True)),
    (["StoredLine", 3, "b1", 1.0], interface.StoredRoute(slice=3, backend="b1", weight=1.0)),
    (["PeerNote", 3, b"x"], interface.PeerMessage(peer=3, body=b"x")),
    (["TimerDue", "beat"], interface.TimerFired(tag="beat")),
    (["SetLine", 3, "b1", 1.0], interface.SetRoute(table=3, backend="b1", weight=1.0)),
    (["ClearTable", 3], interface.ClearTable(table=3)),
    (
        ["SetLevel", 3, [1], 0.5, 2],
        interface.SetAdmission(table=3, methods=(1,), admission_ratio=0.5, retry_level=2),
    ),
    (["Withdraw", "b1", True], interface.EjectBackend(backend="b1", ejected=True)),
    (["Bind", 3, 4, [1]], interface.BindTable(proxy=3, table=4, methods=[1])),
    (["Mark", 3, False], interface.UpdateMarker(marker=3, to_all_proxies=False)),
    (["Probe", "b1"], interface.ProbeBackend(backend="b1")),
    (["TellPeer", -1, b"x"], interface.SendToPeer(peer=-1, body=b"x")),
    (["Subscribe", True], interface.WatchBackends(enabled=True)),
    (["FetchList"], interface.FetchBackends()),
    (["SetTimer", 3, "beat"], interface.SetTimer(due_at=3, tag="beat")),
    (["LogLine", "x"], interface.LogMessage(text="x")),
]


@pytest.mark.parametrize("row, item", EVENTS_AND_ORDERS, ids=[row[0] for row, _ in EVENTS_AND_ORDERS])
def test_a_recorded_row_decodes_to_its_event_or_order(row, item):
    assert event_codec.unpack(row) == item
    assert msgspec.msgpack.encode(event_codec.pack(item)) == msgspec.msgpack.encode(row)


def test_a_recorded_backend_list_decodes_to_its_entries():
    entry = interface.BackendEntry(
        backend="b1", state="ready", weight=6.0, zone="east", cell=2, kind="std", started_at=7
    )
    row = ["BackendList", "full", 3, [["b1", "ready", 6.0, "east", 2, "std", 7]]]
    assert event_codec.unpack(row).entries == (entry,)
    assert list(event_codec.pack_entry(entry)) == row[3][0]


def test_replayed_scenarios_result_in_the_recorded_states():
    """Attributes that the decision module computes are stored at their recorded positions."""
    assert states() == {name: recorded(f"{name}.snapshot") for name in ("coordinator", "sidecar")}


def test_values_of_a_coordinator_are_at_their_recorded_positions(loop, log):  # noqa: F811
    side = coordinator(loop, log)
    row = plain("coordinator")[3]
    side.restore(snapshot.decode(recorded("coordinator.snapshot")), {})
    front = side.front
    try:
        assert front.coordinator.now == row[0][1] and side.snapshot_taken_at == TAKEN
        assert [event_codec.pack_entry(entry) for entry in front.entries.values()] == [
            tuple(e) for e in row[1]
        ]
        assert (front.addresses, list(front.known_backend_ids)) == (row[2], row[3])
        assert (front.discovery.version, side.state.watching) == (row[4], row[5])
        assert [event_codec.pack_all(call) for call in front.relay.pending_calls] == [
            [tuple(order) if order[0] != "SetLevel" else admission_row(order) for order in call]
            for call in row[6]
        ]
        assert (list(front.relay.sent_at), front.relay.in_flight_call.failures) == (row[7], row[8])
        assert list(front.store_mirror.proxies) == [joined[1] for joined in row[9]]
        expected_tables = {number: dict(lines) for number, lines, _ in row[10]}
        assert {
            number: table.routes for number, table in front.store_mirror.tables.items()
        } == expected_tables
        assert (front.store_mirror.has_started, sorted(front.store_mirror.dropped_tables)) == (
            row[11],
            row[12],
        )
        assert side.state.probing == row[13]
        assert [event_codec.pack(order) for order in front.relay.in_flight_call.unresolved_orders] == [
            tuple(o) for o in row[14]
        ]
        start_times = [
            [name, start.reported_at, start.started_at]
            for name, start in front.start_times.starts_by_backend.items()
        ]
        assert start_times == row[15] and front.start_times.last_list_at == row[16]
    finally:
        front.close()


def admission_row(order: list) -> tuple:
    name, table, methods, admission_ratio, retry_level = order
    return name, table, tuple(methods), admission_ratio, retry_level


def test_values_of_a_sidecar_are_at_their_recorded_positions(loop, log):  # noqa: F811
    side = sidecar(loop, log)
    side.restore(snapshot.decode(recorded("sidecar.snapshot")), {})
    for row, pool in zip(plain("sidecar")[2][0], side.host.pools.values(), strict=True):
        assert (pool.name, pool.slices, pool.coordinator.now) == (row[0], row[1], row[2][1])
        for expected, server in zip(row[3], pool.servers.values(), strict=True):
            assert [server.name, *server.address] == expected[:3]
            assert [server.withdrawn, server.listed, server.load] == expected[3:]
        for expected, table in zip(row[4], pool.tables, strict=True):
            assert [server.name for server in table.servers] == [row[3][index][0] for index, _ in expected[0]]
            assert [table.level, table.levels, table.retry_level] == expected[1:]
        assert [pool.version, pool._turn, pool.reported] == row[6:9]
        assert [side.rows[pool.name].probing] == row[10:]


def test_values_of_frames_are_at_their_recorded_positions():
    def recorded_message(name):
        ((decoded, _),) = FrameDecoder(MESSAGE_TYPES).feed(recorded(f"{name}.frame"))
        return decoded

    values = {name: expected for name, _, expected in FRAMES}
    decoded = recorded_message("hello")
    assert [decoded.protocol, decoded.schema, decoded.pid, decoded.version] == values["hello"]
    decoded = recorded_message("listeners")
    assert [decoded.names, decoded.now, decoded.state_bytes, decoded.rehearse_at] == values["listeners"]
    decoded = recorded_message("passed")
    assert [decoded.numbers, decoded.unread, decoded.kinds] == values["passed"]
    assert recorded_message("commit").reload is True and recorded_message("adopted").numbers == [1, 2, 300]
