"""Discovery that falls silent, answers by halves, too slowly or too late, on connections that end."""

import socket

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from listroom import Room, entry, listed
from world import World

DRAINS = entry("b1", "DRAINING")
TOLD = 5 * SECOND  # after a watch was sent, its wait of 3 s and 2 s, what it had to tell counts


@pytest.fixture
def room():
    found = Room()
    yield found
    found.close()


def asked_anew(room):
    """As the module does; the answer counts."""
    room.discovery.subscribe(True)
    call = room.registry.call()
    assert "hold_ms=0" in call.target and "from=41" in call.target
    room.hears(lambda: call.changes(42, DRAINS))
    assert "from=42" in room.registry.call().target


def test_a_silent_watch_is_given_up_before_what_it_had_to_tell_counts(room):
    watch = room.begin()
    room.forward(TOLD - SECOND)  # it may still come from a queue of calls
    assert not watch.given_up
    room.hears(lambda: room.forward(SECOND // 2))
    room.until(lambda: watch.given_up)
    failed = room.said("discovery_failed")[0]
    assert failed["why"] == "timeout" and failed["after_ms"] == 4500 < TOLD / 10
    asked_anew(room)


def test_an_answer_in_the_queue_of_calls_counts_to_the_last(room):
    watch = room.begin()
    room.clock.time += TOLD - SECOND
    room.hears(lambda: watch.changes(42, DRAINS))
    assert room.state["b1"] == "draining" and "from=42" in room.registry.call().target


def test_an_answer_that_is_there_when_its_time_ends_counts(room):
    watch = room.begin()
    watch.changes(42, DRAINS)
    room.clock.time += TOLD  # as after a stall: the answer and the deadline in one turn
    room.until(lambda: len(room.told) == 2)
    assert room.told[-1].scope == "changes" and not room.said("discovery_failed")


def test_a_byte_a_second_is_given_up_in_the_same_time(room):
    watch = room.begin()
    body = listed(42, DRAINS)
    watch.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
    for n in range(4):
        watch.write(body[n : n + 1])
        room.forward(SECOND)
    room.hears(lambda: room.forward(SECOND))
    assert room.told[-1].scope == "failed" and room.said("discovery_failed")[0]["why"] == "timeout"
    room.until(lambda: watch.given_up)
    asked_anew(room)


def test_an_answer_after_it_was_given_up_is_no_answer_to_the_next_call(room):
    watch = room.begin()
    room.hears(lambda: room.forward(TOLD))
    room.discovery.subscribe(True)
    call = room.registry.call()
    assert call.sock is not watch.sock
    try:
        watch.full(99, entry("b9"))
    except OSError:
        pass  # reset: it can't even be written
    room.hears(lambda: call.changes(42, DRAINS))
    assert room.discovery.version == 42 and "b9" not in room.state


HALF = listed(42, DRAINS, full=True)[:60]
HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "said,why",
    [
        (HEAD + b"Content-Length: 60\r\n\r\n" + HALF, "unexpected end"),  # whole in length, half a list
        (HEAD + b"Content-Length: 400\r\n\r\n" + HALF, "reset"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3c\r\n" + HALF + b"\r\n", "reset"),
        (HEAD + b"\r\n" + HALF, "unexpected end"),
        (HEAD + b"\r\n", "input"),
        (HEAD + b"Content-Le", "reset"),
    ],
)
@pytest.mark.parametrize("abrupt", [False, True])
def test_half_an_answer_tells_nothing_and_says_why(room, said, why, abrupt):
    watch = room.begin()
    before = room.state
    watch.write(said)
    if abrupt:
        room.forward(SECOND // 10)  # later than a close that crosses the call
        watch.reset()
    else:
        watch.sock.shutdown(socket.SHUT_WR)
    room.until(lambda: room.told[-1].scope == "failed")
    failed = room.said("discovery_failed")
    assert len(failed) == 1 and (why in failed[0]["why"].lower() or abrupt and failed[0]["why"] == "reset")
    assert room.state == before and room.discovery.version == 41
    asked_anew(room)


def test_a_body_without_a_length_ends_with_its_connection(room):
    watch = room.begin()
    watch.write(HEAD + b"\r\n" + listed(42, DRAINS))
    assert len(room.told) == 1
    room.hears(lambda: watch.sock.shutdown(socket.SHUT_WR))
    assert room.discovery.version == 42 and "from=42" in room.registry.call().target


def test_an_answer_and_the_close_behind_it_leave_no_gap_in_the_watch(room):
    watch = room.begin()
    watch.changes(42, DRAINS)
    watch.sock.shutdown(socket.SHUT_WR)  # the next call goes out on it and comes again on another
    call = room.registry.call()
    while call.sock is watch.sock:
        call = room.registry.call()
    assert "from=42" in call.target and len(room.told) == 2 and not room.said("discovery_failed")


def test_a_call_that_meets_the_close_for_idleness_goes_again(room):
    watch = room.begin()
    room.hears(watch.fail)  # its connection rests
    watch.sock.shutdown(socket.SHUT_WR)
    room.discovery.subscribe(True)  # before the loop has seen the close
    call = room.registry.call()
    while call.sock is watch.sock:
        call = room.registry.call()
    room.hears(lambda: call.changes(42, DRAINS))
    assert room.discovery.version == 42 and len(room.said("discovery_failed")) == 1


def test_an_answer_that_nobody_asked_for_is_no_answer_to_the_next_call(room):
    watch = room.begin()
    room.hears(watch.fail)
    watch.full(99, entry("b9"))  # on the connection that rests
    room.until(lambda: watch.given_up)
    room.discovery.subscribe(True)
    call = room.registry.call()
    assert call.sock is not watch.sock and "b9" not in room.state
    room.hears(lambda: call.changes(42, DRAINS))


def test_each_failure_reaches_the_log_and_the_first_answer_after_counts(room):
    call = room.begin()
    for n in range(30):
        room.hears(call.reset if n % 2 else call.fail)
        room.forward(4 * SECOND)
        room.discovery.subscribe(True)
        call = room.registry.call()
    assert [line["why"] for line in room.said("discovery_failed")] == ["status 503", "reset"] * 15
    room.hears(lambda: call.full(50, DRAINS))
    assert room.state["b1"] == "draining" and "from=50" in room.registry.call().target


def test_the_module_asks_anew_within_four_seconds_however_long_it_fails():
    w = World()
    w.start(3, 3)
    for n in range(40):
        w.step(0, face.BackendList("failed", 0, ()))
        waited = 0
        while face.WatchBackends(True) not in w.step(SECOND // 2):
            waited += SECOND // 2
        assert waited < (SECOND if n == 0 else 4 * SECOND)
    w.step(0, face.BackendList("changes", 2, ()))
    w.step(0, face.BackendList("failed", 0, ()))
    assert face.WatchBackends(True) in w.step(SECOND + SECOND // 2)
