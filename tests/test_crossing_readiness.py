"""The start against all that can cross it: peers that are away or withhold, signals, callers who wait
already, the process before this one."""

import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from indigohitch.logic import Coordinator
from indigohitch.platform_protocol.front import Front
from indigohitch.service import Service
from program import Program
from stage import SETTINGS, drain, heartbeat
from waiting import eventually, free_address
from withholding import KINDS, Away


def written(platform):
    """The configuration, for a program that is started in a way of its own."""
    platform.listen = free_address()
    platform.found = {
        "name": "n0",
        "listen": platform.listen,
        "discovery": platform.discovery.address,
        "seed": "8c1f30d2",
        "known": platform.known,
        "settings": SETTINGS,
        "limits": platform.limits,
        "store": {"address": platform.relay.address},
    }
    file = platform.path / "config.json"
    file.write_text(json.dumps(platform.found))
    return file


@pytest.mark.parametrize(
    "store,discovery", [*((k, k) for k in KINDS), *((k, None) for k in KINDS), *((None, k) for k in KINDS)]
)
def test_ready_whatever_relay_and_discovery_withhold(platform, store, discovery):
    """And once they are there, at the addresses of a new configuration, it serves."""
    stand_ins = [how() for how in (store, discovery) if how]
    relay = stand_ins[0].address if store else platform.relay.address
    program = platform.start(
        store={"address": relay}, discovery=stand_ins[-1].address if discovery else platform.discovery.address
    )
    eventually(lambda: program.said("phase", now="listening"))
    assert heartbeat(platform)
    if store:
        assert not program.said("phase", now="serving")
    platform.reload(store={"address": platform.relay.address}, discovery=platform.discovery.address)
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
    assert not program.said("defect") and program.end() == 0
    for peer in stand_ins:
        peer.close()


def test_who_waits_when_the_loop_begins_is_answered_before_the_module_is_told(platform, monkeypatch):
    """However large the list, and however long its reading took: the module's first turn is due already."""
    began, handed = Front.start, Coordinator.handle
    answered, callers = [], []
    before = {number: signal.getsignal(number) for number in Service.SIGNALS}
    config = written(platform)

    def start(front):
        for _ in range(3):
            callers.append(platform.call())
            callers[-1].sendall(b"hb\r\n")
            callers[-1].settimeout(0)
        while front.loop.clock.now() < front.loop._due[0][0]:
            pass
        began(front)

    def handle(module, now, events):
        for caller in callers:
            try:
                answered.append(caller.recv(100))
            except BlockingIOError:
                answered.append(b"")
        callers.clear()
        os.kill(os.getpid(), signal.SIGTERM)
        return handed(module, now, events)

    monkeypatch.setattr(Front, "start", start)
    monkeypatch.setattr(Coordinator, "handle", handle)
    try:
        assert Service({"BALANCER_CONFIG": str(config)}).run() == 0
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in before.items():
            signal.signal(number, handler)
    assert answered == [b"hb_ok\r\n"] * 3


def test_a_log_that_nobody_reads_does_not_hold_up_the_start(platform):
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    try:
        while True:
            os.write(writing, bytes(4096))
    except BlockingIOError:
        pass
    os.set_blocking(writing, True)
    environ = os.environ | {"BALANCER_CONFIG": str(written(platform))}
    with subprocess.Popen([sys.executable, "-m", "indigohitch"], stdout=writing, env=environ) as process:
        eventually(lambda: answers(platform))
        process.terminate()
        assert process.wait(10) == 0
    os.close(reading)
    os.close(writing)


def answers(platform):
    try:
        return heartbeat(platform)
    except ConnectionRefusedError:
        return False


def writer(pipe):
    """The end to write to, once somebody reads."""
    try:
        return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        return None


def test_told_to_end_while_it_reads_its_configuration(platform):
    """The file is a pipe here, that says nothing until the signal has come."""
    pipe = platform.path / "pipe"
    os.mkfifo(pipe)
    config = written(platform).read_text()
    platform.program = program = Program(platform.path, config, BALANCER_CONFIG=str(pipe))

    writing = eventually(lambda: writer(pipe))
    program.process.send_signal(signal.SIGTERM)
    os.set_blocking(writing, True)
    os.write(writing, program.file.read_bytes())
    os.close(writing)
    assert program.process.wait(10) == 0
    program.reader.join(5)
    assert [e["now"] for e in program.said("phase")] == ["listening", "ending", "ended"]


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_before_they_can_be_heard_do_not_end_it(platform, number):
    """A library that it imports first stands still here until the signal has come."""
    (platform.path / "orjson.py").write_text(f"""
import sys
open({str(platform.path / "importing")!r}, "w").close()
open({str(platform.path / "go_on")!r}).close()
sys.path.remove({str(platform.path)!r})
del sys.modules["orjson"]
import orjson
""")
    os.mkfifo(platform.path / "go_on")
    platform.program = program = Program(
        platform.path, written(platform).read_text(), PYTHONPATH=str(platform.path)
    )
    eventually((platform.path / "importing").exists)
    program.process.send_signal(number)
    eventually(lambda: writer(platform.path / "go_on") or program.process.poll() is not None)
    eventually(lambda: program.said("phase", now="serving") or program.process.poll() is not None)
    assert program.process.poll() is None and program.end() == 0


def again(platform):
    """The program once more, under the same address."""
    program = platform.start(listen=platform.found["listen"])
    platform.listen = platform.found["listen"]
    return program


def test_the_process_before_still_holds_the_address(platform):
    before = platform.serving()
    before.process.send_signal(signal.SIGSTOP)  # it listens, and will not end in time
    try:
        after = again(platform)
        eventually(lambda: after.said("address_in_use"))
    finally:
        before.process.kill()
        before.process.wait()
    eventually(lambda: after.said("phase", now="serving"))
    assert heartbeat(platform) and after.end() == 0


def test_a_newer_configuration_while_the_address_is_held(platform):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        away = {"store": {"address": Away().address}, "discovery": Away().address}
        program = platform.start(listen=f"127.0.0.1:{taken.getsockname()[1]}", **away)
        eventually(lambda: program.said("address_in_use"))
        platform.reload(store={"address": platform.relay.address}, discovery=platform.discovery.address)
        program.process.send_signal(signal.SIGUSR1)  # heard after the other: its line shows that both were
        eventually(lambda: program.said("counters"))
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
    assert not program.said("reloaded") and program.end() == 0


def test_told_to_end_while_the_address_is_held(platform):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        program = platform.start(listen=f"127.0.0.1:{taken.getsockname()[1]}")
        eventually(lambda: program.said("address_in_use"))
        program.process.terminate()
        assert program.process.wait(10) == 0
        program.reader.join(5)
        assert [e["now"] for e in program.said("phase")] == ["ended"] and not program.said("cannot_start")


def test_a_restart_while_old_connections_linger(platform):
    """Those that the old process closed first linger in the kernel, under the same address."""
    before = platform.serving()
    with platform.call() as caller:
        caller.sendall(b"hb\r\n")
        assert caller.makefile("rb").readline() == b"hb_ok\r\n"
        assert before.end() == 0 and caller.recv(1) == b""
    after = again(platform)
    eventually(lambda: after.said("phase", now="serving"))
    assert heartbeat(platform) and not after.said("address_in_use") and after.end() == 0
