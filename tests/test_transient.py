"""System calls that fail for a moment: at a start, at a connect, and as a file is read again."""

import errno
import signal
import socket
import subprocess
import sys

import pytest

from indigohitch import service
from indigohitch.net import connection, transient_errors
from indigohitch.net.listener import Listener
from seam import Wire
from stage import heartbeat

PASSING = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR]
AT_CONNECT = [*PASSING, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH]


def failing(call, code, times):
    """The same call, that fails so many times before it works."""
    left = [times]

    def wrapped(*words, **more):
        if left[0]:
            left[0] -= 1
            raise OSError(code, "for a moment")
        return call(*words, **more)

    return wrapped


@pytest.fixture
def wire():
    found = Wire()
    yield found
    found.close()


@pytest.mark.parametrize("code", PASSING)
def test_a_start_waits_for_what_passes(code):
    told = []
    assert transient_errors.retry_transient(failing(lambda: 7, code, 3), told.append) == 7
    assert [error.errno for error in told] == [code] * 3


def test_a_start_does_not_wait_for_what_stays_or_for_ever():
    with pytest.raises(OSError):
        transient_errors.retry_transient(failing(lambda: 7, errno.EACCES, 1))
    with pytest.raises(OSError):
        transient_errors.retry_transient(failing(lambda: 7, errno.ENFILE, 1000), seconds=0.1)


@pytest.mark.parametrize("code", AT_CONNECT)
def test_a_connect_that_fails_for_a_moment_is_tried_again(wire, monkeypatch, code):
    dial = connection.Connection.dial.__func__
    monkeypatch.setattr(connection.Connection, "dial", classmethod(failing(dial, code, 3)))
    wire.ask()
    wire.accepted().sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert wire.answered(1).outcome == "answered"


@pytest.mark.parametrize("code", [errno.EADDRNOTAVAIL, errno.EACCES])
def test_one_that_goes_on_failing_is_told_within_its_span(wire, monkeypatch, code):
    monkeypatch.setattr(connection.Connection, "dial", classmethod(failing(None, code, 10**6)))
    wire.ask()
    began = wire.loop.clock.now()
    assert wire.answered(1).outcome == "connect_failed"
    span = wire.loop.clock.now() - began
    assert (
        span >= wire.client.connect_span if code == errno.EADDRNOTAVAIL else span < wire.client.connect_span
    )


def test_a_listener_opens_though_no_descriptor_is_left_at_first(wire, monkeypatch):
    """A sidecar's, and a member's."""
    monkeypatch.setattr(socket, "socket", failing(socket.socket, errno.ENFILE, 3))
    listener = Listener(wire.loop, ("127.0.0.1", 0), lambda sock: True, lambda why: None)
    assert listener.sock.getsockname()[1]
    listener.close()


START = """import errno, socket, sys
real, left = socket.socket, [6]
class Short(real):
    def __init__(self, *words, **more):
        if more.get("fileno") is None and len(words) < 4 and left[0]:
            left[0] -= 1
            raise OSError(errno.ENFILE, "for a moment")
        super().__init__(*words, **more)
socket.socket = Short
from indigohitch import service
sys.exit(service.main())
"""


def test_a_coordinator_starts_though_no_descriptor_is_left_at_first(platform, tmp_path, monkeypatch):
    """Found by the soak: it ended with exit code 1."""
    real = subprocess.Popen
    monkeypatch.setattr(
        subprocess, "Popen", lambda words, **more: real([sys.executable, "-c", START], **more)
    )
    program = platform.serving()
    assert heartbeat(platform) and program.said("address_in_use")
    assert program.end() == 0


def test_a_reload_waits_until_the_file_can_be_opened(platform, monkeypatch):
    """Found by reading: SIGHUP came to nothing, and the relay had moved for good."""
    made = service.read_configuration
    loaded = []
    monkeypatch.setattr(service, "read_configuration", failing(made, errno.EMFILE, 3))
    config = platform.path / "config.json"
    config.write_text("{}")
    monkeypatch.setattr(signal, "set_wakeup_fd", lambda *words, **more: None)
    monkeypatch.setattr(signal, "signal", lambda *words: None)
    process = service.Service({"BALANCER_CONFIG": str(config)})
    process.front = type("Front", (), {"reload": lambda self, found: loaded.append(found)})()
    process.reload()
    assert not loaded
    while not loaded:
        process.loop.turn()
    assert loaded == [{}] and not process.log.counts["reload_failed"]
    monkeypatch.setattr(service, "read_configuration", failing(made, errno.EACCES, 1))
    process.reload()
    assert process.log.counts["reload_failed"] == 1 and len(loaded) == 1
    process.loop.close()
