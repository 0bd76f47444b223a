"""Parsers of the protocol's messages into events, for lines of collectors and of the relay."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

from .. import errors
from .. import interface as face
from ..settings import parse_load_report, ticks_from_ms


class InvalidLineError(errors.InvalidDataError):
    """A message does not conform to the protocol."""

    remedy = "bring the sender to this program's version of the protocol"


class CorruptConnectionError(errors.InvalidDataError):
    """The input is no message at all, so the start of the next one is unknown."""

    remedy = "find who connects there"


@dataclass(slots=True)
class KnownNames:
    """The zones, methods, slices and backends that a report may name."""

    zones: frozenset[str]
    methods: frozenset[str]
    slices: int
    backends: Container[str]


MAX_VALUE = 10**9  # far above any count, share or time in ms of a report


def parse_number(fields: Mapping[str, str], name: str) -> float:
    """Return a field as a number from 0 to MAX_VALUE; raises InvalidLineError."""
    try:
        value = float(fields[name])
    except (KeyError, TypeError, ValueError):
        raise InvalidLineError(f"{name}: not a number") from None
    if not 0 <= value <= MAX_VALUE:  # nor is NaN
        raise InvalidLineError(f"{name}: out of range")
    return value


def parse_integer(fields: Mapping[str, str], name: str) -> int:
    """Return a field as a non-negative integer of at most 15 digits; raises InvalidLineError."""
    value = fields.get(name, "")
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise InvalidLineError(f"{name}: not a whole number")
    return int(value)


def parse_flag(fields: Mapping[str, str], name: str) -> bool:
    """Return a field that is 0 or 1 as a bool; raises InvalidLineError."""
    if fields.get(name) not in ("0", "1"):
        raise InvalidLineError(f"{name}: not 0 or 1")
    return fields[name] == "1"


def parse_text(fields: Mapping[str, str], name: str) -> str:
    """Return a field that must not be empty; raises InvalidLineError."""
    if not fields.get(name):
        raise InvalidLineError(f"{name}: missing")
    return fields[name]


def parse_name_among(fields: Mapping[str, str], name: str, among: Container[str]) -> str:
    """Return a field whose value must be in `among`; raises InvalidLineError."""
    if parse_text(fields, name) not in among:
        raise InvalidLineError(f"{name}: does not exist")
    return fields[name]


def parse_message(line: bytes) -> tuple[str, dict[str, str]]:
    """Return the kind and the fields of a message; raises CorruptConnectionError."""
    try:
        kind, *pairs = line.decode("ascii").split()
        if not (kind.isidentifier() and line.isascii()):
            raise ValueError("no kind of message")
        return kind, dict(pair.split("=", 1) for pair in pairs)
    except ValueError as error:
        raise CorruptConnectionError(str(error)) from None


def _parse_joined(fields: Mapping[str, str]) -> face.ProxyJoined:
    return face.ProxyJoined(
        parse_integer(fields, "id"),
        parse_text(fields, "site"),
        parse_number(fields, "rps"),
        parse_flag(fields, "new"),
    )


def _parse_acknowledged(fields: Mapping[str, str]) -> face.UpdateAcknowledged:
    return face.UpdateAcknowledged(
        parse_integer(fields, "id"), parse_integer(fields, "seq"), ticks_from_ms(parse_number(fields, "ms"))
    )


def _parse_sums(fields: Mapping[str, str]) -> tuple[int, int, float]:
    """Return the count of requests, the count of failures, and their period in ms."""
    count = parse_integer(fields, "count")
    fail = parse_integer(fields, "fail")
    over = parse_number(fields, "over")
    if max(count, fail) > MAX_VALUE:
        raise InvalidLineError("count: out of range")
    if not 0 < over <= MS_PER_HOUR:
        raise InvalidLineError("over: out of range")
    return count, fail, over


MS_PER_HOUR = 3_600_000.0  # no period and no response time of a report is as long


def _parse_traffic(fields: Mapping[str, str], known: KnownNames) -> face.BackendTraffic:
    count, fail, over = _parse_sums(fields)
    if fail > count:
        raise InvalidLineError("fail: more than there were")
    mean = parse_number(fields, "mean")
    if mean > MS_PER_HOUR:
        raise InvalidLineError("mean: out of range")
    pairs = [pair.partition(":")[::2] for pair in filter(None, fields.get("util", "").split(","))]
    return face.BackendTraffic(
        parse_name_among(fields, "site", known.zones),
        parse_name_among(fields, "target", known.backends),
        count,
        fail,
        ticks_from_ms(mean),
        ticks_from_ms(over),
        load_values(dict(pairs)),
    )


def _parse_demand(fields: Mapping[str, str], known: KnownNames) -> face.SliceDemand:
    if parse_integer(fields, "range") >= known.slices:
        raise InvalidLineError("range: does not exist")
    # Failures may exceed the count: a request that fails in this period may have arrived in an earlier one.
    count, fail, over = _parse_sums(fields)
    return face.SliceDemand(
        parse_integer(fields, "range"),
        parse_name_among(fields, "lane", known.methods),
        count,
        fail,
        ticks_from_ms(over),
    )


def load_values(found: Mapping[str, object]) -> dict[str, float]:
    """Return the values of a load report; one invalid value makes the whole report invalid."""
    return parse_load_report((name, parse_number(found, name)) for name in found)


REPORT_PARSERS = {"upstream_stats": _parse_traffic, "range_stats": _parse_demand}


def parse_report(kind: str, fields: Mapping[str, str], known: KnownNames) -> face.Event:
    """Return the event of a collector's report; raises InvalidLineError."""
    if kind not in REPORT_PARSERS:
        raise InvalidLineError(f"{kind}: no such report")
    return REPORT_PARSERS[kind](fields, known)


RELAY_EVENT_PARSERS = {
    "attach": _parse_joined,
    "detach": lambda fields: face.ProxyLeft(parse_integer(fields, "id")),
    "done": _parse_acknowledged,
    "owner": lambda fields: face.SliceOwnership(parse_integer(fields, "range"), parse_flag(fields, "flag")),
    "entry": lambda fields: face.StoredRoute(
        parse_integer(fields, "range"), parse_text(fields, "target"), parse_number(fields, "rps")
    ),
}
