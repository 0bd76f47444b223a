"""The check, while the program runs, that no line stays at a backend that leaves; and its log."""

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


class WatchRoom:
    def __init__(self, path, gone_binds=True):
        self.clock, self.file = Shifted(), open(path / "log", "w+b")
        self.loop = EventLoop(self.clock, self.fail)
        self.log = Log(self.clock, "t", self.file.fileno())
        self.stood = {1: StoredTable({"b1": 1.0}), 2: StoredTable({"b2": 1.0})}
        self.watch = DrainMonitor(self.loop, self.log, GRACE, lambda: self.stood, lambda: 7, gone_binds)

    def fail(self, broken):
        raise broken

    def listed(self, scope="changes", **states):
        entries = tuple(face.BackendEntry(b, state, 1.0, "east", 0, "std", 0) for b, state in states.items())
        self.watch.on_backend_list(face.BackendList(scope, 2, entries))

    def go(self, span):
        self.clock.by += span
        self.loop.call_after(0, lambda: None)
        self.loop.turn()

    def said(self, event):
        self.file.seek(0)
        return [line for line in map(json.loads, self.file) if line["event"] == event]


@pytest.fixture
def room(tmp_path):
    return WatchRoom(tmp_path)


def test_a_line_that_outlives_the_grace_is_counted_once_and_told(room):
    room.listed(b1="draining")
    room.go(GRACE)
    assert not room.log.counts["invariant_drain_overdue"]
    for _ in range(3):
        room.go(SECOND // 2)
    assert room.log.counts["invariant_drain_overdue"] == 1
    (told,) = room.said("drain_overdue")
    assert told["backend"] == "b1" and told["slices"] == [1] and told["calls_waiting"] == 7
    room.stood[1] = StoredTable({"b2": 1.0})
    room.go(SECOND)
    assert room.said("drain_completed")[0]["after_ms"] > 4000


def test_a_line_that_goes_in_time_is_told_with_its_time(room):
    room.listed(b1="draining")
    room.stood[1] = StoredTable({"b2": 1.0})
    room.go(SECOND)
    room.go(GRACE)
    assert len(room.said("drain_completed")) == 1 and not room.said("drain_overdue")


def test_a_line_that_comes_back_to_a_backend_that_leaves_is_told(room):
    room.listed(b1="draining")
    room.stood[1] = StoredTable({"b2": 1.0})
    room.go(SECOND)
    room.stood[1] = StoredTable({"b1": 1.0})
    room.go(SECOND)
    assert room.said("route_returned_to_draining_backend")[0]["slices"] == [1]
    room.go(GRACE)
    assert room.said("drain_overdue")


def test_a_backend_that_serves_again_or_is_shut_out_is_not_late(room):
    room.listed(b1="draining", b2="gone")
    room.go(SECOND)
    room.listed(b1="ready")
    room.watch.on_applied([face.EjectBackend("b2", True)])
    room.go(GRACE)
    assert not room.said("drain_overdue")
    room.watch.on_applied([face.EjectBackend("b2", False)])
    room.go(SECOND)
    assert room.said("drain_overdue")[0]["backend"] == "b2"


def test_one_that_a_whole_list_lacks_is_gone(room):
    room.listed(scope="full", b2="ready")
    room.go(GRACE + SECOND)
    assert room.said("drain_overdue")[0]["state"] == "gone"


def test_a_call_that_failed_tells_nothing_of_any_backend(room):
    """Found by the soak: all backends counted as gone, and lines there were refused."""
    room.listed(scope="failed")
    room.go(GRACE + SECOND)
    assert not room.said("drain_overdue") and not room.watch.is_grace_over("b1")


def test_where_gone_does_not_bind_only_draining_counts(tmp_path):
    room = WatchRoom(tmp_path, gone_binds=False)
    room.listed(b1="gone", b2="draining")
    room.go(GRACE + SECOND)
    assert [told["backend"] for told in room.said("drain_overdue")] == ["b2"]


def test_the_time_of_a_slice_begins_as_it_is_given(room):
    room.listed(b1="draining")
    room.go(GRACE - SECOND)
    room.watch.on_slice_acquired(1)
    room.go(GRACE)
    assert not room.said("drain_overdue")
    room.go(SECOND)
    assert room.said("drain_overdue")


def test_a_slice_that_is_given_and_not_settled_yet_keeps_its_time(room):
    """Found by the soak: a look at the lines in between forgot when it was given."""
    room.listed(b1="draining")
    lines = room.stood.pop(1)
    room.go(GRACE)
    room.watch.on_slice_acquired(1)
    room.go(SECOND // 2)
    room.stood[1] = lines
    room.go(GRACE - SECOND)
    assert not room.said("drain_overdue")
    room.go(2 * SECOND)
    assert room.said("drain_overdue")


def test_time_limits_wait_while_the_relay_fails(room):
    room.listed(b1="draining")
    room.watch.on_call_failed("timeout")
    room.watch.on_call_failed("reset")
    room.go(GRACE + SECOND)
    assert not room.said("drain_overdue")
    room.go(SECOND)
    assert room.said("drain_overdue")


def test_spans_that_overlap_count_once():
    time = PausedTime()
    time.pause(100, 50)
    time.pause(120, 60)
    assert [time.elapsed(now) for now in (100, 140, 180, 200)] == [100, 100, 100, 120]
    time.pause(300, 10)
    assert time.elapsed(400) == 310


def test_the_program_tells_of_lists_calls_and_drains(platform):
    program = platform.serving()
    drain(platform, "b1")
    heard = eventually(
        lambda: program.said("backend_list_received", scope="changes", turned={"b1": "draining"})
    )
    assert heard[0]["generation"] == platform.version
    done = eventually(lambda: program.said("drain_completed", backend="b1"))
    assert done[0]["after_ms"] < 3000
    sent = program.said("relay_call_sent")
    assert [one["call"] for one in sent] == list(range(1, len(sent) + 1))
    stands = eventually(lambda: [one["call"] for one in program.said("relay_call_applied", by="answer")])
    assert set(stands) <= {one["call"] for one in sent}
    assert "invariant_drain_overdue" not in program.counters()
