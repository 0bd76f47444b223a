"""Startup while peers are unavailable, signals arrive, clients wait already or the address is in use."""

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


def write_configuration(platform):
    """Write a configuration file for a program that a test starts itself; return its path."""
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
    "store,discovery",
    [
        *((kind, kind) for kind in KINDS),
        *((kind, None) for kind in KINDS),
        *((None, kind) for kind in KINDS),
    ],
)
def test_coordinator_is_ready_while_relay_and_discovery_are_unavailable(platform, store, discovery):
    """It serves once a new configuration has addresses at which they are available."""
    stand_ins = [kind() for kind in (store, discovery) if kind]
    relay_address = stand_ins[0].address if store else platform.relay.address
    program = platform.start(
        store={"address": relay_address},
        discovery=stand_ins[-1].address if discovery else platform.discovery.address,
    )
    eventually(lambda: program.said("phase", now="listening"))
    assert heartbeat(platform)
    if store:
        assert not program.said("phase", now="serving")
    platform.reload(store={"address": platform.relay.address}, discovery=platform.discovery.address)
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
    assert not program.said("defect") and program.end() == 0
    for stand_in in stand_ins:
        stand_in.close()


def test_waiting_clients_are_answered_before_the_first_decision_round(platform, monkeypatch):
    """A large backend list takes long to parse, so the first decision round is due when the loop starts."""
    original_start = Front.start
    original_handle = Coordinator.handle
    answers_received = []
    clients = []
    previous_handlers = {number: signal.getsignal(number) for number in Service.SIGNALS}
    config = write_configuration(platform)

    def start(front):
        for _ in range(3):
            clients.append(platform.call())
            clients[-1].sendall(b"hb\r\n")
            clients[-1].settimeout(0)
        while front.loop.clock.now() < front.loop._due[0][0]:
            pass
        original_start(front)

    def handle(module, now, events):
        for client in clients:
            try:
                answers_received.append(client.recv(100))
            except BlockingIOError:
                answers_received.append(b"")
        clients.clear()
        os.kill(os.getpid(), signal.SIGTERM)
        return original_handle(module, now, events)

    monkeypatch.setattr(Front, "start", start)
    monkeypatch.setattr(Coordinator, "handle", handle)
    try:
        assert Service({"BALANCER_CONFIG": str(config)}).run() == 0
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
    assert answers_received == [b"hb_ok\r\n"] * 3


def test_an_unread_log_does_not_block_the_startup(platform):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    try:
        while True:
            os.write(write_end, bytes(4096))
    except BlockingIOError:
        pass
    os.set_blocking(write_end, True)
    environ = os.environ | {"BALANCER_CONFIG": str(write_configuration(platform))}
    with subprocess.Popen([sys.executable, "-m", "indigohitch"], stdout=write_end, env=environ) as process:
        eventually(lambda: answers_heartbeat(platform))
        process.terminate()
        assert process.wait(10) == 0
    os.close(read_end)
    os.close(write_end)


def answers_heartbeat(platform):
    try:
        return heartbeat(platform)
    except ConnectionRefusedError:
        return False


def open_writer(pipe):
    """Open the write end of a named pipe; return None while nobody reads from it."""
    try:
        return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
    except OSError:
        return None


def test_sigterm_while_the_configuration_is_read_ends_the_program(platform):
    """The configuration file is a named pipe that stays empty until the signal was sent."""
    pipe = platform.path / "pipe"
    os.mkfifo(pipe)
    config = write_configuration(platform).read_text()
    platform.program = program = Program(platform.path, config, BALANCER_CONFIG=str(pipe))

    write_end = eventually(lambda: open_writer(pipe))
    program.process.send_signal(signal.SIGTERM)
    os.set_blocking(write_end, True)
    os.write(write_end, program.file.read_bytes())
    os.close(write_end)
    assert program.process.wait(10) == 0
    program.reader.join(5)
    assert [event["now"] for event in program.said("phase")] == ["listening", "ending", "ended"]


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_signals_before_their_handlers_are_set_do_not_end_the_program(platform, number):
    """The import of a library blocks until the signal was sent."""
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
        platform.path, write_configuration(platform).read_text(), PYTHONPATH=str(platform.path)
    )
    eventually((platform.path / "importing").exists)
    program.process.send_signal(number)
    eventually(lambda: open_writer(platform.path / "go_on") or program.process.poll() is not None)
    eventually(lambda: program.said("phase", now="serving") or program.process.poll() is not None)
    assert program.process.poll() is None and program.end() == 0


def start_again(platform):
    """Start the program again at the same address."""
    program = platform.start(listen=platform.found["listen"])
    platform.listen = platform.found["listen"]
    return program


def test_startup_waits_until_the_previous_process_releases_the_address(platform):
    previous = platform.serving()
    previous.process.send_signal(signal.SIGSTOP)  # it keeps listening and does not end
    try:
        successor = start_again(platform)
        eventually(lambda: successor.said("address_in_use"))
    finally:
        previous.process.kill()
        previous.process.wait()
    eventually(lambda: successor.said("phase", now="serving"))
    assert heartbeat(platform) and successor.end() == 0


def test_a_newer_configuration_applies_while_the_address_is_in_use(platform):
    with socket.create_server(("127.0.0.1", 0)) as occupant:
        unavailable = {"store": {"address": Away().address}, "discovery": Away().address}
        program = platform.start(listen=f"127.0.0.1:{occupant.getsockname()[1]}", **unavailable)
        eventually(lambda: program.said("address_in_use"))
        platform.reload(store={"address": platform.relay.address}, discovery=platform.discovery.address)
        # SIGUSR1 is handled after SIGHUP, so its log line shows that both were handled.
        program.process.send_signal(signal.SIGUSR1)
        eventually(lambda: program.said("counters"))
    eventually(lambda: program.said("phase", now="serving"))
    drain(platform, "b1")
    assert not program.said("reloaded") and program.end() == 0


def test_sigterm_while_the_address_is_in_use_ends_the_program(platform):
    with socket.create_server(("127.0.0.1", 0)) as occupant:
        program = platform.start(listen=f"127.0.0.1:{occupant.getsockname()[1]}")
        eventually(lambda: program.said("address_in_use"))
        program.process.terminate()
        assert program.process.wait(10) == 0
        program.reader.join(5)
        assert [event["now"] for event in program.said("phase")] == ["ended"] and not program.said(
            "cannot_start"
        )


def test_restart_while_closed_connections_linger_in_the_kernel(platform):
    """Connections that the previous process closed first stay in TIME_WAIT at the same address."""
    previous = platform.serving()
    with platform.call() as client:
        client.sendall(b"hb\r\n")
        assert client.makefile("rb").readline() == b"hb_ok\r\n"
        assert previous.end() == 0 and client.recv(1) == b""
    successor = start_again(platform)
    eventually(lambda: successor.said("phase", now="serving"))
    assert heartbeat(platform) and not successor.said("address_in_use") and successor.end() == 0
