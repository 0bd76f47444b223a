"""Transient failures of system calls at a start, at a connect and when a file is reloaded are retried."""

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

TRANSIENT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR]
TRANSIENT_AT_CONNECT = [*TRANSIENT, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH]


def failing(call, code, times):
    """Wraps a call so that it raises `code` the first `times` times."""
    failures_left = [times]

    def wrapped(*args, **kwargs):
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(code, "injected")
        return call(*args, **kwargs)

    return wrapped


@pytest.fixture
def wire():
    wire = Wire()
    yield wire
    wire.close()


@pytest.mark.parametrize("code", TRANSIENT)
def test_a_start_retries_transient_errors(code):
    reported = []
    assert transient_errors.retry_transient(failing(lambda: 7, code, 3), reported.append) == 7
    assert [error.errno for error in reported] == [code] * 3


def test_a_start_retries_no_permanent_error_and_not_for_ever():
    with pytest.raises(OSError):
        transient_errors.retry_transient(failing(lambda: 7, errno.EACCES, 1))
    with pytest.raises(OSError):
        transient_errors.retry_transient(failing(lambda: 7, errno.ENFILE, 1000), max_seconds=0.1)


@pytest.mark.parametrize("code", TRANSIENT_AT_CONNECT)
def test_a_connect_is_retried_after_transient_errors(wire, monkeypatch, code):
    dial = connection.Connection.dial.__func__
    monkeypatch.setattr(connection.Connection, "dial", classmethod(failing(dial, code, 3)))
    wire.ask()
    wire.accepted().sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert wire.answered(1).outcome == "answered"


@pytest.mark.parametrize("code", [errno.EADDRNOTAVAIL, errno.EACCES])
def test_a_connect_that_keeps_failing_is_reported_after_its_span_or_at_once(wire, monkeypatch, code):
    monkeypatch.setattr(connection.Connection, "dial", classmethod(failing(None, code, 10**6)))
    wire.ask()
    started_at = wire.loop.clock.now()
    assert wire.answered(1).outcome == "connect_failed"
    duration = wire.loop.clock.now() - started_at
    assert (
        duration >= wire.client.connect_span
        if code == errno.EADDRNOTAVAIL
        else duration < wire.client.connect_span
    )


def test_a_listener_retries_while_no_descriptor_is_left(wire, monkeypatch):
    """Sidecars and fleet members open their listeners so; both ended at ENFILE before."""
    monkeypatch.setattr(socket, "socket", failing(socket.socket, errno.ENFILE, 3))
    listener = Listener(wire.loop, ("127.0.0.1", 0), lambda sock: True, lambda why: None)
    assert listener.sock.getsockname()[1]
    listener.close()


LAUNCHER = """import errno, socket, sys
real_socket, failures_left = socket.socket, [6]
class FailingSocket(real_socket):
    def __init__(self, *args, **kwargs):
        if kwargs.get("fileno") is None and len(args) < 4 and failures_left[0]:
            failures_left[0] -= 1
            raise OSError(errno.ENFILE, "injected")
        super().__init__(*args, **kwargs)
socket.socket = FailingSocket
from indigohitch import service
sys.exit(service.main())
"""


def test_a_coordinator_start_retries_while_no_descriptor_is_left(platform, tmp_path, monkeypatch):
    """ENFILE at the start once ended the process with exit code 1."""
    real_popen = subprocess.Popen
    monkeypatch.setattr(
        subprocess,
        "Popen",
        lambda command, **options: real_popen([sys.executable, "-c", LAUNCHER], **options),
    )
    program = platform.serving()
    assert heartbeat(platform) and program.said("address_in_use")
    assert program.end() == 0


def test_a_reload_retries_until_the_file_can_be_opened(platform, monkeypatch):
    """A reload that met EMFILE was once dropped, so the coordinator kept the old address of the relay."""
    read_configuration = service.read_configuration
    loaded = []
    monkeypatch.setattr(service, "read_configuration", failing(read_configuration, errno.EMFILE, 3))
    config = platform.path / "config.json"
    config.write_text("{}")
    monkeypatch.setattr(signal, "set_wakeup_fd", lambda *args, **kwargs: None)
    monkeypatch.setattr(signal, "signal", lambda *args: None)
    process = service.Service({"BALANCER_CONFIG": str(config)})
    process.front = type("Front", (), {"reload": lambda self, configuration: loaded.append(configuration)})()
    process.reload()
    assert not loaded
    while not loaded:
        process.loop.turn()
    assert loaded == [{}] and not process.log.counts["reload_failed"]
    monkeypatch.setattr(service, "read_configuration", failing(read_configuration, errno.EACCES, 1))
    process.reload()
    assert process.log.counts["reload_failed"] == 1 and len(loaded) == 1
    process.loop.close()
