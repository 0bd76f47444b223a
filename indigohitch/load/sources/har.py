"""HAR 1.2, streamed: one entry is held at a time, whatever the file's size.

Source: the HAR 1.2 specification.  `startedDateTime` is when the request began; `time` is the whole of it,
else its timings count, of which -1 is not applicable."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable, Iterator
from datetime import datetime

import ijson

from ..entry import SECOND, Entry, Unread, path_of
from .opened import Truncated

TIMINGS = ("blocked", "dns", "connect", "send", "wait", "receive")
PATHS = ("log.entries.item", "log.pages.item")


def stamp(text) -> tuple[int, bool]:
    """Tenths of a ms of Unix time, and whether no zone was named."""
    try:
        found = datetime.fromisoformat(text)
    except (TypeError, ValueError):
        raise Unread(f"startedDateTime {str(text)[:40]!r}") from None
    local = found.tzinfo is None
    base = datetime(1970, 1, 1, tzinfo=None if local else found.tzinfo)
    since = found - base if local else found - datetime.fromisoformat("1970-01-01T00:00:00+00:00")
    return round(since.total_seconds() * SECOND), local


def took(entry: dict, note: Callable[[str], None]) -> int:
    """Of the whole request.  Missing and negative times are noted, not guessed."""
    total = entry.get("time")
    timings = entry.get("timings")
    if not isinstance(timings, dict):
        note("timing-missing")
        timings = {}
    parts = [timings[name] for name in TIMINGS if isinstance(timings.get(name), (int, float))]
    if any(part < 0 and part != -1 for part in parts):
        note("timing-negative")
    if not isinstance(total, (int, float)) or total < 0:
        known = [part for part in parts if part >= 0]
        if not known:
            note("timing-missing")
            return -1
        total = sum(known)
    return round(float(total) * SECOND / 1000)


def body(request: dict) -> tuple[bytes, str]:
    data = request.get("postData")
    if not isinstance(data, dict):
        return b"", ""
    text, kind = data.get("text") or "", str(data.get("mimeType") or "")
    if not isinstance(text, str):
        raise Unread("postData.text is no text")
    if data.get("encoding") == "base64":
        try:
            return base64.b64decode(text, validate=True), kind
        except (binascii.Error, ValueError):
            raise Unread("postData is no base64") from None
    return text.encode("utf-8", "surrogatepass"), kind


def entry(found: dict, place: int, note: Callable[[str], None]) -> Entry:
    request = found.get("request")
    if not isinstance(request, dict) or not isinstance(request.get("url"), str):
        raise Unread("no request, or none with a url")
    method = str(request.get("method") or "")
    if not method.isalpha():
        raise Unread(f"method {method[:20]!r}")
    at, local = stamp(found.get("startedDateTime"))
    answer = found.get("response") if isinstance(found.get("response"), dict) else {}
    status = answer.get("status")
    data, kind = body(request)
    if answer.get("redirectURL"):
        note("redirect")  # what it led to stands as an entry of its own
    sent = next(
        (
            h.get("value", "")
            for h in request.get("headers") or ()
            if isinstance(h, dict) and str(h.get("name")).lower() == "x-id"
        ),
        "",
    )
    return Entry(
        stamp=at,
        method=method.upper(),
        target=path_of(request["url"]),
        line=place,
        local=local,
        took=took(found, note),
        status=int(status) if isinstance(status, (int, float)) else 0,
        size=answer["bodySize"] if isinstance(answer.get("bodySize"), int) else -1,
        client=str(found.get("connection") or found.get("pageref") or ""),
        id=str(sent),
        body=data,
        kind=kind,
    )


def read(stream, unread: Callable[[int, str], None], note: Callable[[str], None]) -> Iterator[Entry]:
    """`unread(entry's place from 1, why)`; `note(name)` counts what is odd but read."""
    place = pages = 0
    try:
        builder, prefix_wanted = None, ""
        for prefix, event, value in ijson.parse(stream, use_float=True):
            if builder is None:
                if prefix in PATHS and event == "start_map":
                    builder, prefix_wanted = ijson.ObjectBuilder(), prefix
                    builder.event(event, value)
                elif prefix == PATHS[0] and event not in ("end_map",):
                    place += 1
                    unread(place, "an entry that is no object")
                continue
            builder.event(event, value)
            if prefix == prefix_wanted and event == "end_map":
                found, builder = builder.value, None
                if prefix_wanted == PATHS[1]:
                    pages += 1
                    continue
                place += 1
                try:
                    yield entry(found, place, note)
                except Unread as bad:
                    unread(place, str(bad))
    except (ijson.JSONError, Truncated, UnicodeDecodeError, ValueError) as bad:
        unread(place + 1, f"the file can't be read from here: {bad}")
    if pages and not place:
        note("pages-without-entries")
