"""Calls with unknown outcome, which may be in the channel already, and the limit on the channel's lines."""

import pytest

from indigohitch import interface as face
from indigohitch.net.clock import SECOND
from indigohitch.platform_protocol.call_codec import merge_orders, split_index
from indigohitch.platform_protocol.channel_backlog import ChannelBacklog
from relay_room import Room, SimulatedChannel
from stage import SETTINGS, drain, none_lost
from waiting import eventually

# Faults after which the call was applied, but the coordinator gets no valid response.
UNRESOLVED_FAULTS = ["reset done", "silent done", "garbage done", "rubbish done"]


def start_with_channel(platform, max_lines, drain_rate=40.0):
    """Start the program with these limits of the channel, and wait until its first calls are applied."""
    family = SETTINGS["family-info"] | {"queue-cap": max_lines, "egress-per-s": drain_rate, "envelope": 2.0}
    program = platform.start(settings=SETTINGS | {"family-info": family})
    eventually(lambda: program.said("phase", now="serving"))
    eventually(lambda: platform.calls and not program.counters().get("calls_waiting"))
    return program


def apply_times(platform, marker):
    """Return the times at which the relay applied the call with this marker."""
    return [at for at, call in zip(platform.times, platform.calls) if f"fence,{marker},0" in call]


@pytest.mark.parametrize("fault", UNRESOLVED_FAULTS)
def test_an_acknowledged_marker_confirms_an_unresolved_call(platform, fault):
    """A retry would be in the channel twice, and count twice towards the message limit of a proxy."""
    program = start_with_channel(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    eventually(
        lambda: not platform.relay_faults and program.counters().get("calls_confirmed_by_markers") == 1
    )
    drain(platform, "b2")
    assert len(platform.marks) == len(set(platform.marks)) and none_lost(platform)


@pytest.mark.parametrize("fault", UNRESOLVED_FAULTS)
def test_a_retry_waits_until_it_fits_the_channel(platform, fault):
    """Retries that ignore the channel limit exceed it: on a day on which six in ten backends were replaced,
    109,816 lines waited with a limit of 86,000."""
    program = start_with_channel(platform, 30.0)
    platform.marks_told = False
    platform.streams_mute = True  # no evidence that the call was applied
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    events = eventually(lambda: program.said("call_waits_for_channel_capacity"))
    eventually(lambda: len(apply_times(platform, platform.marks[-1])) == 2)
    first, second = apply_times(platform, platform.marks[-1])
    lines = events[0]["lines"]
    assert lines <= 30 < 2 * lines and second - first >= (2 * lines - 30) / 40.0 - 0.01


@pytest.mark.parametrize("fault", ["reset", "silent", "garbage", "503"])
def test_a_call_that_was_not_applied_is_retried(platform, fault):
    start_with_channel(platform, 30.0)
    platform.relay_faults.append(fault)
    drain(platform, "b1")
    assert not platform.relay_faults and none_lost(platform)


def make_call(count, marker):
    """Return `count` orders, the last of which is the marker."""
    return [face.SetRoute(number, "b1", 1.0) for number in range(count - 1)] + [
        face.UpdateMarker(marker, False)
    ]


def test_backlog_estimate_limits_the_lines_in_the_channel():
    backlog = ChannelBacklog(max_lines=900, drain_rate=500, overhead_lines=9, proxies=lambda: range(10))
    call = make_call(61, 1)
    assert backlog.size(call) == 700
    backlog.record_send(0, call)
    assert backlog.fits_at(0, 200) == 0
    assert backlog.fits_at(0, 700) == 10001  # 500 lines above the limit, at 500 lines per second
    assert backlog.fits_at(SECOND // 2, 700) == 10001
    retry = backlog.record_send(10001, call)
    assert backlog.fits_at(10001, 700) > 10001 + SECOND
    backlog.revert_send(retry)
    assert backlog.fits_at(10001, 700) == 10001
    # More lines than the limit allows fit once the channel is empty.
    assert backlog.fits_at(10001, 5000) == 10001 + 4000
    assert backlog.split_index(make_call(100, 2)) == 81
    assert ChannelBacklog(max_lines=0, drain_rate=0).fits_at(5, 10**9) == 5


def test_each_acknowledgement_frees_one_copy_of_a_call():
    proxies = set(range(10))
    # At this drain rate next to no lines leave.
    backlog = ChannelBacklog(max_lines=900, drain_rate=0.001, proxies=lambda: proxies)
    for orders in (make_call(20, 1), make_call(30, 1), make_call(10, 2)):
        backlog.record_send(0, orders)
    # Proxy, marker, remaining lines in the channel.
    acknowledgements = [(3, 1, 580), (3, 7, 580), (4, 2, 520), (3, 1, 490), (3, 1, 490), (3, 2, 480)]
    for proxy, marker, remaining in acknowledgements:
        backlog.acknowledge(proxy, marker)
        assert backlog.fits_at(0, 900 - remaining) == 0 < backlog.fits_at(0, 901 - remaining)
    proxies.discard(5)
    backlog.remove_proxy(5)
    assert backlog.fits_at(0, 900 - 420) == 0 < backlog.fits_at(0, 901 - 420)


def run_until_idle(room, channel, timeout=60 * SECOND):
    """Apply each call and respond to it until none waits."""
    end = room.clock.now() + timeout
    while not room.relay.idle:
        assert room.clock.now() < end, "calls are still waiting"
        channel.drain()
        if room.relay.awaiting_response:
            channel.apply_call()
            room.answer(taken=len(room.relay.pending_calls[0]))
        else:
            room.advance(SECOND // 100)


def limited_room(monkeypatch, share=1 / 8, acknowledges=False):
    """Return a room with ten proxies and a channel of 1,000 lines at this share of 500 lines per second."""
    room = Room(monkeypatch, max_lines=1000, drain_rate=500, proxies=10)
    return room, SimulatedChannel(room, 500 * share, acknowledges)


@pytest.mark.parametrize("share, acknowledges", [(1, True), (1 / 5, True), (1 / 8, False)])
@pytest.mark.parametrize("ordered", ["while the first waits", "after it is applied"])
def test_a_later_call_waits_for_one_that_is_in_the_channel_twice(monkeypatch, ordered, share, acknowledges):
    """The module counts the call once, and no longer once its first copy is acknowledged."""
    room, channel = limited_room(monkeypatch, share, acknowledges)
    room.relay.enqueue(make_call(60, 1))
    channel.apply_call()
    room.answer("reset")
    if ordered == "while the first waits":
        room.relay.enqueue(make_call(15, 2))
    run_until_idle(room, channel)
    if ordered == "after it is applied":
        room.relay.enqueue(make_call(80, 2))
        run_until_idle(room, channel)
    assert channel.peak_lines <= 1000
    assert room.applied == make_call(60, 1) + make_call(80 if ordered == "after it is applied" else 15, 2)


@pytest.mark.parametrize("share, acknowledges", [(1, True), (1 / 5, True), (1 / 8, False)])
def test_calls_delayed_by_the_relay_are_not_sent_in_a_burst(monkeypatch, share, acknowledges):
    """The module counts lines as leaving from the time it ordered them, also while the relay throttles. Calls
    must not wait longer than the channel needs either, where markers are acknowledged."""
    room, channel = limited_room(monkeypatch, share, acknowledges)
    for marker in range(1, 6):
        room.relay.enqueue(make_call(40, marker))
        for _ in range(20):
            if room.relay.awaiting_response:
                room.answer(code="Throttling")
            room.advance(SECOND // 20)
    started_at = room.clock.now()
    run_until_idle(room, channel)
    assert channel.peak_lines <= 1000 and len(room.applied) == 5 * 40
    assert room.clock.now() - started_at <= (2000 / channel.drain_rate + 0.5) * SECOND


def test_a_retry_leaves_capacity_for_a_joining_proxy_and_the_transit_time(monkeypatch):
    """The relay applies a call up to 50 ms after it was sent, for all proxies that have joined by then."""
    room, channel = limited_room(monkeypatch)
    room.relay.enqueue(make_call(60, 1))
    room.advance(SECOND // 20)
    channel.apply_call()
    room.answer("reset")
    while not room.relay.awaiting_response:
        room.advance(SECOND // 100)
    room.proxies = 11  # one has joined by the time that the relay applies the call
    run_until_idle(room, channel)
    assert channel.peak_lines <= 1000


def move_route(number, marker):
    """Return orders that replace the route of a table, and a marker."""
    return [
        face.SetRoute(number, "new", 1.0),
        face.SetRoute(number, "old", 0.0),
        face.UpdateMarker(marker, False),
    ]


@pytest.mark.parametrize("outcome", ["Throttling", "reset"])
def test_an_oversized_call_is_split_with_the_routes_of_a_table_together(monkeypatch, outcome):
    """The call exceeds the channel: it was merged while the relay was unreachable, and more proxies have
    joined since."""
    room, channel = limited_room(monkeypatch)
    for number in range(200):
        room.relay.enqueue(move_route(number, number))
    assert room.relay.log.counts["calls_merged"]
    room.proxies = 30
    room.answer(*((outcome,) if outcome == "reset" else ("answered", 0, outcome)))
    run_until_idle(room, channel, 600 * SECOND)
    assert channel.peak_lines <= 1000 and room.relay.log.counts["calls_split_to_channel"]
    for orders, _ in room.relay.client.requests:
        assert len({o for o in orders.split(";") if "new" in o}) == len(
            {o for o in orders.split(";") if "old" in o}
        )
    assert {order.table for order in room.applied if isinstance(order, face.SetRoute)} == set(range(200))


def test_merged_routes_of_a_table_are_kept_together_at_the_position_of_the_last():
    early = face.SetRoute(1, "old", 0.0)
    late = face.SetRoute(1, "new", 1.0)
    other = face.SetRoute(2, "b1", 1.0)
    level = face.SetAdmission(1, (), 1.0, 1)
    assert merge_orders([early, other, late, level]) == [other, early, late, level]
    assert merge_orders([early, other, face.ClearTable(1), late]) == [other, face.ClearTable(1), late]
    assert [split_index([other, early, late, level], max_orders) for max_orders in (-3, 1, 2, 3, 4)] == [
        1,
        1,
        1,
        3,
        4,
    ]
    assert split_index([early, late], 1) == 1
