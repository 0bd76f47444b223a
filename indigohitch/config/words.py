"""Parsers of single words and units; each takes one word and raises ValueError that says what is expected."""

from __future__ import annotations

import re
import shlex
import socket

from ..net.clock import SECOND
from ..net.connection import parse_address

_SPANS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
_SIZES = {"B": 1, "KB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30}
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
# A float distinguishes about 15 digits; a longer number is a typing error and could overflow to infinity.
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,15})?")
_MEASURE = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,15})?)([A-Za-z]*)")
MAX_SOCKET_PATH_BYTES = 107  # the kernel's limit for the path of a Unix socket
FORMS = ("json", "combined")  # formats of the access log


def span(text: str) -> int:
    """Converts a duration such as `1.5s` to tenths of a millisecond."""
    return round(_parse_with_unit(text, _SPANS, "a span like 250ms, 1.5s or 2m"))


def size(text: str) -> int:
    """Converts a size such as `64KB` to bytes."""
    return round(_parse_with_unit(text, _SIZES, "a size like 16KB or 64MB"))


def _parse_with_unit(text: str, units: dict[str, int], wanted: str) -> float:
    match = _MEASURE.fullmatch(text)
    if match is None or match[2] not in units:
        missing = match is not None and not match[2]
        raise ValueError(f"{text!r} {'has no unit' if missing else 'is not'}: {wanted} is wanted")
    return float(match[1]) * units[match[2]]


def number(text: str) -> float:
    """Parses a decimal number of 0 or more, without exponent."""
    if not _NUMBER.fullmatch(text):
        raise ValueError(f"{text!r} is not a number")
    return float(text)


def positive(text: str) -> float:
    """Parses a decimal number above 0."""
    if number(text) <= 0:
        raise ValueError(f"{text} is not above 0")
    return number(text)


def count(text: str) -> int:
    """Parses a whole number from 1 to 999999999."""
    if not re.fullmatch(r"[1-9]\d{0,8}", text):
        raise ValueError(f"{text!r} is not a whole number above 0")
    return int(text)


def name(text: str) -> str:
    """Checks that the word is a name (64 letters, digits, `.`, `-`, `_` at most) and returns it unchanged."""
    if not _NAME.match(text):
        raise ValueError(f"{text!r} is no name: letters, digits, dots, - and _, 64 at most")
    return text


def path(text: str) -> str:
    """Checks that the word is an absolute path and returns it unchanged."""
    if not text.startswith("/"):
        raise ValueError(f"{text!r} does not begin with /")
    return text


def socket_path(text: str) -> str:
    """Checks that the word is an absolute path that fits in the address of a Unix socket."""
    if len(path(text).encode()) > MAX_SOCKET_PATH_BYTES:
        raise ValueError(
            f"a socket's path has {MAX_SOCKET_PATH_BYTES} bytes at most, this one {len(text.encode())}"
        )
    return text


def place(text: str) -> tuple[str, int]:
    """Parses `HOST:PORT` to host and port.

    A host of digits and dots alone must be a valid IPv4 address: it is never a name to look up.
    """
    host, port = parse_address(text)
    if not host.strip("0123456789."):
        try:
            socket.inet_pton(socket.AF_INET, host)
        except OSError:
            raise ValueError(f"{host} is no address: one such as 10.0.0.1 is wanted") from None
    return host, port


def form(text: str) -> str:
    """Checks that the word is a format of the access log and returns it unchanged."""
    if text not in FORMS:
        raise ValueError(f"{text!r}: {' or '.join(FORMS)} is wanted")
    return text


def words(text: str) -> list[str]:
    """Splits a command by the shell's rules; marks directives that take any number of words."""
    return shlex.split(text)
