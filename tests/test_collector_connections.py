"""Connections of collectors and of unidentified clients to a running coordinator."""

import time

import pytest

from inbound_clients import read_until_closed
from stage import heartbeat
from waiting import eventually

VALID_REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def test_reports_reach_the_decision_module(platform):
    """All demand is for slices on b0, so the decision module moves one of them to a less loaded backend."""
    platform.serving()
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n")

        def send_reports():
            lines = [
                f"range_stats range={slice} lane=search count={80 if slice % 6 == 0 else 4} fail=0 over=100.0"
                for slice in range(12)
            ]
            lines += [
                f"upstream_stats site=east target=b{n} count=20 fail=0 mean=41.7 over=100.0 "
                "util=pending:1,svc_ms:41.5"
                for n in range(6)
            ]
            sock.sendall(("\r\n".join(lines) + "\r\n").encode())
            return "b0" not in platform.tables[0] or "b0" not in platform.tables[6]

        eventually(send_reports)
        sock.settimeout(0.05)
        with pytest.raises(TimeoutError):  # nothing is ever written to a collector
            sock.recv(1)


def test_invalid_lines_are_dropped_and_valid_lines_between_them_count(platform):
    program = platform.serving()
    invalid = [
        b"range_stats range=3 lane=search count=40 fail=1",
        b"range_stats range=x lane=search count=4",
        b"range_stats range=99999 lane=search count=2 fail=1 over=9",
        b"telemetry site=west",
        b"telemetry",
        b"range_stats range=3 lane=search count=-4 fail=1 over=nan",
        b"unheard_of a=1",
        b"put a=1",
        b"range_stats range=3 lane=nothing count=4 fail=1 over=9",
        b"attach id=1 site=east rps=1 new=1",
        b"upstream_stats site=east target=b1 count=2 fail=0 mean=inf over=1.0",
        b"upstream_stats site=east target=b99 count=2 fail=0 mean=4 over=1.0",
        b"upstream_stats site=west target=b1 count=2 fail=0 mean=4 over=1.0",
        b"upstream_stats site=east target=b1 count=2 fail=0 mean=4 over=1 util=pending:x,svc_ms:3",
    ]
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n")
        for line in invalid * 3:  # one at a time, as many in a row close the connection
            sock.sendall(line + b"\r\n" + VALID_REPORT)
        for i in range(len(VALID_REPORT)):
            sock.sendall(VALID_REPORT[i : i + 1])  # byte by byte
        sock.sendall(b"upstream_stats site=east target=b1 count=2 fail=0 mean=4 over=1 util=pending:2\r\n")
        eventually(lambda: program.counters().get("lines_upstream_stats") == 1)
        counters = program.counters()
        assert counters["lines_range_stats"] == 3 * len(invalid) + 1 and counters["line_invalid"] == 3 * len(
            invalid
        )
        platform.change("b5", "DELETED")  # a late report on a removed backend is valid
        eventually(lambda: any(event["text"].startswith("b5 gone") for event in program.said("decision")))
        sock.sendall(b"upstream_stats site=east target=b5 count=2 fail=2 mean=0.0 over=1\r\n")
        eventually(lambda: program.counters()["lines_upstream_stats"] == 2)
        sock.sendall(b"range_stats ran")
    eventually(lambda: program.counters().get("line_truncated") == 1)
    assert not program.said("connection_garbled") and heartbeat(platform)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe\x00 range=1\r\n",
        b"x" * ((1 << 20) + 9000),
        b"hb hb hb\r\n",
        (VALID_REPORT[:20] + b"\r\n") * 20,
        b"range_stats range=3 lane=",
    ],
)
def test_a_collector_that_sends_invalid_data_is_closed_and_can_reconnect(platform, data):
    program = platform.serving()
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n" + VALID_REPORT)
        eventually(lambda: program.counters().get("lines_range_stats"))
        try:
            sock.sendall(data)
        except ConnectionError:  # closed while the data is sent
            pass
        assert read_until_closed(sock, 5.0) == b""  # nothing is ever written to a collector
    with platform.call() as sock:
        sock.sendall(b"telemetry site=east\r\n" + VALID_REPORT)
        eventually(lambda: program.counters()["lines_range_stats"] == 2)


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01\x02\0\x01",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"attach id=9 site=east rps=1 new=1\r\n",
        VALID_REPORT,
        b"telemetry site=nowhere\r\n",
        b"put,4,b1,1.5\r\n",
        b"x" * 9000,
        b"",
        b"telemetry si",
        b"hb\r\n",
        b"*3\r\n$-1\r\n",
    ],
)
def test_unidentified_connections_are_rejected_or_closed(platform, data):
    program = platform.serving()
    events_before = program.counters()["events"]
    with platform.call() as sock:
        sock.sendall(data)
        received = read_until_closed(sock)
        assert received in (b"", b"reject\r\n", b"hb_ok\r\nreject\r\n")
        assert received.startswith(b"hb_ok") == (data == b"hb\r\n")
    with platform.call() as sock:  # repeated heartbeats do not extend the identification timeout
        deadline = time.monotonic() + 3
        with pytest.raises(OSError):
            while time.monotonic() < deadline:
                sock.sendall(b"hb\r\n")
                time.sleep(0.05)
    assert (
        not program.counters().get("lines_range_stats") and program.counters()["events"] < events_before + 99
    )
