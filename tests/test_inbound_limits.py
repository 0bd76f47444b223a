"""Connections to the coordinator at the limits of memory and descriptors."""

import resource
import threading
import time

import pytest

from inbound_clients import join_as_collector, read_until_closed
from indigohitch.platform_protocol.resource_limits import ResourceLimits
from stage import Platform, drain, heartbeat, none_lost
from waiting import eventually

VALID_REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def test_collectors_join_while_unidentified_connections_fill_the_table(tmp_path):
    platform = Platform(tmp_path, sockets=256)
    program = platform.serving()
    unidentified = []
    collectors = []
    filling = True

    def fill():
        while filling:  # connections that send nothing or half a message
            time.sleep(0.001)  # a thousand a second fill the table of 128 quickly
            unidentified.append(platform.call())
            unidentified[-1].sendall(b"range_st" * (len(unidentified) % 2))

    try:
        with platform.call() as collector:
            collector.sendall(b"telemetry site=east\r\n")
            eventually(lambda: program.said("collector"))
            threading.Thread(target=fill, daemon=True).start()
            eventually(lambda: program.counters().get("unidentified_connection_evicted", 0) > 50)
            drain(platform, "b1")  # before a report makes slice 3 hot, which would split it
            collector.sendall(VALID_REPORT)
            eventually(lambda: program.counters().get("lines_range_stats") == 1)
            for n in range(6):  # all join, and the oldest of the zone are dropped
                collectors.append(
                    join_as_collector(platform, lambda n=n: program.counters()["lines_range_stats"] == n + 2)
                )
            assert program.counters()["collector_replaced"] == 3
            assert heartbeat(platform) and not program.said("accept_failed")
            filling = False
            for sock in unidentified[-5:]:
                assert read_until_closed(sock) in (b"", b"reject\r\n")
    finally:
        filling = False
        for sock in unidentified + collectors:
            sock.close()
        platform.close()


def test_connections_that_fill_the_memory_do_not_starve_relay_calls(tmp_path):
    platform = Platform(tmp_path, backends=4, slices=800, memory=32)
    clients = []
    program = platform.serving()
    try:
        for n in range(40):  # each sends a message of the maximum length without its end
            clients.append(platform.call())
            try:
                clients[-1].sendall((b"telemetry site=east\r\n" if n % 4 else b"") + b"y" * (1 << 20))
            except ConnectionError:
                pass
        eventually(lambda: program.counters().get("line_too_long", 0) >= 10)
        drain(platform, "b1")  # in a call longer than the initial size of a ring buffer
        assert max(len(";".join(call)) for call in platform.calls) > 4096 and none_lost(platform)
        with open(f"/proc/{program.process.pid}/status") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
        assert peak < 32 << 10  # kB, the configured limit
    finally:
        for sock in clients:
            sock.close()
        platform.close()


@pytest.mark.parametrize("sockets,inbound,probes", [(32, 5, 2), (64, 26, 13), (96, 48, 24), (1024, 512, 256)])
def test_connection_limits_fit_the_descriptor_limit(sockets, inbound, probes):
    limits = ResourceLimits.from_config({"sockets": sockets, "memory_mb": 192})
    assert (limits.inbound_connections, limits.probes) == (
        inbound,
        probes,
    ) and inbound + probes + 24 <= sockets


def test_inbound_connections_and_probes_leave_descriptors_for_outbound_calls(tmp_path):
    platform = Platform(tmp_path, backends=16, sockets=32)
    program = platform.serving()
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (32, 32))
    unidentified = [platform.call() for _ in range(40)]
    eventually(lambda: program.counters().get("accepted") == 40)
    probed = [f"b{n}" for n in range(4, 16)]
    platform.behaviour |= dict.fromkeys(probed, "silent")
    for backend in probed:
        platform.change(backend, "SERVING", started=int(time.time() * 1000))
    eventually(lambda: {backend for backend, _ in platform.probed} >= set(probed))
    platform.change("b1", "DRAINING")  # slices are split by then: more lines per table than `drain` accepts
    eventually(lambda: not any("b1" in table for table in platform.tables.values()))
    counters = program.counters()
    assert not {"accept_failed", "probes_connect_failed", "discovery_failed"} & counters.keys(), counters
    for sock in unidentified:
        sock.close()
    platform.close()
