"""Words and units.  Each reads one word, and raises ValueError that says what is wanted."""

from __future__ import annotations

import re
import shlex
import socket

from ..net.clock import SECOND
from ..net.connection import parse_address

_SPANS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
_SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
# No more digits than a float tells apart: a number beyond them is a slip, and could be taken for infinite.
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_MEASURE = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)([A-Za-z]*)")
SOCKET_MOST = 107  # bytes of a Unix socket's path, by the kernel
FORMS = ("json", "combined")  # of an access log


def span(text: str) -> int:
    """`1.5s` in tenths of a millisecond."""
    return round(_measured(text, _SPANS, "a span like 250ms, 1.5s or 2m"))


def size(text: str) -> int:
    """`64KB` in bytes."""
    return round(_measured(text, _SIZES, "a size like 16KB or 64MB"))


def _measured(text: str, units: dict[str, int], what: str) -> float:
    match = _MEASURE.fullmatch(text)
    if match is None or match[2] not in units:
        missing = match is not None and not match[2]
        raise ValueError(f"{text!r} {'has no unit' if missing else 'is not'}: {what} is wanted")
    return float(match[1]) * units[match[2]]


def number(text: str) -> float:
    if not _NUMBER.fullmatch(text):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def positive(text: str) -> float:
    if number(text) <= 0:
        raise ValueError(f"{text} is not above 0")
    return number(text)


def count(text: str) -> int:
    if not re.fullmatch(r"[1-9]\d{0,8}", text):
        raise ValueError(f"{text!r} is not a whole number above 0")
    return int(text)


def name(text: str) -> str:
    if not _NAME.match(text):
        raise ValueError(f"{text!r} is no name: letters, digits, dots, - and _, 64 at most")
    return text


def path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError(f"{text!r} does not begin with /")
    return text


def socket_path(text: str) -> str:
    if len(path(text).encode()) > SOCKET_MOST:
        raise ValueError(f"a socket's path has {SOCKET_MOST} bytes at most, this one {len(text.encode())}")
    return text


def place(text: str) -> tuple[str, int]:
    """`HOST:PORT`; digits and dots alone are an address, not a name that could be looked up."""
    host, port = parse_address(text)
    if not host.strip("0123456789."):
        try:
            socket.inet_pton(socket.AF_INET, host)
        except OSError:
            raise ValueError(f"{host} is no address: one such as 10.0.0.1 is wanted") from None
    return host, port


def form(text: str) -> str:
    if text not in FORMS:
        raise ValueError(f"{text!r}: {' or '.join(FORMS)} is wanted")
    return text


def words(text: str) -> list[str]:
    """The reader of a directive that takes any number of words."""
    return shlex.split(text)
