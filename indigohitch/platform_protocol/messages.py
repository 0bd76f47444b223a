"""Parses protocol messages, received as lines from collectors and from the relay, into events."""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from .. import errors
from .. import interface as face
from ..settings import parse_load_report, ticks_from_ms


class InvalidLineError(errors.InvalidDataError):
    """Raised for a message that does not conform to the protocol."""

    remedy = "update the sender to the protocol version of this program"


class CorruptConnectionError(errors.InvalidDataError):
    """Raised for input that is no message at all, so that the start of the next message is unknown."""

    remedy = "find out which program connects to this address"


@dataclass(slots=True)
class KnownNames:
    """Holds the zones, methods, slices and backends that a report may name."""

    zones: frozenset[str]
    methods: frozenset[str]
    slices: int  # number of slices
    backends: Container[str]

    @classmethod
    def of(
        cls, settings: Mapping[str, Any], entries: Iterable[face.BackendEntry], backends: Container[str]
    ) -> KnownNames:
        """Return the names in the settings; without zones there, the zones of the backends of `entries`."""
        zones = settings.get("zones")
        return cls(
            frozenset(zones if zones is not None else (entry.zone for entry in entries)),
            frozenset(method.name for method in settings["methods"]),
            settings.get("slices") or face.ALL_TABLES,
            backends,
        )


MAX_VALUE = 10**9  # far above any count, share or time (in ms) that a report contains


def parse_number(fields: Mapping[str, str], name: str) -> float:
    """Return a field as a number from 0 to MAX_VALUE; raises InvalidLineError."""
    try:
        value = float(fields[name])
    except (KeyError, TypeError, ValueError):
        raise InvalidLineError(f"{name}: not a number") from None
    if not 0 <= value <= MAX_VALUE:  # NaN fails the comparison too
        raise InvalidLineError(f"{name}: out of range")
    return value


def parse_integer(fields: Mapping[str, str], name: str) -> int:
    """Return a field as a non-negative integer of at most 15 digits; raises InvalidLineError."""
    value = fields.get(name, "")
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise InvalidLineError(f"{name}: not a non-negative integer of at most 15 digits")
    return int(value)


def parse_flag(fields: Mapping[str, str], name: str) -> bool:
    """Return a field whose value must be 0 or 1 as a bool; raises InvalidLineError."""
    if fields.get(name) not in ("0", "1"):
        raise InvalidLineError(f"{name}: not 0 or 1")
    return fields[name] == "1"


def parse_text(fields: Mapping[str, str], name: str) -> str:
    """Return a field, which must not be empty; raises InvalidLineError."""
    if not fields.get(name):
        raise InvalidLineError(f"{name}: missing")
    return fields[name]


def parse_known_name(fields: Mapping[str, str], name: str, known_names: Container[str]) -> str:
    """Return a field whose value must be in `known_names`; raises InvalidLineError."""
    if parse_text(fields, name) not in known_names:
        raise InvalidLineError(f"{name}: unknown value")
    return fields[name]


def parse_message(line: bytes) -> tuple[str, dict[str, str]]:
    """Return the kind and the fields of a message; raises CorruptConnectionError."""
    try:
        kind, *pairs = line.decode("ascii").split()
        if not (kind.isidentifier() and line.isascii()):
            raise ValueError("the kind of the message is not an identifier")
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


def _parse_totals(fields: Mapping[str, str]) -> tuple[int, int, float]:
    """Return the number of requests, the number of failures, and the period of both in ms."""
    count = parse_integer(fields, "count")
    failures = parse_integer(fields, "fail")
    period_ms = parse_number(fields, "over")
    if max(count, failures) > MAX_VALUE:
        raise InvalidLineError("count or fail: out of range")
    if not 0 < period_ms <= MS_PER_HOUR:
        raise InvalidLineError("over: out of range")
    return count, failures, period_ms


MS_PER_HOUR = 3_600_000.0  # upper limit: periods and response times in reports are shorter


def _parse_traffic(fields: Mapping[str, str], known: KnownNames) -> face.BackendTraffic:
    count, failures, period_ms = _parse_totals(fields)
    if failures > count:
        raise InvalidLineError("fail: exceeds count")
    mean_ms = parse_number(fields, "mean")
    if mean_ms > MS_PER_HOUR:
        raise InvalidLineError("mean: out of range")
    pairs = [pair.partition(":")[::2] for pair in filter(None, fields.get("util", "").split(","))]
    return face.BackendTraffic(
        parse_known_name(fields, "site", known.zones),
        parse_known_name(fields, "target", known.backends),
        count,
        failures,
        ticks_from_ms(mean_ms),
        ticks_from_ms(period_ms),
        parse_load_values(dict(pairs)),
    )


def _parse_demand(fields: Mapping[str, str], known: KnownNames) -> face.SliceDemand:
    if parse_integer(fields, "range") >= known.slices:
        raise InvalidLineError("range: no slice has this number")
    # Failures may exceed the count: a request that fails in this period may have arrived in an earlier one.
    count, failures, period_ms = _parse_totals(fields)
    return face.SliceDemand(
        parse_integer(fields, "range"),
        parse_known_name(fields, "lane", known.methods),
        count,
        failures,
        ticks_from_ms(period_ms),
    )


def parse_load_values(fields: Mapping[str, object]) -> dict[str, float]:
    """Return the values of a load report; a single invalid value makes the whole report invalid."""
    return parse_load_report((name, parse_number(fields, name)) for name in fields)


REPORT_PARSERS = {"upstream_stats": _parse_traffic, "range_stats": _parse_demand}


def parse_report(kind: str, fields: Mapping[str, str], known: KnownNames) -> face.Event:
    """Return the event for a collector's report; raises InvalidLineError."""
    if kind not in REPORT_PARSERS:
        raise InvalidLineError(f"{kind}: unknown kind of report")
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
