"""Sources as a HAR 1.2 file, entry by entry: no file is held in memory."""

from __future__ import annotations

import base64
import os
from collections import Counter
from datetime import UTC, datetime, timedelta

import orjson

from .compiling import Told, source
from .entry import Entry
from .timeline import RULES
from .timeline.order import timeline

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def entry(at: int, found: Entry, base: str) -> dict:
    ms = found.took / 10 if found.took >= 0 else 0
    request = {
        "method": found.method,
        "url": base + found.target,
        "httpVersion": "HTTP/1.1",
        "cookies": [],
        "headers": [{"name": "X-Id", "value": found.id}] if found.id else [],
        "queryString": [],
        "headersSize": -1,
        "bodySize": len(found.body),
    }
    if found.body:
        request["postData"] = {
            "mimeType": found.kind,
            "encoding": "base64",
            "text": base64.b64encode(found.body).decode(),
        }
    when = (EPOCH + timedelta(milliseconds=at // 10, microseconds=at % 10 * 100)).isoformat()
    return {
        "startedDateTime": when,
        "time": ms,
        "request": request,
        "connection": found.client,
        "cache": {},
        "response": {
            "status": found.status,
            "statusText": "",
            "httpVersion": "HTTP/1.1",
            "cookies": [],
            "headers": [],
            "content": {"size": max(found.size, 0), "mimeType": ""},
            "redirectURL": "",
            "headersSize": -1,
            "bodySize": found.size,
        },
        "timings": {"send": 0, "wait": ms, "receive": 0},
    }


def exported(paths: list[str], out: str, form: str, base: str) -> tuple[int, Told]:
    """How many entries, and what could not be read.  Raises OSError, NothingRead."""
    told, count = Told(), 0
    times = timeline(
        [source(path, form, False, told, place) for place, path in enumerate(paths)],
        frozenset(RULES),
        1,
        Counter(),
    )
    part = out + ".part"
    with open(part, "wb") as file:
        file.write(b'{"log":{"version":"1.2","creator":{"name":"indigohitch","version":"1"},"entries":[\n')
        for at, found in times:
            file.write((b",\n" if count else b"") + orjson.dumps(entry(at, found, base)))
            count += 1
        file.write(b"\n]}}\n")
    if not count:
        os.unlink(part)
        raise told.nothing(paths)
    os.replace(part, out)
    return count, told
