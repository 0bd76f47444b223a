"""What goes into hand-overs, snapshots and logs by name is written down once, apart from the names of
classes, fields and methods; and the table that parts the two leaves nothing out."""

import dataclasses
from types import SimpleNamespace
from typing import get_args

import pytest

from golden.decision_files import KINDS, LISTED
from golden.upgrade_states import FRAMES
from indigohitch import interface as face
from indigohitch.logic.state import DueAction
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.sidecar.handover import SidecarHandover as SidecarHandover
from indigohitch.upgrade import event_codec
from indigohitch.upgrade.module_state import freeze, thaw
from indigohitch.upgrade.phases import Act, Phase
from indigohitch.upgrade.predecessor import Predecessor
from indigohitch.upgrade.predecessor_driver import PredecessorDriver
from indigohitch.upgrade.successor import Successor
from indigohitch.upgrade.successor_driver import SuccessorDriver
from world import BOOT, World

ALL = [*get_args(face.Event), *get_args(face.Order)]
# Those that no recorded day has: the module neither hears nor orders them.
UNRECORDED = {
    "PeerNote": ("peer", "body"),
    "ClearTable": ("table",),
    "Bind": ("proxy", "table", "methods"),
    "TellPeer": ("peer", "body"),
    "FetchList": (),
}
# In the log's `upgrade` and `takeover` events, and in the reason of an upgrade that was called off.
PHASES = (
    "serving offered settling giving restored committed draining reclaiming ended "
    "starting taking proving proven following orphan"
)


def test_each_event_and_order_has_its_wire_name_and_fields():
    assert set(event_codec._WIRE) == set(ALL)
    assert {name: len(fields) for name, fields in event_codec._WIRE.values()} == {
        name: len(places) for name, places in (KINDS | UNRECORDED).items()
    }
    assert [name for name, _ in event_codec._WIRE.values()] == list(dict.fromkeys(event_codec._KINDS))


@pytest.mark.parametrize("kind", ALL)
def test_the_table_names_all_fields_of_a_class(kind):
    _, fields = event_codec._WIRE[kind]
    assert sorted(fields) == sorted(field.name for field in dataclasses.fields(kind))


def test_an_entry_of_a_list_has_all_fields():
    assert sorted(event_codec._LISTED) == sorted(
        field.name for field in dataclasses.fields(face.BackendEntry)
    )
    row = ["b0", "ready", 6.0, "east", 2, "std", 7]
    assert len(row) == len(LISTED) and list(event_codec.pack_entry(event_codec.unpack_entry(row))) == row
    with pytest.raises(ValueError):
        event_codec.unpack_entry(row[:-1])


def test_classes_and_fields_may_be_renamed_without_a_byte_changed(monkeypatch):
    """As a rename would leave them."""

    @dataclasses.dataclass(frozen=True)
    class Share:
        worth: float
        room: int
        server: str

    rows = [("SetLine", 3, "b1", 1.0), ("SetLine", 9, "b2", 0.0)]
    monkeypatch.setitem(event_codec._WIRE, Share, ("SetLine", ("room", "server", "worth")))
    monkeypatch.setitem(event_codec._KINDS, "SetLine", (Share, ("room", "server", "worth")))
    items = event_codec.unpack_all(rows)
    assert items == [Share(1.0, 3, "b1"), Share(0.0, 9, "b2")] and event_codec.pack_all(items) == rows


@pytest.mark.parametrize("row", [("SetLine", 3, "b1"), ("Share", 3, "b1", 1.0), ("FetchList", 1)])
def test_a_row_of_another_kind_or_length_is_refused(row):
    with pytest.raises(ValueError, match="no event or order"):
        event_codec.unpack(row)


def test_what_is_due_has_its_name_on_the_wire():
    assert {action.value for action in DueAction} == {"subscribe"}
    w = World()
    w.start()
    w.step(0, face.BackendList("failed", 0, ()))
    row = freeze(w.c)
    ((due, name),) = row.due
    assert due > w.now and type(name) is str and name == "subscribe"
    again = thaw(row, BOOT)
    assert again.due_actions == w.c.due_actions and type(again.due_actions[0][1]) is DueAction
    orders = again.handle(due, [])
    assert face.WatchBackends(True) in orders and not again.due_actions


def test_a_state_with_something_unknown_due_is_refused():
    w = World()
    w.start()
    row = freeze(w.c)
    row.due = [(5, "assess")]
    with pytest.raises(ValueError, match="assess"):
        thaw(row, BOOT)


def test_phases_have_the_names_that_logs_have():
    assert [phase.value for phase in Phase] == PHASES.split()


def test_each_act_and_each_event_has_its_method():
    """Acts and events call methods by name; those of events stand in the log."""
    done = {
        name.removeprefix("do_")
        for side in (PredecessorDriver, SuccessorDriver)
        for name in dir(side)
        if name[:3] == "do_"
    }
    assert done == {act.value for act in Act}
    heard = {
        side: {name[3:] for name in dir(side) if name.startswith("on_")} for side in (Predecessor, Successor)
    }
    told = "asked told_to_end hello settled restored proven accepting drained watched refused eof broken"
    assert heard[Predecessor] == {*told.split(), "deadline", "died"}
    told = "started listeners state built works commit done failed call_off told_to_end eof died deadline"
    assert heard[Successor] == set(told.split())


def test_passed_connections_are_of_the_kinds_that_frames_have():
    """As the recorded frame has them: of a sidecar, then of a coordinator."""
    host = SimpleNamespace(forget=lambda client: None)
    client = SimpleNamespace(stream=SimpleNamespace(detach=lambda: (None, b"GET /a")))
    of_client = SidecarHandover.take_out(SimpleNamespace(host=host), client)
    front = SimpleNamespace(inbound=SimpleNamespace(remove=lambda connection: None))
    caller = SimpleNamespace(
        zone="east", connected_at=1, last_line_at=20_000_000, line_started_at=None, invalid_line_count=False
    )
    connection = SimpleNamespace(reader=caller, detach=lambda: (None, b""))
    of_caller = CoordinatorHandover.detach_connection(SimpleNamespace(front=front), connection)
    assert of_client == ("client", None, b"GET /a") and of_caller[1:] == (None, b"")
    (kinds,) = [given[2] for name, _, given in FRAMES if name == "passed"]
    assert [of_client[0], of_caller[0]] == kinds
