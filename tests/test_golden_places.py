"""Each value of the recorded states, frames and rows is where its name says.  To read and to write again
would not show two places that are exchanged in both ways."""

import msgspec
import pytest

from golden.upgrade_states import FRAMES, TAKEN, states
from indigohitch import interface as face
from indigohitch.upgrade import event_codec
from indigohitch.upgrade import snapshot as shots
from indigohitch.upgrade.messages import MESSAGE_TYPES, FrameDecoder
from test_golden_upgrade import coordinator, log, loop, plain, recorded, sidecar  # noqa: F401

ITEMS = [
    (["BackendList", "full", 3, []], face.BackendList(scope="full", version=3, entries=())),
    (["Probed", "b1", "ok", 6, {}], face.ProbeResult(backend="b1", outcome="ok", duration=6, load={})),
    (
        ["SliceDemand", 3, "get", 4, 5, 6],
        face.SliceDemand(slice=3, method="get", total=4, unanswered=5, elapsed=6),
    ),
    (
        ["ProxyDemand", 3, "get", 4, 5, 6],
        face.ProxyDemand(proxy=3, method="get", total=4, unanswered=5, elapsed=6),
    ),
    (
        ["Traffic", "east", "b1", 4, 5, 6, 7, {"queued": 1}],
        face.BackendTraffic(
            zone="east", backend="b1", attempts=4, failures=5, duration=6, elapsed=7, load={"queued": 1}
        ),
    ),
    (
        ["ProxyJoined", 3, "east", 5.0, True],
        face.ProxyJoined(proxy=3, zone="east", request_rate=5.0, has_no_tables=True),
    ),
    (["ProxyLeft", 3], face.ProxyLeft(proxy=3)),
    (["Acked", 3, 4, 5], face.UpdateAcknowledged(proxy=3, marker=4, duration=5)),
    (["Charge", 3, True], face.SliceOwnership(slice=3, is_owned=True)),
    (["StoredLine", 3, "b1", 1.0], face.StoredRoute(slice=3, backend="b1", weight=1.0)),
    (["PeerNote", 3, b"x"], face.PeerMessage(peer=3, body=b"x")),
    (["TimerDue", "beat"], face.TimerFired(tag="beat")),
    (["SetLine", 3, "b1", 1.0], face.SetRoute(table=3, backend="b1", weight=1.0)),
    (["ClearTable", 3], face.ClearTable(table=3)),
    (
        ["SetLevel", 3, [1], 0.5, 2],
        face.SetAdmission(table=3, methods=(1,), admission_ratio=0.5, retry_level=2),
    ),
    (["Withdraw", "b1", True], face.EjectBackend(backend="b1", ejected=True)),
    (["Bind", 3, 4, [1]], face.BindTable(proxy=3, table=4, methods=[1])),
    (["Mark", 3, False], face.UpdateMarker(marker=3, to_all_proxies=False)),
    (["Probe", "b1"], face.ProbeBackend(backend="b1")),
    (["TellPeer", -1, b"x"], face.SendToPeer(peer=-1, body=b"x")),
    (["Subscribe", True], face.WatchBackends(enabled=True)),
    (["FetchList"], face.FetchBackends()),
    (["SetTimer", 3, "beat"], face.SetTimer(due_at=3, tag="beat")),
    (["LogLine", "x"], face.LogMessage(text="x")),
]


@pytest.mark.parametrize("row, item", ITEMS, ids=[row[0] for row, _ in ITEMS])
def test_a_row_is_the_event_or_order_that_it_was(row, item):
    assert event_codec.unpack(row) == item
    assert msgspec.msgpack.encode(event_codec.pack(item)) == msgspec.msgpack.encode(row)


def test_an_entry_of_a_list_is_what_it_was():
    entry = face.BackendEntry(
        backend="b1", state="ready", weight=6.0, zone="east", cell=2, kind="std", started_at=7
    )
    row = ["BackendList", "full", 3, [["b1", "ready", 6.0, "east", 2, "std", 7]]]
    assert event_codec.unpack(row).entries == (entry,)
    assert list(event_codec.pack_entry(entry)) == row[3][0]


def test_days_lived_again_come_to_the_recorded_states():
    """The module's attributes, as they come to be, are at the places where they were."""
    assert states() == {name: recorded(f"{name}.snapshot") for name in ("coordinator", "sidecar")}


def test_a_coordinators_values_are_where_they_were(loop, log):  # noqa: F811
    side = coordinator(loop, log)
    row = plain("coordinator")[3]
    side.restore(shots.decode(recorded("coordinator.snapshot")), {})
    front = side.front
    try:
        assert front.coordinator.now == row[0][1] and side.taken == TAKEN
        assert [event_codec.pack_entry(entry) for entry in front.entries.values()] == [
            tuple(e) for e in row[1]
        ]
        assert (front.addresses, list(front.known_backend_ids)) == (row[2], row[3])
        assert (front.discovery.version, side.state.watching) == (row[4], row[5])
        assert [event_codec.pack_all(call) for call in front.relay.pending_calls] == [
            [tuple(order) if order[0] != "SetLevel" else levelled(order) for order in call] for call in row[6]
        ]
        assert (list(front.relay.sent_at), front.relay.in_flight_call.failures) == (row[7], row[8])
        assert list(front.store_mirror.proxies) == [joined[1] for joined in row[9]]
        stood = {number: dict(lines) for number, lines, _ in row[10]}
        assert {number: table.lines for number, table in front.store_mirror.tables.items()} == stood
        assert (front.store_mirror.has_started, sorted(front.store_mirror.dropped_tables)) == (
            row[11],
            row[12],
        )
        assert side.state.probing == row[13]
        assert [event_codec.pack(order) for order in front.relay.in_flight_call.unresolved_orders] == [
            tuple(o) for o in row[14]
        ]
        starts = [
            [name, start.reported_at, start.started_at]
            for name, start in front.start_times.starts_by_backend.items()
        ]
        assert starts == row[15] and front.start_times.last_list_at == row[16]
    finally:
        front.close()


def levelled(order: list) -> tuple:
    name, table, methods, level, tries = order
    return name, table, tuple(methods), level, tries


def test_a_sidecars_values_are_where_they_were(loop, log):  # noqa: F811
    side = sidecar(loop, log)
    side.restore(shots.decode(recorded("sidecar.snapshot")), {})
    for row, pool in zip(plain("sidecar")[2][0], side.host.pools.values(), strict=True):
        assert (pool.name, pool.slices, pool.coordinator.now) == (row[0], row[1], row[2][1])
        for found, server in zip(row[3], pool.servers.values(), strict=True):
            assert [server.name, *server.address] == found[:3]
            assert [server.withdrawn, server.listed, server.load] == found[3:]
        for found, table in zip(row[4], pool.tables, strict=True):
            assert [server.name for server in table.servers] == [row[3][at][0] for at, _ in found[0]]
            assert [table.level, table.levels, table.retry_level] == found[1:]
        assert [pool.version, pool._turn, pool.reported] == row[6:9]
        assert [side.rows[pool.name].probing] == row[10:]


def test_values_of_frames_are_where_they_were():
    def word(name):
        ((found, _),) = FrameDecoder(MESSAGE_TYPES).feed(recorded(f"{name}.frame"))
        return found

    values = {name: given for name, _, given in FRAMES}
    found = word("hello")
    assert [found.protocol, found.schema, found.pid, found.version] == values["hello"]
    found = word("listeners")
    assert [found.names, found.now, found.state_bytes, found.rehearse_at] == values["listeners"]
    found = word("passed")
    assert [found.numbers, found.rests, found.kinds] == values["passed"]
    assert word("commit").reload is True and word("adopted").numbers == [1, 2, 300]
