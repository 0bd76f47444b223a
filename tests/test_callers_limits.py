"""Connections to the coordinator at the limits of memory and descriptors."""

import resource
import threading
import time

import pytest

from callers import ended, joins
from indigohitch.platform_protocol.resource_limits import ResourceLimits
from stage import Platform, drain, heartbeat, none_lost
from waiting import eventually

GOOD = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def test_strangers_fill_the_connections(tmp_path):
    platform = Platform(tmp_path, sockets=256)
    program = platform.serving()
    strangers, joined, filling = [], [], True

    def fill():
        while filling:  # silent, or with half a message
            time.sleep(0.001)  # a thousand a second fill 128 at once
            strangers.append(platform.call())
            strangers[-1].sendall(b"range_st" * (len(strangers) % 2))

    try:
        with platform.call() as collector:
            collector.sendall(b"telemetry site=east\r\n")
            eventually(lambda: program.said("collector"))
            threading.Thread(target=fill, daemon=True).start()
            eventually(lambda: program.counters().get("unidentified_connection_evicted", 0) > 50)
            drain(platform, "b1")  # before a sum makes slice 3 hot: it would be split
            collector.sendall(GOOD)
            eventually(lambda: program.counters().get("lines_range_stats") == 1)
            for n in range(6):  # all get in; of a zone the oldest go
                joined.append(joins(platform, lambda n=n: program.counters()["lines_range_stats"] == n + 2))
            assert program.counters()["collector_replaced"] == 3
            assert heartbeat(platform) and not program.said("accept_failed")
            filling = False
            for sock in strangers[-5:]:
                assert ended(sock) in (b"", b"reject\r\n")
    finally:
        filling = False
        for sock in strangers + joined:
            sock.close()
        platform.close()


def test_callers_that_fill_the_memory_starve_no_call(tmp_path):
    platform, callers = Platform(tmp_path, backends=4, slices=800, memory=32), []
    program = platform.serving()
    try:
        for n in range(40):  # each the longest message there is, and no end of it
            callers.append(platform.call())
            try:
                callers[-1].sendall((b"telemetry site=east\r\n" if n % 4 else b"") + b"y" * (1 << 20))
            except ConnectionError:
                pass
        eventually(lambda: program.counters().get("line_too_long", 0) >= 10)
        drain(platform, "b1")  # in a call longer than a ring is at first
        assert max(len(";".join(call)) for call in platform.calls) > 4096 and none_lost(platform)
        with open(f"/proc/{program.process.pid}/status") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))
        assert peak < 32 << 10  # kB: all that is allowed
    finally:
        for sock in callers:
            sock.close()
        platform.close()


@pytest.mark.parametrize("sockets,callers,probes", [(32, 5, 2), (64, 26, 13), (96, 48, 24), (1024, 512, 256)])
def test_descriptors_are_dealt_out_within_what_there_are(sockets, callers, probes):
    found = ResourceLimits.from_config({"sockets": sockets, "memory_mb": 192})
    assert (found.inbound_connections, found.probes) == (callers, probes) and callers + probes + 24 <= sockets


def test_strangers_and_probes_leave_the_last_descriptors_to_our_own_calls(tmp_path):
    platform = Platform(tmp_path, backends=16, sockets=32)
    program = platform.serving()
    resource.prlimit(program.process.pid, resource.RLIMIT_NOFILE, (32, 32))
    strangers = [platform.call() for _ in range(40)]
    eventually(lambda: program.counters().get("accepted") == 40)
    probed = [f"b{n}" for n in range(4, 16)]
    platform.behaviour |= dict.fromkeys(probed, "silent")
    for backend in probed:
        platform.change(backend, "SERVING", started=int(time.time() * 1000))
    eventually(lambda: {b for b, _ in platform.probed} >= set(probed))
    platform.change("b1", "DRAINING")  # slices are split by then: more lines than `drain` waits for
    eventually(lambda: not any("b1" in table for table in platform.tables.values()))
    counters = program.counters()
    assert not {"accept_failed", "probes_connect_failed", "discovery_failed"} & counters.keys(), counters
    for sock in strangers:
        sock.close()
    platform.close()
