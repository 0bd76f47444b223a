"""Names in handovers, snapshots and logs do not depend on the names of classes, fields and methods.

The tables that map the ones to the others are complete.
"""

import dataclasses
from types import SimpleNamespace
from typing import get_args

import pytest

from golden.decision_files import KINDS, LISTED
from golden.upgrade_states import FRAMES
from indigohitch import interface
from indigohitch.logic.state import DueAction
from indigohitch.platform_protocol.handover import CoordinatorHandover
from indigohitch.sidecar.handover import SidecarHandover
from indigohitch.upgrade import event_codec
from indigohitch.upgrade.module_state import freeze, thaw
from indigohitch.upgrade.phases import Action, Phase
from indigohitch.upgrade.predecessor import Predecessor
from indigohitch.upgrade.predecessor_driver import PredecessorDriver
from indigohitch.upgrade.successor import Successor
from indigohitch.upgrade.successor_driver import SuccessorDriver
from world import BOOT, World

EVENT_AND_ORDER_CLASSES = [*get_args(interface.Event), *get_args(interface.Order)]
# No recorded scenario contains these: the decision module neither receives nor issues them.
UNRECORDED = {
    "PeerNote": ("peer", "body"),
    "ClearTable": ("table",),
    "Bind": ("proxy", "table", "methods"),
    "TellPeer": ("peer", "body"),
    "FetchList": (),
}
# In the log events `upgrade` and `takeover`, and in the reason of a cancelled upgrade.
PHASES = (
    "serving offered settling giving restored committed draining reclaiming ended "
    "starting taking proving proven following orphan"
)


def test_each_event_and_order_has_its_wire_name_and_fields():
    assert set(event_codec._WIRE_FORMATS) == set(EVENT_AND_ORDER_CLASSES)
    assert {name: len(fields) for name, fields in event_codec._WIRE_FORMATS.values()} == {
        name: len(places) for name, places in (KINDS | UNRECORDED).items()
    }
    assert [name for name, _ in event_codec._WIRE_FORMATS.values()] == list(
        dict.fromkeys(event_codec._CLASSES_BY_WIRE_NAME)
    )


@pytest.mark.parametrize("item_class", EVENT_AND_ORDER_CLASSES)
def test_the_table_lists_all_fields_of_a_class(item_class):
    _, fields = event_codec._WIRE_FORMATS[item_class]
    assert sorted(fields) == sorted(field.name for field in dataclasses.fields(item_class))


def test_the_table_lists_all_fields_of_a_backend_entry():
    assert sorted(event_codec._ENTRY_FIELDS) == sorted(
        field.name for field in dataclasses.fields(interface.BackendEntry)
    )
    row = ["b0", "ready", 6.0, "east", 2, "std", 7]
    assert len(row) == len(LISTED) and list(event_codec.pack_entry(event_codec.unpack_entry(row))) == row
    with pytest.raises(ValueError):
        event_codec.unpack_entry(row[:-1])


def test_renamed_classes_and_fields_keep_their_encoding(monkeypatch):

    @dataclasses.dataclass(frozen=True)
    class RenamedRoute:
        renamed_weight: float
        renamed_table: int
        renamed_backend: str

    fields = ("renamed_table", "renamed_backend", "renamed_weight")
    rows = [("SetLine", 3, "b1", 1.0), ("SetLine", 9, "b2", 0.0)]
    monkeypatch.setitem(event_codec._WIRE_FORMATS, RenamedRoute, ("SetLine", fields))
    monkeypatch.setitem(event_codec._CLASSES_BY_WIRE_NAME, "SetLine", (RenamedRoute, fields))
    items = event_codec.unpack_all(rows)
    assert (
        items == [RenamedRoute(1.0, 3, "b1"), RenamedRoute(0.0, 9, "b2")]
        and event_codec.pack_all(items) == rows
    )


@pytest.mark.parametrize("row", [("SetLine", 3, "b1"), ("Share", 3, "b1", 1.0), ("FetchList", 1)])
def test_a_row_with_an_unknown_name_or_a_wrong_length_is_refused(row):
    with pytest.raises(ValueError, match="unknown event or order"):
        event_codec.unpack(row)


def test_due_actions_are_encoded_by_name():
    assert {action.value for action in DueAction} == {"subscribe"}
    world = World()
    world.start()
    world.step(0, interface.BackendList("failed", 0, ()))
    row = freeze(world.c)
    ((due_at, name),) = row.due_actions
    assert due_at > world.now and type(name) is str and name == "subscribe"
    restored = thaw(row, BOOT)
    assert restored.due_actions == world.c.due_actions and type(restored.due_actions[0][1]) is DueAction
    orders = restored.handle(due_at, [])
    assert interface.WatchBackends(True) in orders and not restored.due_actions


def test_a_state_with_an_unknown_due_action_is_refused():
    world = World()
    world.start()
    row = freeze(world.c)
    row.due_actions = [(5, "assess")]
    with pytest.raises(ValueError, match="assess"):
        thaw(row, BOOT)


def test_phases_have_their_names_in_the_log():
    assert [phase.value for phase in Phase] == PHASES.split()


def test_each_action_and_each_event_has_its_method():
    """Actions and events select methods by name; the names of events are in the log."""
    implemented_actions = {
        name.removeprefix("do_")
        for side in (PredecessorDriver, SuccessorDriver)
        for name in dir(side)
        if name[:3] == "do_"
    }
    assert implemented_actions == {action.value for action in Action}
    handled_events = {
        side: {name[3:] for name in dir(side) if name.startswith("on_")} for side in (Predecessor, Successor)
    }
    expected = "asked told_to_end hello settled restored proven accepting drained watched refused eof broken"
    assert handled_events[Predecessor] == {*expected.split(), "deadline", "died"}
    expected = "started listeners state built works commit done failed call_off told_to_end eof died deadline"
    assert handled_events[Successor] == set(expected.split())


def test_passed_connections_have_the_kinds_of_the_recorded_frame():
    """The first kind in the frame is that of a sidecar, the second that of a coordinator."""
    host = SimpleNamespace(forget=lambda client: None)
    client = SimpleNamespace(stream=SimpleNamespace(detach=lambda: (None, b"GET /a")))
    client_connection = SidecarHandover.detach_connection(SimpleNamespace(host=host), client)
    front = SimpleNamespace(inbound=SimpleNamespace(remove=lambda connection: None))
    caller = SimpleNamespace(
        zone="east", connected_at=1, last_line_at=20_000_000, line_started_at=None, invalid_line_count=False
    )
    connection = SimpleNamespace(reader=caller, detach=lambda: (None, b""))
    caller_connection = CoordinatorHandover.detach_connection(SimpleNamespace(front=front), connection)
    assert client_connection == ("client", None, b"GET /a") and caller_connection[1:] == (None, b"")
    (kinds,) = [values[2] for name, _, values in FRAMES if name == "passed"]
    assert [client_connection[0], caller_connection[0]] == kinds
