"""Conditions that are waited for, and addresses that stay one's own."""

import socket
import time

_held = []  # until the process of the tests ends


def eventually(holds, seconds=30.0):
    """Wait for a condition; what it last said is in the message.  The time is for machines that are busy:
    it costs nothing where the condition comes true."""
    end = time.monotonic() + seconds
    while not (said := holds()):
        assert time.monotonic() < end, f"never came true: {said!r}"
        time.sleep(0.01)
    return said


def free_address():
    """An address on loopback at which nobody listens.  It stays bound here, without listening: the system
    gives its port to nobody else, neither for another test nor for a connection going out; who listens there
    with SO_REUSEADDR, as all our programs do, gets it, and who connects before that is refused."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _held.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"
