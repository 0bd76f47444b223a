"""SIGTERM in every phase, and in one turn of the loop with everything else that may come."""

import fcntl
import json
import os
import signal
import struct
import termios
import threading
from types import SimpleNamespace

import pytest

from indigohitch.process import Process
from indigohitch.service import Phase, Service
from program import Program, stopped
from stage import Platform, drain, heartbeat, none_lost
from waiting import eventually

REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def told_in_order(sock):
    """All it hears up to an orderly end: a reset raises."""
    sock.settimeout(5)
    heard = b""
    while part := sock.recv(4096):
        heard += part
    return heard


def over(program):
    """Its exit code, once it has ended well before the platform's SIGKILL."""
    code = program.process.wait(10)
    program.reader.join(5)
    ending, ended = (program.said("phase", now=now)[0]["ms"] for now in ("ending", "ended"))
    assert ended - ending < 600 and not program.said("defect")
    return code


@pytest.mark.parametrize("relay", ["idle", "silent", "Throttling"])
def test_what_came_with_the_signal_is_answered_and_ended_in_order(platform, relay):
    program = platform.serving()
    callers = [platform.call() for _ in range(4)]
    asks, half, collector, wrong = callers
    collector.sendall(b"telemetry site=east\r\n")
    eventually(lambda: program.said("collector") and program.counters()["accepted"] == 4)
    if relay != "idle":
        platform.relay_faults += [relay] * 99
        platform.change("b1", "DRAINING")
        eventually(lambda: len(platform.relay_faults) < 99)
    with stopped(program, signal.SIGTERM, signal.SIGTERM):
        asks.sendall(b"hb\r\n")
        half.sendall(b"telemetry si")
        collector.sendall(REPORT * 2000 + REPORT[:20])
        wrong.sendall(b"put,4,b1,1.5\r\n" + b"x" * 20_000)
        queued = [platform.call() for _ in range(100)]
        for sock in queued:
            sock.sendall(b"hb\r\n")
    assert over(program) == 0
    assert [told_in_order(sock) for sock in callers] == [b"hb_ok\r\n", b"", b"", b"reject\r\n"]
    assert {told_in_order(sock) for sock in queued} == {b"hb_ok\r\n"}
    for sock in callers + queued:
        sock.close()


@pytest.mark.parametrize("said", [b"put,4,b1,1.5\r\n", b"hb\r\nput,4,b1,1.5\r\n", b"\xff\r\n"])
def test_a_stranger_who_goes_on_hears_why_it_is_ended(platform, said):
    program = platform.serving()
    with platform.call() as sock:
        eventually(lambda: program.counters().get("accepted"))
        with stopped(program):
            sock.sendall(said + b"x" * 50_000)
        assert told_in_order(sock) == b"hb_ok\r\n" * said.startswith(b"hb") + b"reject\r\n"


class Gated(Platform):
    """A relay that does nothing until it may; a discovery whose answers are counted."""

    def __init__(self, path):
        self.gate, self.told = threading.Event(), 0
        self.gate.set()
        super().__init__(path)

    def _relay(self, sock, method, target, body):
        if method == "POST":
            self.gate.wait(10)
        return super()._relay(sock, method, target, body)

    def _discovery(self, sock, method, target, body):
        said = super()._discovery(sock, method, target, body)
        self.told = self.version
        return said


@pytest.fixture
def gated(tmp_path):
    found = Gated(tmp_path)
    yield found
    found.gate.set()
    found.close()


def left(platform, *backends):
    return not any(b in table for table in platform.tables.values() for b in backends)


@pytest.mark.parametrize("lines", [None, "wait drain 400ms\n"])
def test_a_drain_told_right_before_the_signal_is_ordered(gated, lines):
    """It waited among what is gathered, and went with the process; `lines`: of an operator's file."""
    operator = gated.path / "operator.conf"
    operator.write_text(lines or "")
    program = gated.serving(["run", "--operator", str(operator)] if lines else ())
    drain(gated, "b0")  # it has a module that knows its slices, and watches
    with stopped(program, signal.SIGTERM):
        gated.change("b1", "DRAINING")
        eventually(lambda: gated.told == gated.version)
    assert over(program) == 0 and left(gated, "b1") and none_lost(gated)


def test_calls_behind_one_that_is_out_go_before_the_end(gated):
    program = gated.serving()
    eventually(lambda: program.counters().get("orders") == program.counters().get("orders_applied"))
    gated.gate.clear()
    for backend in ("b1", "b2", "b3"):
        ordered = program.counters()["orders"]
        gated.change(backend, "DRAINING")
        eventually(lambda ordered=ordered: program.counters()["orders"] > ordered)
    with stopped(program, signal.SIGTERM):
        gated.gate.set()
    assert over(program) == 0 and left(gated, "b1", "b2", "b3") and none_lost(gated)


def test_told_to_end_while_it_reads_its_configuration(platform):
    platform.serving().end()
    found = json.dumps(platform.found)
    fifo = platform.path / "fifo"
    os.mkfifo(fifo)
    program = platform.program = Program(
        platform.path,
        found,
        BALANCER_CONFIG=str(fifo),
        BALANCER_LISTEN=platform.listen,
        BALANCER_DISCOVERY=platform.discovery.address,
    )
    with open(fifo, "w") as config:  # opens once the program does
        (platform.path / "config.json").rename(fifo)  # for SIGHUP, if it is heard first
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            program.process.send_signal(number)
        config.write(found)
    assert over(program) == 0
    assert [e["now"] for e in program.said("phase")] == ["listening", "ending", "ended"]


def test_a_log_that_nobody_reads_delays_no_end(platform, monkeypatch):
    read, read_on = Program._read, threading.Event()
    monkeypatch.setattr(Program, "_read", lambda program: read_on.wait(30) and read(program))
    program = platform.start()
    fcntl.fcntl(program.process.stdout, fcntl.F_SETPIPE_SZ, 4096)
    eventually(lambda: tried(platform))

    def waits():
        return struct.unpack("i", fcntl.ioctl(program.process.stdout, termios.FIONREAD, b"1234"))[0]

    def full():
        before = waits()
        program.process.send_signal(signal.SIGUSR1)
        return heartbeat(platform) and before == waits() > 2000

    try:
        eventually(full)
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(10) == 0
    finally:
        read_on.set()


def tried(platform):
    try:
        return heartbeat(platform)
    except ConnectionRefusedError:
        return False


@pytest.fixture
def unsignalled(monkeypatch):
    """A process within this one hears no signals."""
    for name in ("signal", "set_wakeup_fd"):
        monkeypatch.setattr(signal, name, lambda *_, **__: None)


def test_signals_of_one_turn_are_heard_once_each_and_a_reload_before_the_end(unsignalled):
    class Hearing(Process):
        heard = []

        def on_signal(self, number):
            self.heard.append(number)

    process = Hearing(Phase.STARTING, "n0")
    process._signal_writer.send(bytes([signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]))
    process.loop.turn()
    assert process.heard == [signal.SIGHUP, signal.SIGTERM]
    process.loop.close()


def test_a_defect_in_closing_does_not_keep_the_process(unsignalled):
    service = Service({})
    service.front = SimpleNamespace(close=lambda: 1 / 0)
    service.phase = Phase.ENDING
    service.end()
    assert service.phase is Phase.ENDED and service.log.counts["defect"] == 1
    service.loop.close()
