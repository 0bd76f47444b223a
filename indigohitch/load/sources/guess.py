"""What kind of log a stream is whose name does not tell: by its first lines."""

from __future__ import annotations

import orjson

from ..entry import Unread
from . import logs
from .opened import PIECE, Truncated

LINES = 20  # a log that begins with so many others is none that we know
CANDIDATES = ("combined", "common", "json")


def form(stream) -> tuple[str, int]:
    """The format by which most of the first lines can be read, "combined" where none does, and how many.  The
    stream (one with `peek`) stays where it is."""
    try:
        head = stream.peek(PIECE)
    except Truncated:
        return CANDIDATES[0], 0  # reading it will tell
    if begins_har(head):
        return "har", 1
    found = [line for line in head.splitlines()[:LINES] if line]
    read = {name: sum(map(readable(name), found)) for name in CANDIDATES}
    best = max(CANDIDATES, key=lambda name: read[name])
    return best, read[best]


def begins_har(head: bytes) -> bool:
    """One JSON object over many lines, or one without an end so far, that begins with `log`."""
    words = head.lstrip(b"\xef\xbb\xbf \t\r\n")
    return words.startswith(b"{") and words[1:].lstrip().startswith(b'"log"')


def readable(name: str):
    reader = logs.JsonLines() if name == "json" else logs.Formatted(name)

    def one(line: bytes) -> bool:
        try:
            reader.entry(line, 1)
        except (Unread, orjson.JSONDecodeError):
            return False
        return True

    return one
