"""Tests the drain monitor, which logs routes that stay at departing backends past the grace period."""

import json

import pytest

from indigohitch import interface as face
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol.drain_monitor import DrainMonitor, PausedTime
from indigohitch.platform_protocol.stored_tables import StoredTable
from seam import Shifted
from stage import drain
from waiting import eventually

GRACE = 3 * SECOND


class MonitorRoom:
    def __init__(self, path, check_gone=True):
        self.clock = Shifted()
        self.file = open(path / "log", "w+b")
        self.loop = EventLoop(self.clock, self.fail)
        self.log = Log(self.clock, "t", self.file.fileno())
        self.tables = {1: StoredTable({"b1": 1.0}), 2: StoredTable({"b2": 1.0})}
        self.monitor = DrainMonitor(self.loop, self.log, GRACE, lambda: self.tables, lambda: 7, check_gone)

    def fail(self, error):
        raise error

    def receive_list(self, scope="changes", **states):
        entries = tuple(face.BackendEntry(b, state, 1.0, "east", 0, "std", 0) for b, state in states.items())
        self.monitor.on_backend_list(face.BackendList(scope, 2, entries))

    def advance(self, span):
        self.clock.by += span
        self.loop.call_after(0, lambda: None)
        self.loop.turn()

    def log_entries(self, event):
        self.file.seek(0)
        return [line for line in map(json.loads, self.file) if line["event"] == event]


@pytest.fixture
def room(tmp_path):
    return MonitorRoom(tmp_path)


def test_route_that_outlasts_the_grace_period_is_counted_once_and_logged(room):
    room.receive_list(b1="draining")
    room.advance(GRACE)
    assert not room.log.counts["invariant_drain_overdue"]
    for _ in range(3):
        room.advance(SECOND // 2)
    assert room.log.counts["invariant_drain_overdue"] == 1
    (overdue,) = room.log_entries("drain_overdue")
    assert overdue["backend"] == "b1" and overdue["slices"] == [1] and overdue["calls_waiting"] == 7
    room.tables[1] = StoredTable({"b2": 1.0})
    room.advance(SECOND)
    assert room.log_entries("drain_completed")[0]["after_ms"] > 4000


def test_route_removed_in_time_is_logged_with_its_duration(room):
    room.receive_list(b1="draining")
    room.tables[1] = StoredTable({"b2": 1.0})
    room.advance(SECOND)
    room.advance(GRACE)
    assert len(room.log_entries("drain_completed")) == 1 and not room.log_entries("drain_overdue")


def test_route_that_returns_to_a_draining_backend_is_logged(room):
    room.receive_list(b1="draining")
    room.tables[1] = StoredTable({"b2": 1.0})
    room.advance(SECOND)
    room.tables[1] = StoredTable({"b1": 1.0})
    room.advance(SECOND)
    assert room.log_entries("route_returned_to_draining_backend")[0]["slices"] == [1]
    room.advance(GRACE)
    assert room.log_entries("drain_overdue")


def test_backend_that_serves_again_or_is_ejected_is_not_overdue(room):
    room.receive_list(b1="draining", b2="gone")
    room.advance(SECOND)
    room.receive_list(b1="ready")
    room.monitor.on_applied([face.EjectBackend("b2", True)])
    room.advance(GRACE)
    assert not room.log_entries("drain_overdue")
    room.monitor.on_applied([face.EjectBackend("b2", False)])
    room.advance(SECOND)
    assert room.log_entries("drain_overdue")[0]["backend"] == "b2"


def test_backend_missing_from_a_full_list_is_gone(room):
    room.receive_list(scope="full", b2="ready")
    room.advance(GRACE + SECOND)
    assert room.log_entries("drain_overdue")[0]["state"] == "gone"


def test_failed_request_changes_no_backend(room):
    """Found by the soak test: all backends counted as gone, and routes to them were refused."""
    room.receive_list(scope="failed")
    room.advance(GRACE + SECOND)
    assert not room.log_entries("drain_overdue") and not room.monitor.is_grace_over("b1")


def test_without_the_check_of_gone_backends_only_draining_ones_are_checked(tmp_path):
    room = MonitorRoom(tmp_path, check_gone=False)
    room.receive_list(b1="gone", b2="draining")
    room.advance(GRACE + SECOND)
    assert [overdue["backend"] for overdue in room.log_entries("drain_overdue")] == ["b2"]


def test_grace_period_of_a_slice_starts_when_it_is_acquired(room):
    room.receive_list(b1="draining")
    room.advance(GRACE - SECOND)
    room.monitor.on_slice_acquired(1)
    room.advance(GRACE)
    assert not room.log_entries("drain_overdue")
    room.advance(SECOND)
    assert room.log_entries("drain_overdue")


def test_acquired_slice_that_is_not_settled_keeps_its_acquisition_time(room):
    """Found by the soak test: a check before its table was settled discarded when the slice was acquired."""
    room.receive_list(b1="draining")
    table = room.tables.pop(1)
    room.advance(GRACE)
    room.monitor.on_slice_acquired(1)
    room.advance(SECOND // 2)
    room.tables[1] = table
    room.advance(GRACE - SECOND)
    assert not room.log_entries("drain_overdue")
    room.advance(2 * SECOND)
    assert room.log_entries("drain_overdue")


def test_time_limits_pause_while_the_relay_fails(room):
    room.receive_list(b1="draining")
    room.monitor.on_call_failed("timeout")
    room.monitor.on_call_failed("reset")
    room.advance(GRACE + SECOND)
    assert not room.log_entries("drain_overdue")
    room.advance(SECOND)
    assert room.log_entries("drain_overdue")


def test_overlapping_pauses_count_once():
    clock = PausedTime()
    clock.pause(100, 50)
    clock.pause(120, 60)
    assert [clock.elapsed(now) for now in (100, 140, 180, 200)] == [100, 100, 100, 120]
    clock.pause(300, 10)
    assert clock.elapsed(400) == 310


def test_program_logs_lists_calls_and_drains(platform):
    program = platform.serving()
    drain(platform, "b1")
    lists = eventually(
        lambda: program.said("backend_list_received", scope="changes", turned={"b1": "draining"})
    )
    assert lists[0]["generation"] == platform.version
    completed = eventually(lambda: program.said("drain_completed", backend="b1"))
    assert completed[0]["after_ms"] < 3000
    sent = program.said("relay_call_sent")
    assert [entry["call"] for entry in sent] == list(range(1, len(sent) + 1))
    applied = eventually(lambda: [entry["call"] for entry in program.said("relay_call_applied", by="answer")])
    assert set(applied) <= {entry["call"] for entry in sent}
    assert "invariant_drain_overdue" not in program.counters()
