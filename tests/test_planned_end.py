"""A planned end of a sidecar: what comes after SIGTERM is answered, or its connection is closed at once."""
import signal
import socket
import time

import pytest

from field import Field, answers
from waiting import eventually

HELD = b"GET /vacancies/1 HTTP/1.1\r\nHost: x\r\nX-Act: wait=1500\r\n\r\n"
PLAIN = b"GET /vacancies/2 HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def field(tmp_path):
    field = Field(tmp_path).start()
    yield field
    field.close()


def over(sock):
    """Closed or reset by the other side."""
    sock.settimeout(5)
    try:
        return sock.recv(1 << 16) == b""
    except ConnectionResetError:
        return True


def test_what_comes_after_the_signal_is_answered_or_closed(field):
    """Found in the text: who connected while an answer was in hand waited for that, then was reset."""
    idle, busy = field.raw(PLAIN), field.raw(HELD)
    assert answers(idle, 1)[0][0] == 200
    eventually(lambda: field.ask("status")["pools"]["nodes"]["servers"] and sum(
        s["held"] for s in field.ask("status")["pools"]["nodes"]["servers"].values()))
    field.process.send_signal(signal.SIGTERM)
    eventually(lambda: field.said("phase", now="ending"))
    busy.sendall(PLAIN)
    began = time.monotonic()
    for _ in range(3):
        with pytest.raises(OSError):            # refused, or reset if it was in the kernel just before
            late = field.raw(PLAIN)
            assert not over(late)
    assert over(idle) and time.monotonic() - began < 1.0 and field.process.poll() is None
    found = answers(busy, 2)
    assert found[0][0] == 200 and (len(found) == 2 or over(busy))
    assert field.process.wait(10) == 0


def test_one_that_waits_to_be_accepted_hears_of_the_end(field):
    """It connected and sent its RPC before the signal; the process sees both at once."""
    host, port = field.listen.split(":")
    field.process.send_signal(signal.SIGSTOP)
    held = socket.create_connection((host, int(port)), 5)
    held.sendall(PLAIN)
    field.process.send_signal(signal.SIGTERM)
    field.process.send_signal(signal.SIGCONT)
    held.settimeout(5)
    try:
        said = held.makefile("rb").read()
    except ConnectionResetError:
        said = b""
    assert not said or said.startswith(b"HTTP/1.1 200")
    assert field.process.wait(10) == 0
