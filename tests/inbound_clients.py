"""Client connections to a coordinator."""

from waiting import eventually

VALID_REPORT = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def read_until_closed(sock, seconds=3.0):
    """Return the data received until the peer closes; raises TimeoutError after `seconds` without data."""
    sock.settimeout(seconds)
    received = b""
    try:
        while part := sock.recv(4096):
            received += part
    except ConnectionError:
        pass
    return received


def join_as_collector(platform, is_reported):
    """Connect as a collector, again after each close as collectors do, until `is_reported` is true.

    Until its first bytes are read a collector is unidentified, and on a busy machine it may be evicted.
    """

    def attempt():
        nonlocal sock
        if is_reported():
            return True
        try:
            if sock.recv(100) == b"":
                raise ConnectionError
        except BlockingIOError:
            return False
        except ConnectionError:
            sock.close()
            sock = connect()
        return False

    def connect():
        sock = platform.call()
        sock.sendall(b"telemetry site=east\r\n" + VALID_REPORT)
        sock.setblocking(False)
        return sock

    sock = connect()
    eventually(attempt)
    return sock
