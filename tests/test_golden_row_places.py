"""The order of the fields of rows that are kept or handed over: a row is an array, so that a name may change,
and a place may not.  Whoever renames a field changes its name here, at its place; new ones come last."""

import msgspec
import pytest

from indigohitch.encoding.rows import Row
from indigohitch.upgrade import messages, module_rows, snapshot

PLACES = {
    module_rows.SumsRow: "span at values",
    module_rows.BackendRow: (
        "id kind zone weight started state dropped told pace tries slowness excess probe_out misses "
        "miss_since ok_heard unanswered health admit judged wait doubtful lost intake warmth capacity "
        "load parts share"
    ),
    module_rows.SliceRow: (
        "number since parts stored level demand usual load cost closed mark closed_at quiet burst latest"
    ),
    module_rows.ModuleRow: (
        "chance now beats mark backends slices proxies due plan_from yield_ failing assessed turn "
        "strained balancing held list_fresh levels_sent withdrawn returned backlog backlog_at sent "
        "unacked next_beat timer calls_failed left joined charge"
    ),
    snapshot.ServerRow: "name host port withdrawn listed load",
    snapshot.TableRow: "lines level levels tries",
    snapshot.PoolRow: "name slices module servers tables chance version turn reported listed probing",
    snapshot.SidecarState: "pools",
    snapshot.StoredTableRow: "number lines level",
    snapshot.CoordinatorState: (
        "module listed addresses heard_of version watching waiting written failures proxies stood begun "
        "lost probing maybe starts list_heard"
    ),
    snapshot.Snapshot: "kind taken sidecar coordinator",
    messages.Hello: "protocol schema pid version",
    messages.Listeners: "names now state_bytes rehearse_at",
    messages.StateChunk: "data",
    messages.StateRestored: "digest",
    messages.StateProven: "orders",
    messages.ConnectionsPassed: "numbers rests kinds",
    messages.CommitHandover: "rest reload",
    messages.AcceptingStarted: "",
    messages.ConnectionsAdopted: "numbers",
    messages.LateEvents: "rest",
    messages.DrainCompleted: "",
    messages.HandoverCalledOff: "why",
    messages.HandoverRefused: "why",
}


@pytest.mark.parametrize("row", PLACES, ids=lambda row: row.__name__)
def test_fields_are_at_their_places(row):
    assert row.__struct_fields__ == tuple(PLACES[row].split())
    assert row.__struct_config__.array_like and issubclass(row, Row)


def test_every_row_has_its_places():
    found = {
        kind
        for module in (module_rows, snapshot, messages)
        for kind in vars(module).values()
        if isinstance(kind, type) and issubclass(kind, Row) and kind is not Row
    }
    assert found == set(PLACES)


def test_a_row_is_written_by_place():
    word = messages.Hello(protocol=2, schema=3, pid=4, version="v")
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(word)) == [2, 3, 4, "v"]
