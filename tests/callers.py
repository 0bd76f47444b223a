"""Connections to a coordinator that the tests make and watch."""

from waiting import eventually

GOOD = b"range_stats range=3 lane=search count=40 fail=1 over=1000.0\r\n"


def ended(sock, seconds=3.0):
    """What it hears before its connection is closed, in good time."""
    sock.settimeout(seconds)
    heard = b""
    try:
        while part := sock.recv(4096):
            heard += part
    except ConnectionError:
        pass
    return heard


def joins(platform, heard):
    """A collector that comes back as they do: before its first bytes are read it is a stranger itself, and on
    a busy machine it may be dropped for room."""

    def tried():
        nonlocal sock
        if heard():
            return True
        try:
            if sock.recv(100) == b"":
                raise ConnectionError
        except BlockingIOError:
            return False
        except ConnectionError:
            sock.close()
            sock = dialled()
        return False

    def dialled():
        sock = platform.call()
        sock.sendall(b"telemetry site=east\r\n" + GOOD)
        sock.setblocking(False)
        return sock

    sock = dialled()
    eventually(tried)
    return sock
