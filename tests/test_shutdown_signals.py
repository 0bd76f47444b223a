"""SIGTERM in every phase, and in the same turn of the event loop as other events."""

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


def receive_until_close(sock):
    """Returns all data up to an orderly close; a reset raises."""
    sock.settimeout(5)
    received = b""
    while part := sock.recv(4096):
        received += part
    return received


def exit_code(program):
    """Waits for the exit, checks that it came well before the platform's SIGKILL, returns the exit code."""
    code = program.process.wait(10)
    program.reader.join(5)
    ending, ended = (program.said("phase", now=phase)[0]["ms"] for phase in ("ending", "ended"))
    assert ended - ending < 600 and not program.said("defect")
    return code


@pytest.mark.parametrize("relay", ["idle", "silent", "Throttling"])
def test_input_that_arrives_with_sigterm_is_answered_before_an_orderly_close(platform, relay):
    program = platform.serving()
    callers = [platform.call() for _ in range(4)]
    heartbeat_caller, partial_caller, collector, invalid_caller = callers
    collector.sendall(b"telemetry site=east\r\n")
    eventually(lambda: program.said("collector") and program.counters()["accepted"] == 4)
    if relay != "idle":
        platform.relay_faults += [relay] * 99
        platform.change("b1", "DRAINING")
        eventually(lambda: len(platform.relay_faults) < 99)
    with stopped(program, signal.SIGTERM, signal.SIGTERM):
        heartbeat_caller.sendall(b"hb\r\n")
        partial_caller.sendall(b"telemetry si")
        collector.sendall(REPORT * 2000 + REPORT[:20])
        invalid_caller.sendall(b"put,4,b1,1.5\r\n" + b"x" * 20_000)
        queued = [platform.call() for _ in range(100)]
        for sock in queued:
            sock.sendall(b"hb\r\n")
    assert exit_code(program) == 0
    assert [receive_until_close(sock) for sock in callers] == [b"hb_ok\r\n", b"", b"", b"reject\r\n"]
    assert {receive_until_close(sock) for sock in queued} == {b"hb_ok\r\n"}
    for sock in callers + queued:
        sock.close()


@pytest.mark.parametrize("sent", [b"put,4,b1,1.5\r\n", b"hb\r\nput,4,b1,1.5\r\n", b"\xff\r\n"])
def test_a_client_that_sends_on_after_an_invalid_line_receives_the_reject(platform, sent):
    program = platform.serving()
    with platform.call() as sock:
        eventually(lambda: program.counters().get("accepted"))
        with stopped(program):
            sock.sendall(sent + b"x" * 50_000)
        assert receive_until_close(sock) == b"hb_ok\r\n" * sent.startswith(b"hb") + b"reject\r\n"


class GatedPlatform(Platform):
    """A relay that answers calls only while its gate is open; discovery records the last version it sent."""

    def __init__(self, path):
        self.gate = threading.Event()
        self.sent_version = 0
        self.gate.set()
        super().__init__(path)

    def _relay(self, sock, method, target, body):
        if method == "POST":
            self.gate.wait(10)
        return super()._relay(sock, method, target, body)

    def _discovery(self, sock, method, target, body):
        result = super()._discovery(sock, method, target, body)
        self.sent_version = self.version
        return result


@pytest.fixture
def gated(tmp_path):
    gated_platform = GatedPlatform(tmp_path)
    yield gated_platform
    gated_platform.gate.set()
    gated_platform.close()


def are_drained(platform, *backends):
    return not any(backend in table for table in platform.tables.values() for backend in backends)


@pytest.mark.parametrize("lines", [None, "wait drain 400ms\n"])
def test_a_drain_received_right_before_sigterm_is_executed(gated, lines):
    """The drain was lost with the process while it waited in the event batch.

    `lines` are those of an operator's file; without one the program runs as the platform starts it.
    """
    operator = gated.path / "operator.conf"
    operator.write_text(lines or "")
    program = gated.serving(["run", "--operator", str(operator)] if lines else ())
    drain(gated, "b0")  # so that the module knows its slices and discovery is watched
    with stopped(program, signal.SIGTERM):
        gated.change("b1", "DRAINING")
        eventually(lambda: gated.sent_version == gated.version)
    assert exit_code(program) == 0 and are_drained(gated, "b1") and none_lost(gated)


def test_calls_queued_behind_a_pending_one_are_sent_before_the_exit(gated):
    program = gated.serving()
    eventually(lambda: program.counters().get("orders") == program.counters().get("orders_applied"))
    gated.gate.clear()
    for backend in ("b1", "b2", "b3"):
        ordered = program.counters()["orders"]
        gated.change(backend, "DRAINING")
        eventually(lambda ordered=ordered: program.counters()["orders"] > ordered)
    with stopped(program, signal.SIGTERM):
        gated.gate.set()
    assert exit_code(program) == 0 and are_drained(gated, "b1", "b2", "b3") and none_lost(gated)


def test_sigterm_while_the_configuration_is_read_ends_the_process(platform):
    platform.serving().end()
    configuration = json.dumps(platform.found)
    fifo = platform.path / "fifo"
    os.mkfifo(fifo)
    program = platform.program = Program(
        platform.path,
        configuration,
        BALANCER_CONFIG=str(fifo),
        BALANCER_LISTEN=platform.listen,
        BALANCER_DISCOVERY=platform.discovery.address,
    )
    with open(fifo, "w") as config:  # blocks until the program opens it
        (platform.path / "config.json").rename(fifo)  # the file to read if SIGHUP is handled first
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            program.process.send_signal(number)
        config.write(configuration)
    assert exit_code(program) == 0
    assert [event["now"] for event in program.said("phase")] == ["listening", "ending", "ended"]


def test_an_unread_log_does_not_delay_the_exit(platform, monkeypatch):
    read, read_on = Program._read, threading.Event()
    monkeypatch.setattr(Program, "_read", lambda program: read_on.wait(30) and read(program))
    program = platform.start()
    fcntl.fcntl(program.process.stdout, fcntl.F_SETPIPE_SZ, 4096)
    eventually(lambda: is_answering(platform))

    def unread_bytes():
        return struct.unpack("i", fcntl.ioctl(program.process.stdout, termios.FIONREAD, b"1234"))[0]

    def is_full():
        before = unread_bytes()
        program.process.send_signal(signal.SIGUSR1)
        return heartbeat(platform) and before == unread_bytes() > 2000

    try:
        eventually(is_full)
        program.process.send_signal(signal.SIGTERM)
        assert program.process.wait(10) == 0
    finally:
        read_on.set()


def is_answering(platform):
    try:
        return heartbeat(platform)
    except ConnectionRefusedError:
        return False


@pytest.fixture
def without_signal_handlers(monkeypatch):
    """Lets a Process be created in the test's process without installing signal handlers."""
    for name in ("signal", "set_wakeup_fd"):
        monkeypatch.setattr(signal, name, lambda *_, **__: None)


def test_signals_of_one_turn_are_handled_once_each_and_sighup_first(without_signal_handlers):
    class RecordingProcess(Process):
        handled = []

        def on_signal(self, number):
            self.handled.append(number)

    process = RecordingProcess(Phase.STARTING, "n0")
    process._signal_writer.send(bytes([signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]))
    process.loop.turn()
    assert process.handled == [signal.SIGHUP, signal.SIGTERM]
    process.loop.close()


def test_an_exception_while_closing_does_not_prevent_the_exit(without_signal_handlers):
    service = Service({})
    service.front = SimpleNamespace(close=lambda: 1 / 0)
    service.phase = Phase.ENDING
    service.end()
    assert service.phase is Phase.ENDED and service.log.counts["defect"] == 1
    service.loop.close()
