"""Strangers and floods against the loop: what one turn may cost, and what all others get meanwhile."""

import socket

import pytest

from collector_room import Exhausted, Hall
from indigohitch.net.connection import Connection
from program import stopped
from waiting import eventually

REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"
HB, MANY = b"hb\r\n", 20_000
# The bounds of a turn: so many strangers, of each so many heartbeats in one read.
CROWD, READ, BURST = 32, 256 // len(HB), 64


@pytest.fixture
def hall():
    found = Hall()
    yield found
    found.close()


def test_strangers_who_flood_share_a_bounded_part_of_each_turn(hall, monkeypatch):
    """64 of them held up one turn for 20 s, and each answer was a write of its own."""
    writes, write = [], Connection.write
    monkeypatch.setattr(Connection, "write", lambda c, data: writes.append(c) or write(c, data))
    count = 4 * CROWD
    for _ in range(count):
        hall.call()
    hall.accepted(count)
    for sock in hall.callers:
        sock.send(HB * MANY)
    for turn in range(1, 9):
        assert hall.turn()["heartbeats_answered"] <= CROWD * READ and len(writes) <= turn * CROWD
        if turn == 4:
            assert len(set(writes)) == count  # each had its turn before any had a second one
    assert hall.log.counts["heartbeats_answered"] == 8 * CROWD * READ


def test_a_collector_and_a_deadline_pass_by_the_flood(hall):
    for _ in range(4 * CROWD):
        hall.call()
    collector = hall.call(b"telemetry site=east\r\n")
    hall.accepted(len(hall.callers))
    while "collector" not in hall.log.counts:
        hall.loop.turn()
    for sock in hall.callers[:-1]:
        sock.send(HB * MANY)
    hall.turn()
    sent = REPORT * 500
    collector.send(sent)
    due = []
    hall.loop.call_after(0, lambda: due.append(True))
    hall.turn()  # in one turn: half of a period's sums would look like a jump
    assert len(hall.heard) == sent.count(b"\n") and due
    hall.call(b"telemetry site=west\r\n" + REPORT)
    late = [hall.turn() for _ in range(3)]  # accepted, and read as soon as it has its turn
    assert sum(turn["collector"] for turn in late) == 1


def test_a_drain_passes_by_the_flood(platform):
    program = platform.serving()
    strangers = [platform.call() for _ in range(64)]
    eventually(lambda: program.counters().get("accepted") == len(strangers))
    sent = 0
    with stopped(program):
        for sock in strangers:
            sock.setblocking(False)
            sent += sock.send(HB * MANY) // len(HB)
        platform.change("b1", "DRAINING")
    eventually(lambda: platform.agrees() and not any("b1" in table for table in platform.tables.values()))
    assert program.counters()["heartbeats_answered"] < sent / 2
    for sock in strangers:
        sock.close()


def test_a_zone_named_first_buys_no_flood_of_heartbeats(hall):
    sock = hall.call(b"telemetry site=east\r\n")
    while "collector" not in hall.log.counts:
        hall.loop.turn()
    sock.send(HB * MANY)
    for _ in range(4):
        assert 0 < hall.turn()["heartbeats_answered"] <= 4096 // len(HB)
    assert hall.hub.collectors  # what it asked for in one read, it is owed


def test_connects_by_the_hundred_cost_a_turn_no_more_than_a_burst():
    hall = Hall(callers=64)
    for _ in range(64):
        hall.call()
    hall.accepted(64)
    for _ in range(200):
        hall.call(HB * 1000)
    for _ in range(3):
        added = hall.turn()
        assert added["accepted"] <= BURST and added["unidentified_connection_evicted"] <= BURST
        assert added["heartbeats_answered"] <= (CROWD + BURST) * READ
    hall.close()


def test_one_that_reads_no_answer_takes_nothing_from_the_collectors(hall):
    deaf = hall.call(buffer=4096)
    hall.accepted(1)
    (connection,) = hall.hub.unidentified
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    while connection.open:
        try:
            deaf.send(HB * 1000)
        except BlockingIOError:
            pass
        hall.loop.turn()
        assert len(connection.outgoing) <= 4096 and hall.hub.pool.available == 1 << 20
    assert hall.log.counts["accepted_unread_limit_exceeded"] == 1


def test_a_pause_of_the_machine_at_the_end_costs_nobody_the_answer(hall):
    """A pause while the collectors were read used up the time that was meant for all."""
    hall.call(b"telemetry site=east\r\n")
    hall.accepted(1)
    hall.callers[0].send(REPORT * 100)
    asking = [hall.call(HB) for _ in range(BURST)]
    hall.clock.tick = 60_000_000  # 60 ms at each look: longer than collectors get in all
    hall.hub.close()
    assert [sock.recv(100) for sock in asking] == [HB.replace(b"hb", b"hb_ok")] * len(asking)


def test_a_flood_does_not_hold_up_the_end(hall):
    for _ in range(4 * CROWD):
        hall.call()
    hall.accepted(4 * CROWD)
    for sock in hall.callers:
        sock.send(HB * MANY)
    hall.hub.close()
    assert 0 < hall.log.counts["heartbeats_answered"] <= 50 * READ
    assert not any(c.open for c in [*hall.hub.unidentified, *hall.hub.collectors])


@pytest.mark.parametrize("ends", [False, True])
def test_who_waits_while_no_descriptor_is_left_is_accepted_after_it(hall, ends):
    sock = hall.call(b"telemetry site=east\r\n" + HB + REPORT)
    hall.hub.listener.sock = Exhausted(hall.hub.listener.sock, 1)
    while not hall.log.counts["accept_failed"]:
        hall.loop.turn()
    if ends:
        hall.hub.close()  # in the pause
    while not hall.heard and not ends:
        hall.loop.turn()
    assert hall.log.counts["accept_failed"] == hall.log.counts["accepted"] == len(hall.heard) == 1
    assert sock.recv(100) == b"hb_ok\r\n"


def test_the_end_comes_while_no_descriptor_is_left(hall):
    hall.call(HB)
    hall.hub.listener.sock = Exhausted(hall.hub.listener.sock, 2)
    while not hall.log.counts["accept_failed"]:
        hall.loop.turn()
    hall.hub.close()
    assert hall.log.counts["accept_failed"] == 2 and hall.hub.listener.sock.fileno() < 0


def test_no_counter_is_made_of_what_is_said(hall):
    hall.call(b"telemetry site=east\r\n" + b"".join(b"kind%d a=1\r\n" % n + REPORT for n in range(40)))
    while len(hall.heard) < 40:
        hall.loop.turn()
    assert sorted(hall.log.counts) == ["accepted", "collector", "line_invalid", "lines_range_stats"]


def test_collectors_that_fill_all_places_leave_one_for_each_zone():
    hall = Hall(callers=4)
    for _ in range(4):
        hall.call(b"telemetry site=east\r\n")
    while hall.log.counts["collector"] < 4:
        hall.loop.turn()
    hall.call(b"telemetry site=west\r\n")
    while hall.log.counts["collector"] < 5 and not hall.log.counts["connection_limit_reached"]:
        hall.loop.turn()
    assert [c.reader.zone for c in hall.hub.collectors] == ["east", "east", "east", "west"]
    assert hall.log.counts["collector_evicted"] == 1
    hall.close()
