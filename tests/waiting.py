"""Waits for conditions, and addresses that no other program on the machine gets."""

import socket
import time

_bound_sockets = []  # kept open until the test process ends


def eventually(holds, seconds=30.0):
    """Waits until `holds()` is true and returns its result; its last result is in the failure message.

    The long default is for busy machines and costs nothing once the condition is true.
    """
    end = time.monotonic() + seconds
    while not (result := holds()):
        assert time.monotonic() < end, f"never came true: {result!r}"
        time.sleep(0.01)
    return result


def free_address():
    """Returns an address on loopback at which nobody listens.

    A socket stays bound to it without listening, so the system gives the port neither to another test nor to
    an outgoing connection.  Programs that listen with SO_REUSEADDR, as all of this project do, can open it;
    earlier connects are refused.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    _bound_sockets.append(sock)
    return f"127.0.0.1:{sock.getsockname()[1]}"
