"""Tests the discovery client when responses are missing, partial, slow or late, and when connections end."""

import socket

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from listroom import Room, entry, listed
from world import World

DRAINING_B1 = entry("b1", "DRAINING")
REPORT_LIMIT = 5 * SECOND  # a watch's change counts as reported after its wait of 3 s and another 2 s


@pytest.fixture
def room():
    room = Room()
    yield room
    room.close()


def resubscribe(room):
    """Subscribe again as the decision module does after a failure; the response is accepted."""
    room.discovery.subscribe(True)
    request = room.registry.next_request()
    assert "hold_ms=0" in request.target and "from=41" in request.target
    room.update_after(lambda: request.send_changes(42, DRAINING_B1))
    assert "from=42" in room.registry.next_request().target


def test_silent_watch_times_out_before_its_change_counts_as_reported(room):
    watch = room.start_watch()
    room.advance(REPORT_LIMIT - SECOND)  # the response may still come, as requests queue at discovery
    assert not watch.is_abandoned
    room.update_after(lambda: room.advance(SECOND // 2))
    room.run_until(lambda: watch.is_abandoned)
    failed = room.log_entries("discovery_failed")[0]
    assert failed["why"] == "timeout" and failed["after_ms"] == 4500 < REPORT_LIMIT / 10
    resubscribe(room)


def test_response_delayed_by_the_queue_of_discovery_is_accepted(room):
    watch = room.start_watch()
    room.clock.time += REPORT_LIMIT - SECOND
    room.update_after(lambda: watch.send_changes(42, DRAINING_B1))
    assert room.state["b1"] == "draining" and "from=42" in room.registry.next_request().target


def test_response_received_in_the_turn_of_its_timeout_is_accepted(room):
    watch = room.start_watch()
    watch.send_changes(42, DRAINING_B1)
    room.clock.time += REPORT_LIMIT  # as after a stall: the response and the timeout fall into one turn
    room.run_until(lambda: len(room.updates) == 2)
    assert room.updates[-1].scope == "changes" and not room.log_entries("discovery_failed")


def test_response_of_one_byte_a_second_times_out_as_a_silent_one_does(room):
    watch = room.start_watch()
    body = listed(42, DRAINING_B1)
    watch.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
    for n in range(4):
        watch.write(body[n : n + 1])
        room.advance(SECOND)
    room.update_after(lambda: room.advance(SECOND))
    assert room.updates[-1].scope == "failed" and room.log_entries("discovery_failed")[0]["why"] == "timeout"
    room.run_until(lambda: watch.is_abandoned)
    resubscribe(room)


def test_response_after_its_timeout_does_not_answer_the_next_request(room):
    watch = room.start_watch()
    room.update_after(lambda: room.advance(REPORT_LIMIT))
    room.discovery.subscribe(True)
    request = room.registry.next_request()
    assert request.sock is not watch.sock
    try:
        watch.send_full(99, entry("b9"))
    except OSError:
        pass  # the connection is reset already
    room.update_after(lambda: request.send_changes(42, DRAINING_B1))
    assert room.discovery.version == 42 and "b9" not in room.state


PARTIAL_LIST = listed(42, DRAINING_B1, full=True)[:60]
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "data,why",
    [
        # Complete by its length, but half a list.
        (RESPONSE_HEAD + b"Content-Length: 60\r\n\r\n" + PARTIAL_LIST, "unexpected end"),
        (RESPONSE_HEAD + b"Content-Length: 400\r\n\r\n" + PARTIAL_LIST, "reset"),
        (RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3c\r\n" + PARTIAL_LIST + b"\r\n", "reset"),
        (RESPONSE_HEAD + b"\r\n" + PARTIAL_LIST, "unexpected end"),
        (RESPONSE_HEAD + b"\r\n", "input"),
        (RESPONSE_HEAD + b"Content-Le", "reset"),
    ],
)
@pytest.mark.parametrize("abrupt", [False, True])
def test_partial_response_is_a_failure_with_its_reason(room, data, why, abrupt):
    watch = room.start_watch()
    state_before = room.state
    watch.write(data)
    if abrupt:
        room.advance(SECOND // 10)  # later than CLOSE_IN_TRANSIT, within which the client would retry
        watch.reset()
    else:
        watch.sock.shutdown(socket.SHUT_WR)
    room.run_until(lambda: room.updates[-1].scope == "failed")
    failed = room.log_entries("discovery_failed")
    assert len(failed) == 1 and (why in failed[0]["why"].lower() or abrupt and failed[0]["why"] == "reset")
    assert room.state == state_before and room.discovery.version == 41
    resubscribe(room)


def test_body_without_a_length_ends_with_its_connection(room):
    watch = room.start_watch()
    watch.write(RESPONSE_HEAD + b"\r\n" + listed(42, DRAINING_B1))
    assert len(room.updates) == 1
    room.update_after(lambda: watch.sock.shutdown(socket.SHUT_WR))
    assert room.discovery.version == 42 and "from=42" in room.registry.next_request().target


def test_close_right_after_a_response_leaves_no_gap_in_the_watch(room):
    watch = room.start_watch()
    watch.send_changes(42, DRAINING_B1)
    watch.sock.shutdown(socket.SHUT_WR)  # the next request is sent there, and again on another connection
    request = room.registry.next_request()
    while request.sock is watch.sock:
        request = room.registry.next_request()
    assert "from=42" in request.target and len(room.updates) == 2 and not room.log_entries("discovery_failed")


def test_request_on_a_connection_closed_as_idle_is_sent_again(room):
    watch = room.start_watch()
    room.update_after(watch.fail)  # its connection is idle now
    watch.sock.shutdown(socket.SHUT_WR)
    room.discovery.subscribe(True)  # before the loop has read the close
    request = room.registry.next_request()
    while request.sock is watch.sock:
        request = room.registry.next_request()
    room.update_after(lambda: request.send_changes(42, DRAINING_B1))
    assert room.discovery.version == 42 and len(room.log_entries("discovery_failed")) == 1


def test_unrequested_response_does_not_answer_the_next_request(room):
    watch = room.start_watch()
    room.update_after(watch.fail)
    watch.send_full(99, entry("b9"))  # on the idle connection
    room.run_until(lambda: watch.is_abandoned)
    room.discovery.subscribe(True)
    request = room.registry.next_request()
    assert request.sock is not watch.sock and "b9" not in room.state
    room.update_after(lambda: request.send_changes(42, DRAINING_B1))


def test_each_failure_is_logged_and_the_next_response_is_accepted(room):
    request = room.start_watch()
    for n in range(30):
        room.update_after(request.reset if n % 2 else request.fail)
        room.advance(4 * SECOND)
        room.discovery.subscribe(True)
        request = room.registry.next_request()
    assert [line["why"] for line in room.log_entries("discovery_failed")] == ["status 503", "reset"] * 15
    room.update_after(lambda: request.send_full(50, DRAINING_B1))
    assert room.state["b1"] == "draining" and "from=50" in room.registry.next_request().target


def test_decision_module_subscribes_again_within_four_seconds_of_every_failure():
    world = World()
    world.start(3, 3)
    for n in range(40):
        world.step(0, face.BackendList("failed", 0, ()))
        waited = 0
        while face.WatchBackends(True) not in world.step(SECOND // 2):
            waited += SECOND // 2
        assert waited < (SECOND if n == 0 else 4 * SECOND)
    world.step(0, face.BackendList("changes", 2, ()))
    world.step(0, face.BackendList("failed", 0, ()))
    assert face.WatchBackends(True) in world.step(SECOND + SECOND // 2)
