"""A call to the relay whose outcome is unclear, and the channel in which it may lie already."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_codec import merge_orders, split_index
from indigohitch.platform_protocol.channel_backlog import ChannelBacklog
from relay_room import Channel, Room
from stage import SETTINGS, drain, none_lost
from waiting import eventually

UNCLEAR = ["reset done", "silent done", "garbage done", "rubbish done"]


def serving(platform, cap, pace=40.0):
    family = SETTINGS["family-info"] | {"queue-cap": cap, "egress-per-s": pace, "envelope": 2.0}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    eventually(lambda: platform.calls and not program.counters().get("calls_waiting"))
    return program


def rounds(platform, mark):
    """When the call with this mark was carried out, each time."""
    return [at for at, call in zip(platform.times, platform.calls) if f"fence,{mark},0" in call]


@pytest.mark.parametrize("fault", UNCLEAR)
def test_a_mark_answered_shows_that_the_call_stands(platform, fault):
    """The same again would lie in the channel twice, and count twice among a proxy's messages."""
    program = serving(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    eventually(
        lambda: not platform.relay_faults and program.counters().get("calls_confirmed_by_markers") == 1
    )
    drain(platform, "b2")
    assert len(platform.marks) == len(set(platform.marks)) and none_lost(platform)


@pytest.mark.parametrize("fault", UNCLEAR)
def test_the_same_again_waits_until_it_fits_into_the_channel(platform, fault):
    """Found on a day of six in ten replaced: 109,816 lines waited where 86,000 may."""
    program = serving(platform, 30.0)
    platform.marks_told, platform.streams_mute = False, True  # nothing tells that it was carried out
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    said = eventually(lambda: program.said("call_waits_for_channel_capacity"))
    eventually(lambda: len(rounds(platform, platform.marks[-1])) == 2)
    first, again = rounds(platform, platform.marks[-1])
    lines = said[0]["lines"]
    assert lines <= 30 < 2 * lines and again - first >= (2 * lines - 30) / 40.0 - 0.01


@pytest.mark.parametrize("fault", ["reset", "silent", "garbage", "503"])
def test_one_not_carried_out_goes_again(platform, fault):
    serving(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    assert not platform.relay_faults and none_lost(platform)


def lines(count, mark):
    """A call of so many orders, its mark among them."""
    return [face.SetRoute(number, "b1", 1.0) for number in range(count - 1)] + [
        face.UpdateMarker(mark, False)
    ]


def test_what_may_wait_in_the_channel_at_any_moment():
    backlog = ChannelBacklog(most=900, pace=500, head=9, proxies=lambda: range(10))
    call = lines(61, 1)
    assert backlog.size(call) == 700
    backlog.record_send(0, call)
    assert backlog.fits_at(0, 200) == 0
    assert backlog.fits_at(0, 700) == 10001  # 500 more than may wait, at 500 a second
    assert backlog.fits_at(SECOND // 2, 700) == 10001
    again = backlog.record_send(10001, call)
    assert backlog.fits_at(10001, 700) > 10001 + SECOND
    backlog.revert_send(again)
    assert backlog.fits_at(10001, 700) == 10001
    assert backlog.fits_at(10001, 5000) == 10001 + 4000  # more than the cap alone: once nothing waits
    assert backlog.split_index(lines(100, 2)) == 81
    assert ChannelBacklog(most=0, pace=0).fits_at(5, 10**9) == 5


def test_marks_make_room_for_each_copy_once():
    proxies = set(range(10))
    backlog = ChannelBacklog(most=900, pace=0.001, proxies=lambda: proxies)  # by itself hardly a line leaves
    for orders in (lines(20, 1), lines(30, 1), lines(10, 2)):
        backlog.record_send(0, orders)
    marks = [(3, 1, 580), (3, 7, 580), (4, 2, 520), (3, 1, 490), (3, 1, 490), (3, 2, 480)]
    for proxy, mark, left in marks:
        backlog.acknowledge(proxy, mark)
        assert backlog.fits_at(0, 900 - left) == 0 < backlog.fits_at(0, 901 - left)
    proxies.discard(5)
    backlog.remove_proxy(5)
    assert backlog.fits_at(0, 900 - 420) == 0 < backlog.fits_at(0, 901 - 420)


def play(room, channel, until_idle_for=60 * SECOND):
    """Answer each call as carried out, until none waits."""
    end = room.clock.now() + until_idle_for
    while not room.relay.idle:
        assert room.clock.now() < end, "calls wait for ever"
        channel.drain()
        if room.relay.awaiting_response:
            channel.carried_out()
            room.answer(taken=len(room.relay.pending_calls[0]))
        else:
            room.go(SECOND // 100)


def bounded(monkeypatch, share=1 / 8, marks_told=False):
    """A relay to ten proxies, and its channel of 1,000 lines, at that share of 500 a second."""
    room = Room(monkeypatch, cap=1000, pace=500, proxies=10)
    return room, Channel(room, 500 * share, marks_told)


@pytest.mark.parametrize("share, marks_told", [(1, True), (1 / 5, True), (1 / 8, False)])
@pytest.mark.parametrize("ordered", ["while the first waits", "once it stands"])
def test_a_later_call_waits_for_one_that_lies_in_the_channel_twice(monkeypatch, ordered, share, marks_told):
    """The module counted the call once, and once its first copy is answered by marks not at all."""
    room, channel = bounded(monkeypatch, share, marks_told)
    room.relay.order(lines(60, 1))
    channel.carried_out()
    room.answer("reset")
    if ordered == "while the first waits":
        room.relay.order(lines(15, 2))
    play(room, channel)
    if ordered == "once it stands":
        room.relay.order(lines(80, 2))
        play(room, channel)
    assert channel.most <= 1000
    assert room.stand == lines(60, 1) + lines(80 if ordered == "once it stands" else 15, 2)


@pytest.mark.parametrize("share, marks_told", [(1, True), (1 / 5, True), (1 / 8, False)])
def test_what_had_to_wait_for_the_relay_does_not_go_in_a_burst(monkeypatch, share, marks_told):
    """The module counts lines out from when it ordered them, also while no call is taken.  Nor does it
    wait longer than the channel needs, where marks are answered."""
    room, channel = bounded(monkeypatch, share, marks_told)
    for mark in range(1, 6):
        room.relay.order(lines(40, mark))
        for _ in range(20):
            if room.relay.awaiting_response:
                room.answer(code="Throttling")
            room.go(SECOND // 20)
    began = room.clock.now()
    play(room, channel)
    assert channel.most <= 1000 and len(room.stand) == 5 * 40
    assert room.clock.now() - began <= (2000 / channel.pace + 0.5) * SECOND


def test_a_repeat_leaves_room_for_a_proxy_that_joins_and_for_the_way(monkeypatch):
    """The relay carries a call out up to 50 ms after it was sent, to all who have joined by then."""
    room, channel = bounded(monkeypatch)
    room.relay.order(lines(60, 1))
    room.go(SECOND // 20)
    channel.carried_out()
    room.answer("reset")
    while not room.relay.awaiting_response:
        room.go(SECOND // 100)
    room.proxies = 11  # by the relay, when it takes the call
    play(room, channel)
    assert channel.most <= 1000


def moved(number, mark):
    """Of a table: the new line, the old one's removal, and a mark."""
    return [
        face.SetRoute(number, "new", 1.0),
        face.SetRoute(number, "old", 0.0),
        face.UpdateMarker(mark, False),
    ]


@pytest.mark.parametrize("outcome", ["Throttling", "reset"])
def test_more_than_may_wait_goes_in_parts_with_the_lines_of_a_table_together(monkeypatch, outcome):
    """Merged while the relay was out of reach, and to more proxies than there were."""
    room, channel = bounded(monkeypatch)
    for number in range(200):
        room.relay.order(moved(number, number))
    assert room.relay.log.counts["calls_merged"]
    room.proxies = 30
    room.answer(*((outcome,) if outcome == "reset" else ("answered", 0, outcome)))
    play(room, channel, 600 * SECOND)
    assert channel.most <= 1000 and room.relay.log.counts["calls_split_to_channel"]
    for orders, _ in room.relay.client.asked:
        assert len({o for o in orders.split(";") if "new" in o}) == len(
            {o for o in orders.split(";") if "old" in o}
        )
    assert {order.table for order in room.stand if isinstance(order, face.SetRoute)} == set(range(200))


def test_merged_lines_of_a_table_stand_together_where_the_last_one_did():
    early, late = face.SetRoute(1, "old", 0.0), face.SetRoute(1, "new", 1.0)
    other, level = face.SetRoute(2, "b1", 1.0), face.SetAdmission(1, (), 1.0, 1)
    assert merge_orders([early, other, late, level]) == [other, early, late, level]
    assert merge_orders([early, other, face.ClearTable(1), late]) == [other, face.ClearTable(1), late]
    assert [split_index([other, early, late, level], most) for most in (-3, 1, 2, 3, 4)] == [1, 1, 1, 3, 4]
    assert split_index([early, late], 1) == 1
