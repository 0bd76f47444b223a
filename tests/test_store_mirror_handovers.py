"""Changes of slice ownership and reopened event streams while a call to the relay is in flight."""

import itertools

import pytest

from indigohitch import interface as face
from indigohitch.platform_protocol import stored_tables
from simulated_store import OUR_ORDERS, OWNERSHIP_EVENTS, SLICE, FakeRelay

OWNERSHIP_CHANGES = {
    "revoked and assigned": [(False, None), (True, None)],
    "revoked, changed by another, assigned": [(False, None), (True, {"b2": 1.0, "b3": 1.0})],
    "assigned twice": [(True, None), (True, {"b0": 1.0})],
    "revoked, assigned, revoked": [(False, None), (True, None), (False, None)],
}


@pytest.mark.parametrize("name", OWNERSHIP_CHANGES)
def test_module_and_store_agree_if_ownership_changes_while_a_call_is_in_flight(name):
    """The call is applied before, between or after the changes. Its acknowledgement arrives anywhere among
    the events, which arrive at once, or with a pause anywhere in which the events so far are settled."""
    changes, case_count = OWNERSHIP_CHANGES[name], 0
    for applied_at, acknowledged_at, pause_at, first in itertools.product(
        range(len(changes) + 1), range(7), range(7), ("acknowledge", "settle")
    ):
        relay, events = FakeRelay(), []
        relay.enqueue(*OUR_ORDERS)
        for n, change in enumerate([*changes, None]):
            if n == applied_at:
                relay.apply_call()
                if acknowledged_at < len(events):
                    break  # a call cannot be acknowledged before it is applied
            events += relay.change_owner(*change) if change else []
        else:
            for n in range(len(events) + 1):
                if n == pause_at and first == "settle":
                    relay.store_mirror._settle()
                if n == min(acknowledged_at, len(events)):
                    relay.acknowledge()
                if n == pause_at and first == "acknowledge":
                    relay.store_mirror._settle()
                relay.send(*events[n : n + 1])
            module_table, stored_table = relay.complete_calls()
            assert module_table == stored_table, (applied_at, acknowledged_at, pause_at, first)
            case_count += 1
    assert case_count > 100


@pytest.mark.parametrize("applied", ["before the snapshot", "after the snapshot"])
@pytest.mark.parametrize("acknowledged", ["before", "between", "after", "after the keepalive"])
def test_module_and_store_agree_if_the_stream_is_reopened_while_a_call_is_in_flight(applied, acknowledged):
    """The call is acknowledged before the new stream opens, in its snapshot or around its first keepalive."""
    relay = FakeRelay()
    relay.enqueue(*OUR_ORDERS)
    relay.store_mirror.on_watch_lost()
    relay.store_mirror.on_watch_requested()
    if applied == "before the snapshot":
        relay.apply_call()
    snapshot = relay.change_owner(True)
    if applied == "after the snapshot":
        relay.apply_call()
    relay.acknowledge() if acknowledged == "before" else None
    relay.store_mirror.on_watch_opened()
    for event in snapshot:
        relay.send(event)
        relay.acknowledge() if acknowledged == "between" and event is snapshot[0] else None
    relay.acknowledge() if acknowledged == "after" else None
    relay.store_mirror.on_keepalive()
    relay.acknowledge() if acknowledged == "after the keepalive" else None
    module_table, stored_table = relay.complete_calls()
    assert module_table == stored_table == {"b1": 1.0}
    assert relay.module.ownership_events == 1  # the known slice was not reported again


def test_an_acknowledgement_between_a_late_route_and_its_report():
    relay = FakeRelay()
    relay.enqueue(face.SetRoute(SLICE, "b0", 0.0))
    relay.store["b1"] = 1.0
    relay.send(face.StoredRoute(SLICE, "b1", 1.0))
    relay.apply_call()
    relay.acknowledge()
    module_table, stored_table = relay.complete_calls()
    assert module_table == stored_table == {"b1": 1.0}


@pytest.mark.parametrize("end", ["lost", "another stream"])
def test_an_incomplete_table_of_a_lost_stream_is_discarded(end):
    """Otherwise a slice with only an `owner` event is taken for empty and gets a route to another backend."""
    relay = FakeRelay()
    relay.store_mirror.on_watch_requested()
    relay.store_mirror.on_watch_opened()
    relay.send(OWNERSHIP_EVENTS[0])  # its route does not arrive
    if end == "lost":
        relay.store_mirror.on_watch_lost()
    relay.store_mirror.on_watch_requested()
    assert relay.module.tables == {SLICE: {"b0": 1.0}}
    relay.store_mirror.on_watch_opened()
    relay.store_mirror._settle()
    assert relay.module.tables == {SLICE: {"b0": 1.0}}
    relay.send(*OWNERSHIP_EVENTS)
    relay.store_mirror.on_keepalive()
    assert relay.module.tables == {SLICE: {"b0": 1.0}} and relay.module.ownership_events == 1


def test_a_slice_revoked_before_it_settles_is_not_reported():
    relay = FakeRelay()
    relay.send(face.SliceOwnership(7, True), face.StoredRoute(7, "b1", 1.0), face.SliceOwnership(7, False))
    relay.store_mirror._settle()
    assert relay.module.ownership_events == 1 and set(relay.module.tables) == {SLICE}


def test_a_slice_revoked_and_assigned_again_during_the_initial_snapshot():
    """Acknowledgements from an earlier ownership prove nothing about the table of the next one."""
    relay = FakeRelay()
    relay.enqueue(*OUR_ORDERS)
    relay.store_mirror.on_watch_requested()
    relay.apply_call()
    relay.acknowledge()
    relay.store_mirror.on_watch_opened()
    relay.send(*relay.change_owner(True))
    relay.send(*relay.change_owner(False))
    relay.send(*relay.change_owner(True, {"b2": 1.0}))
    relay.store_mirror.on_keepalive()
    module_table, stored_table = relay.complete_calls()
    assert module_table == stored_table == {"b2": 1.0}


def test_dropped_orders_are_reported_only_for_owned_slices():
    relay = FakeRelay()
    relay.store_mirror.on_dropped([face.SetRoute(SLICE, "b3", 1.0), face.SetRoute(8, "b3", 1.0)])
    relay.send(*relay.change_owner(False))
    relay.send(*relay.change_owner(True, {"b2": 1.0}))
    relay.store_mirror._report_dropped()  # between the assignment and its report
    module_table, stored_table = relay.complete_calls()
    assert module_table == stored_table == {"b2": 1.0} and set(relay.module.tables) == {SLICE}
    relay.store_mirror.on_dropped([face.SetRoute(SLICE, "b3", 1.0)])
    relay.send(*relay.change_owner(False))
    relay.store_mirror._report_dropped()
    assert relay.module.tables == {}


@pytest.mark.parametrize("acknowledged", ["before the assignment", "before its report", "after"])
def test_a_level_in_flight_when_the_slice_is_assigned_is_reset(acknowledged):
    relay = FakeRelay()
    relay.enqueue(face.SetRoute(SLICE, "b0", 1.0))
    relay.calls[0].append(face.SetAdmission(SLICE, (), 0.6, 1))
    relay.apply_call()
    relay.send(*relay.change_owner(False))
    relay.acknowledge() if acknowledged == "before the assignment" else None
    relay.send(*relay.change_owner(True))
    relay.acknowledge() if acknowledged == "before its report" else None
    relay.store_mirror._settle()
    if acknowledged == "after":
        relay.acknowledge()
        relay.rereads.pop()()
    levels = [o for call in relay.calls for o in call if isinstance(o, face.SetAdmission)][-1:]
    assert [o.admission_ratio for o in levels] == ([] if acknowledged == "before the assignment" else [1.0])


def test_revoking_many_slices_does_not_copy_all_tables(monkeypatch):
    """After five restarts at once 960 revoked slices blocked the loop for 2.5 s, and a drain was late."""
    copied = []
    copy = stored_tables.copy_tables
    monkeypatch.setattr(stored_tables, "copy_tables", lambda tables: copied.append(tables) or copy(tables))
    relay = FakeRelay()
    relay.send(
        *(
            event
            for n in range(10, 1010)
            for event in (face.SliceOwnership(n, True), face.StoredRoute(n, "b0", 1.0))
        )
    )
    relay.store_mirror._settle()
    copies_before = len(copied)
    relay.send(*(face.SliceOwnership(n, False) for n in range(10, 1010)))
    relay.send(*(face.StoredRoute(SLICE, f"b{n}", 1.0) for n in range(100)))
    assert len(copied) == copies_before and set(relay.store_mirror.tables) == {SLICE}
