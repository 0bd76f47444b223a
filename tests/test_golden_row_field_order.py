"""The order of the fields in rows that are stored or handed over.

A row is encoded as an array: a field may get another name, but not another position.  A rename of a field
changes its name here, at the same position; new fields are added at the end.
"""

import msgspec
import pytest

from indigohitch.encoding.rows import Row
from indigohitch.upgrade import messages, module_rows, snapshot

FIELD_ORDER = {
    module_rows.DecayingSumRow: "window updated_at values",
    module_rows.BackendRow: (
        "id kind zone weight started_at state is_unlisted notified_at pace attempts slowness excess "
        "probe_sent_at missed_probes first_miss_at last_success_at unanswered health admission_ratio "
        "judged_at queue_wait is_suspect is_unresponsive received_slices warmup_fraction capacity "
        "load assignments cold_start_share"
    ),
    module_rows.SliceRow: (
        "number owned_since assignments stored_routes admission_ratio demand long_term_demand load cost "
        "closed_methods closing_marker closed_at quiet_since recent_load latest_demand"
    ),
    module_rows.ModuleRow: (
        "random_state now beat_count last_marker backends slices proxies due_actions planning_allowed_at "
        "throughput_per_weight failure_ratio assessed_at planning_round overloaded is_balancing "
        "has_pending_routes is_list_current levels_sent ejected readmitted backlog backlog_at sent "
        "unacked next_beat_at timer_due_at failed_list_calls departed_proxies last_join_at "
        "recent_slice_count"
    ),
    snapshot.ServerRow: "name host port withdrawn listed load",
    snapshot.TableRow: "lines level levels tries",
    snapshot.PoolRow: "name slices module servers tables chance version turn reported listed probing",
    snapshot.SidecarState: "pools",
    snapshot.StoredTableRow: "number lines level",
    snapshot.CoordinatorState: (
        "module listed addresses known_backend_ids version watching waiting written failures proxies tables "
        "has_started dropped_tables probing unresolved_orders starts last_list_at"
    ),
    snapshot.Snapshot: "kind taken sidecar coordinator",
    messages.Hello: "protocol schema pid version",
    messages.Listeners: "names now state_bytes rehearse_at",
    messages.StateChunk: "data",
    messages.StateRestored: "digest",
    messages.StateProven: "orders",
    messages.ConnectionsPassed: "numbers unread kinds",
    messages.CommitHandover: "late_events reload",
    messages.AcceptingStarted: "",
    messages.ConnectionsAdopted: "numbers",
    messages.LateEvents: "late_events",
    messages.DrainCompleted: "",
    messages.HandoverCalledOff: "reason",
    messages.HandoverRefused: "reason",
}


@pytest.mark.parametrize("row", FIELD_ORDER, ids=lambda row: row.__name__)
def test_fields_keep_their_order(row):
    assert row.__struct_fields__ == tuple(FIELD_ORDER[row].split())
    assert row.__struct_config__.array_like and issubclass(row, Row)


def test_every_row_class_is_listed():
    row_classes = {
        member
        for module in (module_rows, snapshot, messages)
        for member in vars(module).values()
        if isinstance(member, type) and issubclass(member, Row) and member is not Row
    }
    assert row_classes == set(FIELD_ORDER)


def test_a_row_is_encoded_as_an_array():
    message = messages.Hello(protocol=2, schema=3, pid=4, version="v")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(message)) == [2, 3, 4, "v"]
