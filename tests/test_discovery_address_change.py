"""Tests that the discovery client moves to another address while its watch at the old one is in flight."""

import pytest

from indigohitch.net.clock import SECOND
from listroom import Room, entry

SERVING_B1 = entry("b1")
DRAINING_B1 = entry("b1", "DRAINING")


@pytest.fixture
def room():
    room = Room()
    yield room
    room.close()


def test_malformed_responses_from_the_new_address_keep_the_old_watch(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    new_registry = room.other_registries[0]
    room.discovery.move(new_registry.address)
    malformed = b"<html>", b'{"generation": 42}', b'{"generation": 42, "reset": true}'
    for count, body in enumerate(malformed, 1):
        request = new_registry.next_request()
        request.respond(body)
        room.run_until(lambda n=count: len(room.log_entries("discovery_new_address_unavailable")) == n)
        assert not watch.is_abandoned
        assert request.target == room.discovery.PATH  # without a full list from there, changes do not suffice
        room.advance(SECOND)
    room.update_after(lambda: watch.send_changes(42, DRAINING_B1))
    watch = room.registry.next_request()  # it continues, as the new address has sent no list
    assert "from=42" in watch.target and "hold_ms=3000" in watch.target
    assert not any(update.scope == "failed" for update in room.updates)
    room.update_after(lambda: new_registry.next_request().send_full(42, entry("b0"), DRAINING_B1))
    room.run_until(lambda: watch.is_abandoned)
    assert "from=42" in new_registry.next_request().target and room.registry.has_no_request()


def test_new_address_is_requested_at_once_when_the_old_watch_ends(room):
    watch = room.start_watch()
    new_registry = room.other_registries[0]
    room.discovery.move(new_registry.address)
    for _ in range(2):
        new_registry.next_request().fail()
        room.run_until(lambda: room.discovery.retry_timer)
        room.advance(SECOND)
    new_registry.next_request().fail()
    room.run_until(lambda: room.discovery.retry_timer)
    watch.reset()
    request = new_registry.next_request()  # the clock has not advanced
    assert room.log_entries("discovery_previous_watch_ended")[0]["why"] == "reset"
    assert room.update_after(request.fail).scope == "failed"  # no watch is left, so the failure is passed on
    room.discovery.subscribe(True)
    assert room.update_after(lambda: new_registry.next_request().send_full(42, SERVING_B1)).version == 42


def test_requests_to_a_failing_new_address_back_off(room):
    watch = room.start_watch()
    new_registry = room.other_registries[0]
    delays = []
    room.discovery.move(new_registry.address)
    for _ in range(6):
        new_registry.next_request().fail()
        room.run_until(lambda: room.discovery.retry_timer)
        delays.append(room.discovery.retry_timer.when - room.clock.now())
        room.advance(delays[-1])  # in total less than the timeout of the old watch
    for delay, tenths in zip(delays, (1, 2, 4, 8, 10, 10), strict=True):
        assert delay == tenths * SECOND // 10
    assert not watch.is_abandoned


def test_two_moves_keep_only_the_first_watch_and_the_last_address(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    second_registry, third_registry = room.other_registries
    room.discovery.move(second_registry.address)
    superseded = second_registry.next_request()
    room.discovery.move(third_registry.address)
    room.run_until(lambda: superseded.is_abandoned)
    third_registry.next_request().respond(b"rubbish")
    room.run_until(lambda: room.discovery.retry_timer)
    assert not watch.is_abandoned and second_registry.has_no_request()
    room.update_after(lambda: watch.send_changes(42, DRAINING_B1))
    room.advance(SECOND)
    room.update_after(lambda: third_registry.next_request().send_full(43, entry("b0"), DRAINING_B1))
    assert "from=43" in third_registry.next_request().target and room.state["b1"] == "draining"
    assert room.discovery.previous_watch is None and not room.discovery.move(third_registry.address)


def test_move_there_and_back_requests_the_full_list_again(room):
    watch = room.start_watch()
    room.discovery.move(room.other_registries[0].address)
    superseded = room.other_registries[0].next_request()
    room.discovery.move(room.registry.address)
    returned = room.registry.next_request()
    room.run_until(lambda: superseded.is_abandoned)
    assert returned.target == room.discovery.PATH and not watch.is_abandoned
    room.update_after(lambda: returned.send_full(41, SERVING_B1))
    room.run_until(lambda: watch.is_abandoned)
    assert "from=41" in room.registry.next_request().target


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_addresses_respond_in_one_turn(room, first):
    """The change arrives whichever response is read first: the client accepts it from the old address, or
    requests it from the new one after dropping the old watch."""
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    new_registry = room.other_registries[0]
    room.discovery.move(new_registry.address)
    request = new_registry.next_request()
    responses = [
        lambda: watch.send_changes(42, DRAINING_B1),
        lambda: request.send_full(41, entry("b0"), SERVING_B1),
    ]
    for respond in responses if first == "old" else reversed(responses):
        respond()  # both responses are received before the loop's next turn
    request = new_registry.next_request()
    if request.target == room.discovery.PATH:  # the list is older than the change: it is requested again
        assert room.state["b1"] == "draining" and room.discovery.previous_watch
        request.send_full(42, entry("b0"), DRAINING_B1)
    else:
        assert "from=41" in request.target
        request.send_changes(42, DRAINING_B1)
    assert "from=42" in new_registry.next_request().target and room.state == {"b0": "ready", "b1": "draining"}
    assert room.discovery.previous_watch is None


def test_restarted_count_at_the_new_address_is_accepted_while_the_old_one_sends_changes(room):
    watch = room.start_watch(41, entry("b0"), SERVING_B1)
    new_registry = room.other_registries[0]
    room.discovery.move(new_registry.address)
    new_registry.next_request().send_full(3, entry("b0"), SERVING_B1)
    new_registry.next_request().send_full(3, entry("b0"), SERVING_B1)
    room.update_after(lambda: watch.send_changes(42, DRAINING_B1))
    for generation in (43, 44):  # requested and answered after the confirmation began
        watch = room.registry.next_request()
        room.update_after(lambda w=watch, n=generation: w.send_changes(n, DRAINING_B1))
    watch = room.registry.next_request()
    room.advance(SECOND)
    assert room.state["b1"] == "draining" and not watch.is_abandoned
    room.update_after(lambda: new_registry.next_request().send_full(4, entry("b2")))
    assert (
        "from=4" in new_registry.next_request().target
        and room.discovery.version == 4
        and room.state == {"b2": "ready"}
    )
    room.run_until(lambda: watch.is_abandoned)


def test_move_while_discovery_fails_requests_the_new_address_at_once(room):
    watch = room.start_watch()
    # The decision module would subscribe again after a delay.
    assert room.update_after(watch.fail).scope == "failed"
    room.discovery.move(room.other_registries[0].address)
    room.update_after(lambda: room.other_registries[0].next_request().send_full(42, DRAINING_B1))
    assert "from=42" in room.other_registries[0].next_request().target
    room.discovery.subscribe(True)  # after that delay: no second watch is started
    assert room.other_registries[0].has_no_request()


def test_move_sends_no_request_before_the_subscription(room):
    room.discovery.move(room.other_registries[0].address)
    assert room.other_registries[0].has_no_request()
    room.discovery.subscribe(True)
    assert room.other_registries[0].next_request().target == room.discovery.PATH


def test_version_restored_from_another_process_leads_to_a_full_request(room):
    """That process's decision module may not have processed the last list of that version."""
    room.discovery.restore(45)
    room.discovery.subscribe(True)
    request = room.registry.next_request()
    assert request.target == room.discovery.PATH
    room.update_after(lambda: request.send_full(45, DRAINING_B1))
    assert "from=45" in room.registry.next_request().target
