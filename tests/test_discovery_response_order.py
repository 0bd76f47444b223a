"""Tests the discovery client with two requests in flight, answered in either order, and with older lists."""

import pytest

from indigohitch.net.clock import SECOND
from listroom import Room, entry


@pytest.fixture
def room():
    room = Room()
    yield room
    room.close()


SERVING_B1 = entry("b1")
DRAINING_B1 = entry("b1", "DRAINING")


def test_full_list_requested_before_a_newer_response_restores_no_drained_backend(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    room.discovery.fetch()
    full_request = room.registry.next_request()
    room.update_after(lambda: watch.send_changes(42, DRAINING_B1))
    next_watch = room.registry.next_request()
    assert "from=42" in next_watch.target
    full_request.send_full(41, entry("b0"), SERVING_B1)
    room.wait_for_responses(3)
    assert room.state["b1"] == "draining" and room.discovery.version == 42 and room.registry.has_no_request()
    room.update_after(lambda: next_watch.send_changes(43, entry("b2")))
    assert "from=43" in room.registry.next_request().target


def test_watch_response_older_than_a_full_list_is_ignored(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    room.discovery.fetch()
    full_request = room.registry.next_request()
    room.update_after(lambda: full_request.send_full(45, entry("b0"), DRAINING_B1))
    watch.send_changes(43, SERVING_B1)
    next_watch = room.registry.next_request()  # no full list is needed: the watch continues
    assert "from=45" in next_watch.target and "hold_ms=3000" in next_watch.target
    assert (
        room.state["b1"] == "draining"
        and room.log_entries("discovery_stale_answer")[0]["verdict"] == "crossed"
    )


def test_responses_read_in_one_turn_apply_by_generation(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    room.discovery.fetch()
    full_request = room.registry.next_request()
    full_request.send_full(44, entry("b0"), DRAINING_B1)  # read in the same turn as the next response
    watch.send_changes(43, SERVING_B1)
    assert "from=44" in room.registry.next_request().target
    assert room.state == {"b0": "ready", "b1": "draining"}


@pytest.mark.parametrize("full", [True, False])
def test_single_stale_response_costs_one_request(room, full):
    watch = room.start_watch(45)
    (watch.send_full if full else watch.send_changes)(41, entry("b0"), SERVING_B1)
    retry = room.registry.next_request()
    assert retry.target == room.discovery.PATH and room.state["b1"] == "draining"
    room.update_after(lambda: retry.send_full(46, entry("b0"), DRAINING_B1, entry("b2")))
    assert "from=46" in room.registry.next_request().target and room.state["b1"] == "draining"
    assert not room.log_entries("discovery_version_reset")


def test_lagging_replica_is_not_accepted_before_the_confirmation_time(room):
    room.start_watch(45).send_full(41, entry("b0"), SERVING_B1)
    room.registry.next_request().send_full(41, entry("b0"), SERVING_B1)
    room.wait_for_responses(3)
    assert room.registry.has_no_request() and room.state["b1"] == "draining"
    room.advance(SECOND)
    room.update_after(lambda: room.registry.next_request().send_full(45, entry("b0"), DRAINING_B1))
    assert room.discovery.version == 45 and room.state["b1"] == "draining"
    room.advance(3 * SECOND)  # the confirmation has ended: the next older list starts another one
    room.registry.next_request().send_full(41, entry("b0"), SERVING_B1)
    assert room.registry.next_request().target == room.discovery.PATH and room.state["b1"] == "draining"


@pytest.mark.parametrize("failing", [False, True])
def test_restarted_discovery_is_accepted_after_the_confirmation_time(room, failing):
    room.start_watch(45).send_changes(1)
    room.registry.next_request().send_full(2, entry("b0"), SERVING_B1)
    room.wait_for_responses(3)
    room.advance(SECOND)
    request = room.registry.next_request()
    if failing:  # the confirming request fails: the decision module subscribes again
        assert room.update_after(request.fail).scope == "failed"
        room.discovery.subscribe(True)
        request = room.registry.next_request()
    assert request.target == room.discovery.PATH
    room.update_after(lambda: request.send_full(3, entry("b0"), SERVING_B1))
    assert room.state == {"b0": "ready", "b1": "ready"} and room.discovery.version == 3
    assert "from=3" in room.registry.next_request().target
    assert room.log_entries("discovery_version_reset")[0]["held"] == 45


def test_responses_to_requests_before_a_discovery_restart_are_ignored(room):
    """Their changes start at a generation of the previous count: applied, they would leave a gap."""
    watch = room.start_watch(45)
    room.discovery.fetch()
    room.registry.next_request().send_full(3, entry("b0"))
    room.wait_for_responses(2)
    room.advance(SECOND)
    room.discovery.fetch()
    room.update_after(lambda: room.registry.next_request().send_full(3, entry("b0"), SERVING_B1))
    assert room.discovery.version == 3
    update_count = len(room.updates)
    watch.send_changes(47, entry("b2"))
    assert "from=3" in room.registry.next_request().target and len(room.updates) == update_count


@pytest.mark.parametrize("failing", [False, True])
def test_remembered_version_of_another_count_is_kept_until_a_new_list_is_confirmed(failing):
    """As after a restart, when no list was received and the version in the configuration is a higher one."""
    room = Room(version=99)
    room.discovery.subscribe(True)
    first = room.registry.next_request()
    assert "from=99" in first.target and "hold_ms=0" in first.target
    first.send_full(5, entry("b0"), SERVING_B1)
    second = room.registry.next_request()
    if failing:
        assert room.update_after(second.fail).scope == "failed"
        room.advance(SECOND)  # the delay after which the decision module subscribes again
        room.discovery.subscribe(True)
    else:
        second.send_full(5, entry("b0"), SERVING_B1)
        room.wait_for_responses(2)
        assert not room.updates
        room.advance(SECOND)
    room.update_after(lambda: room.registry.next_request().send_full(5, entry("b0"), SERVING_B1))
    assert room.state == {"b0": "ready", "b1": "ready"} and "from=5" in room.registry.next_request().target
    room.close()


def test_each_lower_version_restarts_the_confirmation_time(room):
    room.start_watch(45).send_full(41, SERVING_B1)
    room.registry.next_request().send_full(41, SERVING_B1)
    room.wait_for_responses(3)
    room.advance(SECOND)
    room.registry.next_request().send_full(40, SERVING_B1)
    room.registry.next_request().send_full(40, SERVING_B1)
    room.wait_for_responses(5)
    assert room.registry.has_no_request() and room.state["b1"] == "draining"
    room.advance(SECOND)
    room.update_after(lambda: room.registry.next_request().send_full(40, SERVING_B1))
    assert room.state["b1"] == "ready"


def test_changes_in_response_to_a_full_list_request_are_a_failure(room):
    room.start_watch(45).send_full(41, SERVING_B1)
    assert (
        room.update_after(lambda: room.registry.next_request().send_changes(46, entry("b2"))).scope
        == "failed"
    )


def test_last_entry_of_a_duplicate_id_applies(room):
    watch = room.start_watch(41)
    update = room.update_after(
        lambda: watch.send_changes(43, entry("b1", "DELETED"), SERVING_B1, entry("b1", "DELETED"))
    )
    assert [(e.backend, e.state) for e in update.entries] == [("b1", "gone")]
