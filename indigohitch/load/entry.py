"""What passes from the sources to the timeline, and what a trace holds.  Times are whole tenths of a ms."""

from __future__ import annotations

import msgspec

from ..errors import InvalidDataError

SECOND = 10_000


class Entry(msgspec.Struct):
    """One request as a source tells it."""

    stamp: int  # Unix time
    method: str
    target: str  # path and query, as it went over the wire: percent-encoded ASCII
    line: int  # where it stands in its file: a line, or an entry of a HAR file
    grain: int = 1  # what the stamp is rounded down to: SECOND in common logs
    local: bool = False  # the stamp names no zone: it steps with daylight saving
    ends: bool = False  # the stamp is of the answer's end
    took: int = -1  # until the end of the answer, -1: not told
    status: int = 0
    size: int = -1  # of the answer's body
    client: str = ""  # who asked: requests of one client went over one connection
    id: str = ""  # the request's own name, where the source has one
    body: bytes = b""
    kind: str = ""  # of the body
    file: int = 0


class Request(msgspec.Struct, array_like=True):
    """One request of a trace.  Fields are only ever added, at the end and with a default."""

    at: int  # since the trace began
    method: str
    target: str
    rpc: str
    unsafe: bool  # non-idempotent: replayed to proven stand-ins only, once
    connection: int
    file: int
    line: int
    status: int = 0
    took: int = -1
    size: int = -1
    body: bytes = b""
    kind: str = ""


class Unread(InvalidDataError):
    """A line that can't be read; who reads it knows where."""


def path_of(target: str) -> str:
    """The target as an origin server gets it: of an absolute URL the path and query, non-ASCII escaped."""
    if "://" in target[:12]:
        rest = target.split("://", 1)[1]
        place = min((rest.find(c) for c in "/?#" if c in rest), default=len(rest))
        target = rest[place:] or "/"
    target = target.split("#", 1)[0]
    if not target.startswith("/"):
        target = "/" + target
    if not target.isascii() or any(c <= " " or c == "\x7f" for c in target):
        target = "".join(chr(b) if 0x20 < b < 0x7F else f"%{b:02X}" for b in target.encode("utf-8"))
    return target
