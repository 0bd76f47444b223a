"""Access logs: common, combined, any format in LogFormat terms, and the sidecar's own JSON lines."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import UTC, datetime

import orjson
from apachelogs import COMBINED, COMMON, InvalidEntryError, LogParser

from ...errors import InvalidRequestError
from ..entry import SECOND, Entry, Unread, path_of
from .opened import LINE, Truncated, lines

NAMED = {"common": COMMON, "combined": COMBINED}
FORMATS = "har, json, common, combined, or the words of a LogFormat"
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class Formatted:
    """Lines of a LogFormat.  Its `%t` is of the request's begin, unless `ends`."""

    def __init__(self, format: str, ends: bool = False) -> None:
        """Unfit where the format can't be read, or names no request or no time."""
        self.ends, text = ends, NAMED.get(format, format)
        try:
            self.parser = LogParser(text, encoding="latin-1")
        except ValueError as bad:
            raise InvalidRequestError(
                f"the format {format!r} can't be read: {bad}", "--format", FORMATS
            ) from None
        if not any(word in text for word in ("%r", "%U")) or not any(w in text for w in ("%t", "}t")):
            raise InvalidRequestError(
                f"the format {format!r} names no request (%r, %U) or no time (%t)", "--format", FORMATS
            )

    def entry(self, line: bytes, number: int) -> Entry:
        try:
            found = self.parser.parse(line.decode("latin-1"))
        except InvalidEntryError:
            raise Unread("not of the format") from None
        except (ValueError, OverflowError) as bad:
            raise Unread(str(bad)[:80]) from None
        stamp, grain, local = self.time(found)
        request = getattr(found, "request_line", None)
        if request:
            words = request.split(" ")
            if len(words) not in (2, 3) or not words[0].isalpha():
                raise Unread(f"request {request[:40]!r}")
            method, target = words[0], words[1]
        else:
            method, target = getattr(found, "request_method", None) or "", getattr(found, "request_uri", None)
            if not method.isalpha() or not target:
                raise Unread("no request")
            target += getattr(found, "request_query", None) or ""
        took = -1
        for name, unit in (
            ("request_duration_microseconds", 0.01),
            ("request_duration_milliseconds", 10),
            ("request_duration_seconds", SECOND),
        ):
            if getattr(found, name, None) is not None:
                took = round(getattr(found, name) * unit)
                break
        sent = getattr(found, "bytes_sent", None)
        return Entry(
            stamp=stamp,
            method=method.upper(),
            target=path_of(target),
            line=number,
            grain=grain,
            local=local,
            ends=self.ends,
            took=took,
            status=getattr(found, "final_status", None) or 0,
            size=-1 if sent is None else sent,
            client=str(getattr(found, "remote_host", "") or ""),
        )

    @staticmethod
    def time(found) -> tuple[int, int, bool]:
        """The stamp, what it is rounded down to, and whether it names no zone."""
        told = found.request_time_fields
        for name, unit in (("microepoch", 0.01), ("milliepoch", 10)):
            if name in told:
                return round(told[name] * unit), 1, False
        at = found.request_time
        if at is None:
            raise Unread("no time")
        local = at.tzinfo is None
        since = (at.replace(tzinfo=UTC) if local else at) - EPOCH
        return round(since.total_seconds() * SECOND), SECOND, local


class JsonLines:
    """The sidecar's own: one JSON object a line, `ms` its begin."""

    def entry(self, line: bytes, number: int) -> Entry:
        try:
            told = orjson.loads(line)
        except orjson.JSONDecodeError:
            raise Unread("no JSON") from None
        try:
            body = told["body"].encode("latin-1") if told.get("body") else b""
            return Entry(
                stamp=round(told["ms"] * 10),
                method=told["method"],
                target=path_of(told["target"]),
                line=number,
                took=round(told.get("took_ms", -0.1) * 10),
                status=told.get("status", 0),
                size=told.get("size", -1),
                client=str(told.get("client", "")),
                id=told.get("id", ""),
                body=body,
                kind=told.get("kind", ""),
            )
        except (KeyError, TypeError, AttributeError, ValueError, UnicodeError) as bad:
            raise Unread(f"{type(bad).__name__}: {bad}") from None


def read(
    stream, form: Formatted | JsonLines, unread: Callable[[int, str], None], note: Callable[[str], None]
) -> Iterator[Entry]:
    """`unread(line, why)`; `note(name)` counts what is odd but read."""
    number = 0
    try:
        for number, line in lines(stream):
            if line is None:
                unread(number, f"longer than {LINE} bytes")
            elif number < 0:
                try:
                    found = form.entry(line, -number)
                except Unread:
                    note("unfinished-line")  # still being written: it is whole the next time
                    continue
                yield found
            elif line:
                try:
                    yield form.entry(line, number)
                except Unread as bad:
                    unread(number, bad.problem)
    except Truncated as bad:
        unread(abs(number) + 1, str(bad))
