"""Floods of unidentified connections: the cost of one turn of the loop, and the service that others get."""

import socket

import pytest

from inbound_harness import ExhaustedListener, InboundHarness
from indigohitch.net.connection import Connection
from program import stopped
from waiting import eventually

REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"
HEARTBEAT = b"hb\r\n"
FLOOD_HEARTBEATS = 20_000
# Bounds on one turn of the loop.
UNIDENTIFIED_PER_TURN = 32
HEARTBEATS_PER_READ = 256 // len(HEARTBEAT)
ACCEPTS_PER_TURN = 64


@pytest.fixture
def harness():
    found = InboundHarness()
    yield found
    found.close()


def test_flooding_unidentified_connections_share_a_bounded_part_of_each_turn(harness, monkeypatch):
    """Without the bound, 64 flooding connections held up one turn for 20 s, with a write for each answer."""
    writes = []
    write = Connection.write
    monkeypatch.setattr(
        Connection, "write", lambda connection, data: writes.append(connection) or write(connection, data)
    )
    count = 4 * UNIDENTIFIED_PER_TURN
    for _ in range(count):
        harness.connect()
    harness.run_until_accepted(count)
    for sock in harness.clients:
        sock.send(HEARTBEAT * FLOOD_HEARTBEATS)
    for turn in range(1, 9):
        assert (
            harness.turn()["heartbeats_answered"] <= UNIDENTIFIED_PER_TURN * HEARTBEATS_PER_READ
            and len(writes) <= turn * UNIDENTIFIED_PER_TURN
        )
        if turn == 4:
            assert len(set(writes)) == count  # each was answered once before any was answered twice
    assert harness.log.counts["heartbeats_answered"] == 8 * UNIDENTIFIED_PER_TURN * HEARTBEATS_PER_READ


def test_a_flood_delays_neither_a_collector_nor_a_timer(harness):
    for _ in range(4 * UNIDENTIFIED_PER_TURN):
        harness.connect()
    collector = harness.connect(b"telemetry site=east\r\n")
    harness.run_until_accepted(len(harness.clients))
    while "collector" not in harness.log.counts:
        harness.loop.turn()
    for sock in harness.clients[:-1]:
        sock.send(HEARTBEAT * FLOOD_HEARTBEATS)
    harness.turn()
    sent = REPORT * 500
    collector.send(sent)
    due = []
    harness.loop.call_after(0, lambda: due.append(True))
    harness.turn()  # one turn must read all: half of a period's totals would look like a jump in demand
    assert len(harness.events) == sent.count(b"\n") and due
    harness.connect(b"telemetry site=west\r\n" + REPORT)
    turns = [harness.turn() for _ in range(3)]  # accepted, then read in its turn
    assert sum(turn["collector"] for turn in turns) == 1


def test_a_flood_does_not_delay_a_drain(platform):
    program = platform.serving()
    clients = [platform.call() for _ in range(64)]
    eventually(lambda: program.counters().get("accepted") == len(clients))
    heartbeats_sent = 0
    with stopped(program):
        for sock in clients:
            sock.setblocking(False)
            heartbeats_sent += sock.send(HEARTBEAT * FLOOD_HEARTBEATS) // len(HEARTBEAT)
        platform.change("b1", "DRAINING")
    eventually(lambda: platform.agrees() and not any("b1" in table for table in platform.tables.values()))
    assert program.counters()["heartbeats_answered"] < heartbeats_sent / 2
    for sock in clients:
        sock.close()


def test_heartbeats_of_a_collector_are_bounded_in_each_turn(harness):
    sock = harness.connect(b"telemetry site=east\r\n")
    while "collector" not in harness.log.counts:
        harness.loop.turn()
    sock.send(HEARTBEAT * FLOOD_HEARTBEATS)
    for _ in range(4):
        assert 0 < harness.turn()["heartbeats_answered"] <= 4096 // len(HEARTBEAT)
    assert harness.inbound.collectors  # the answers of one read fit its queue, so it stays connected


def test_hundreds_of_connects_cost_a_turn_at_most_one_burst_of_accepts():
    harness = InboundHarness(max_connections=64)
    for _ in range(64):
        harness.connect()
    harness.run_until_accepted(64)
    for _ in range(200):
        harness.connect(HEARTBEAT * 1000)
    for _ in range(3):
        added = harness.turn()
        assert (
            added["accepted"] <= ACCEPTS_PER_TURN
            and added["unidentified_connection_evicted"] <= ACCEPTS_PER_TURN
        )
        assert (
            added["heartbeats_answered"] <= (UNIDENTIFIED_PER_TURN + ACCEPTS_PER_TURN) * HEARTBEATS_PER_READ
        )
    harness.close()


def test_a_client_that_reads_no_answers_uses_no_memory_of_the_collectors(harness):
    client = harness.connect(receive_buffer=4096)
    harness.run_until_accepted(1)
    (connection,) = harness.inbound.unidentified
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    while connection.open:
        try:
            client.send(HEARTBEAT * 1000)
        except BlockingIOError:
            pass
        harness.loop.turn()
        assert len(connection.outgoing) <= 4096 and harness.inbound.pool.available == 1 << 20
    assert harness.log.counts["accepted_unread_limit_exceeded"] == 1


def test_a_pause_of_the_machine_at_shutdown_costs_no_client_its_answer(harness):
    """Guards against a pause while collectors are read, which used up the read time of all connections."""
    harness.connect(b"telemetry site=east\r\n")
    harness.run_until_accepted(1)
    harness.clients[0].send(REPORT * 100)
    clients = [harness.connect(HEARTBEAT) for _ in range(ACCEPTS_PER_TURN)]
    harness.clock.tick = 60_000_000  # ns per reading of the clock: 60 ms, longer than FINAL_READ_DURATION
    harness.inbound.close()
    assert [sock.recv(100) for sock in clients] == [HEARTBEAT.replace(b"hb", b"hb_ok")] * len(clients)


def test_a_flood_does_not_delay_the_shutdown(harness):
    for _ in range(4 * UNIDENTIFIED_PER_TURN):
        harness.connect()
    harness.run_until_accepted(4 * UNIDENTIFIED_PER_TURN)
    for sock in harness.clients:
        sock.send(HEARTBEAT * FLOOD_HEARTBEATS)
    harness.inbound.close()
    assert 0 < harness.log.counts["heartbeats_answered"] <= 50 * HEARTBEATS_PER_READ
    assert not any(c.open for c in [*harness.inbound.unidentified, *harness.inbound.collectors])


@pytest.mark.parametrize("closing", [False, True])
def test_a_connection_that_waits_for_a_descriptor_is_accepted_later(harness, closing):
    sock = harness.connect(b"telemetry site=east\r\n" + HEARTBEAT + REPORT)
    harness.inbound.listener.sock = ExhaustedListener(harness.inbound.listener.sock, 1)
    while not harness.log.counts["accept_failed"]:
        harness.loop.turn()
    if closing:
        harness.inbound.close()  # while accepting is paused
    while not harness.events and not closing:
        harness.loop.turn()
    assert harness.log.counts["accept_failed"] == harness.log.counts["accepted"] == len(harness.events) == 1
    assert sock.recv(100) == b"hb_ok\r\n"


def test_shutdown_completes_while_no_descriptor_is_left(harness):
    harness.connect(HEARTBEAT)
    harness.inbound.listener.sock = ExhaustedListener(harness.inbound.listener.sock, 2)
    while not harness.log.counts["accept_failed"]:
        harness.loop.turn()
    harness.inbound.close()
    assert harness.log.counts["accept_failed"] == 2 and harness.inbound.listener.sock.fileno() < 0


def test_received_message_kinds_create_no_counters(harness):
    harness.connect(b"telemetry site=east\r\n" + b"".join(b"kind%d a=1\r\n" % n + REPORT for n in range(40)))
    while len(harness.events) < 40:
        harness.loop.turn()
    assert sorted(harness.log.counts) == ["accepted", "collector", "line_invalid", "lines_range_stats"]


def test_collectors_that_fill_the_table_leave_a_connection_to_each_zone():
    harness = InboundHarness(max_connections=4)
    for _ in range(4):
        harness.connect(b"telemetry site=east\r\n")
    while harness.log.counts["collector"] < 4:
        harness.loop.turn()
    harness.connect(b"telemetry site=west\r\n")
    while harness.log.counts["collector"] < 5 and not harness.log.counts["connection_limit_reached"]:
        harness.loop.turn()
    assert [c.reader.zone for c in harness.inbound.collectors] == ["east", "east", "east", "west"]
    assert harness.log.counts["collector_evicted"] == 1
    harness.close()
