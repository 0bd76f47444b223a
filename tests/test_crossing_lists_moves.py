"""Discovery moved to another address while its watch at the old one is out."""

import pytest

from indigohitch.net.clock import SECOND
from listroom import Room, entry

SERVES, DRAINS = entry("b1"), entry("b1", "DRAINING")


@pytest.fixture
def room():
    found = Room()
    yield found
    found.close()


def test_rubbish_at_the_new_address_leaves_the_old_watch_out(room):
    watch = room.begin(41, entry("b0"), SERVES)
    new = room.others[0]
    room.discovery.move(new.to)
    rubbish = b"<html>", b'{"generation": 42}', b'{"generation": 42, "reset": true}'
    for said, body in enumerate(rubbish, 1):
        call = new.call()
        call.answer(body)
        room.until(lambda n=said: len(room.said("discovery_new_address_unavailable")) == n)
        assert not watch.given_up
        assert call.target == room.discovery.PATH  # where none is held from there, changes won't do
        room.forward(SECOND)
    room.hears(lambda: watch.changes(42, DRAINS))
    watch = room.registry.call()  # it goes on, as nothing else tells
    assert "from=42" in watch.target and "hold_ms=3000" in watch.target
    assert not any(news.scope == "failed" for news in room.told)
    room.hears(lambda: new.call().full(42, entry("b0"), DRAINS))
    room.until(lambda: watch.given_up)
    assert "from=42" in new.call().target and room.registry.quiet()


def test_once_the_old_watch_has_ended_the_new_address_is_asked_at_once(room):
    watch = room.begin()
    new = room.others[0]
    room.discovery.move(new.to)
    for _ in range(2):
        new.call().fail()
        room.until(lambda: room.discovery.retry_timer)
        room.forward(SECOND)
    new.call().fail()
    room.until(lambda: room.discovery.retry_timer)
    watch.reset()
    call = new.call()  # no time has passed
    assert room.said("discovery_previous_watch_ended")[0]["why"] == "reset"
    assert room.hears(call.fail).scope == "failed"  # nobody tells now: the module hears of it
    room.discovery.subscribe(True)
    assert room.hears(lambda: new.call().full(42, SERVES)).version == 42


def test_a_new_address_that_lasts_in_failing_is_asked_less_often(room):
    watch = room.begin()
    new, waits = room.others[0], []
    room.discovery.move(new.to)
    for _ in range(6):
        new.call().fail()
        room.until(lambda: room.discovery.retry_timer)
        waits.append(room.discovery.retry_timer.when - room.clock.now())
        room.forward(waits[-1])  # in all less than the old watch may take
    for wait, tenths in zip(waits, (1, 2, 4, 8, 10, 10), strict=True):
        assert wait == tenths * SECOND // 10
    assert not watch.given_up


def test_moved_twice_only_the_first_watch_and_the_last_address_count(room):
    watch = room.begin(41, entry("b0"), SERVES)
    between, last = room.others
    room.discovery.move(between.to)
    passed = between.call()
    room.discovery.move(last.to)
    room.until(lambda: passed.given_up)
    last.call().answer(b"rubbish")
    room.until(lambda: room.discovery.retry_timer)
    assert not watch.given_up and between.quiet()
    room.hears(lambda: watch.changes(42, DRAINS))
    room.forward(SECOND)
    room.hears(lambda: last.call().full(43, entry("b0"), DRAINS))
    assert "from=43" in last.call().target and room.state["b1"] == "draining"
    assert room.discovery.previous_watch is None and not room.discovery.move(last.to)


def test_moved_there_and_back_the_watch_is_asked_for_anew(room):
    watch = room.begin()
    room.discovery.move(room.others[0].to)
    passed = room.others[0].call()
    room.discovery.move(room.registry.to)
    back = room.registry.call()
    room.until(lambda: passed.given_up)
    assert back.target == room.discovery.PATH and not watch.given_up
    room.hears(lambda: back.full(41, SERVES))
    room.until(lambda: watch.given_up)
    assert "from=41" in room.registry.call().target


@pytest.mark.parametrize("first", ["old", "new"])
def test_both_addresses_answer_in_one_turn(room, first):
    """Whichever is read first, what the old one told comes: from there, or asked for where it is dropped."""
    watch = room.begin(41, entry("b0"), SERVES)
    new = room.others[0]
    room.discovery.move(new.to)
    call = new.call()
    answers = [lambda: watch.changes(42, DRAINS), lambda: call.full(41, entry("b0"), SERVES)]
    for answer in answers if first == "old" else reversed(answers):
        answer()  # both are there before the loop turns again
    call = new.call()
    if call.target == room.discovery.PATH:  # the list crossed the change: asked for again
        assert room.state["b1"] == "draining" and room.discovery.previous_watch
        call.full(42, entry("b0"), DRAINS)
    else:
        assert "from=41" in call.target
        call.changes(42, DRAINS)
    assert "from=42" in new.call().target and room.state == {"b0": "ready", "b1": "draining"}
    assert room.discovery.previous_watch is None


def test_another_count_at_the_new_address_is_believed_though_the_old_one_still_tells(room):
    watch = room.begin(41, entry("b0"), SERVES)
    new = room.others[0]
    room.discovery.move(new.to)
    new.call().full(3, entry("b0"), SERVES)
    new.call().full(3, entry("b0"), SERVES)
    room.hears(lambda: watch.changes(42, DRAINS))
    for generation in (43, 44):  # the next ones are sent, and answered, after the doubt began
        watch = room.registry.call()
        room.hears(lambda w=watch, n=generation: w.changes(n, DRAINS))
    watch = room.registry.call()
    room.forward(SECOND)
    assert room.state["b1"] == "draining" and not watch.given_up
    room.hears(lambda: new.call().full(4, entry("b2")))
    assert "from=4" in new.call().target and room.discovery.version == 4 and room.state == {"b2": "ready"}
    room.until(lambda: watch.given_up)


def test_moved_while_discovery_fails_the_new_address_is_asked_at_once(room):
    watch = room.begin()
    assert room.hears(watch.fail).scope == "failed"  # the module would ask anew in its time
    room.discovery.move(room.others[0].to)
    room.hears(lambda: room.others[0].call().full(42, DRAINS))
    assert "from=42" in room.others[0].call().target
    room.discovery.subscribe(True)  # its time has come: one watch is enough
    assert room.others[0].quiet()


def test_nothing_is_asked_for_before_the_module_has(room):
    room.discovery.move(room.others[0].to)
    assert room.others[0].quiet()
    room.discovery.subscribe(True)
    assert room.others[0].call().target == room.discovery.PATH


def test_what_another_process_held_is_asked_for_whole(room):
    """Its module may not have heard the last of what its generation stands for."""
    room.discovery.restore(45)
    room.discovery.subscribe(True)
    call = room.registry.call()
    assert call.target == room.discovery.PATH
    room.hears(lambda: call.full(45, DRAINS))
    assert "from=45" in room.registry.call().target
