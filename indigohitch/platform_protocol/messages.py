"""The words of the protocol's messages, and what they say in the module's: one reading for the lines
of collectors and the relay's news."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

from .. import errors
from .. import interface as face
from ..settings import parse_load_report, ticks_from_ms


class InvalidLineError(errors.InvalidDataError):
    """A message that is not what the protocol page says."""

    remedy = "bring the sender to this program's version of the protocol"


class GarbledConnectionError(errors.InvalidDataError):
    """What came is no message at all: where the next one begins can't be known."""

    remedy = "find who connects there"


@dataclass(slots=True)
class KnownNames:
    """What a report may name: anything else does not exist."""

    zones: frozenset[str]
    methods: frozenset[str]
    slices: int
    backends: Container[str]


MAX_VALUE = 10**9  # no count, share or time in ms of a report is near it


def parse_number(words: Mapping[str, str], name: str) -> float:
    try:
        value = float(words[name])
    except (KeyError, TypeError, ValueError):
        raise InvalidLineError(f"{name}: not a number") from None
    if not 0 <= value <= MAX_VALUE:  # nor is NaN
        raise InvalidLineError(f"{name}: out of range")
    return value


def parse_integer(words: Mapping[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise InvalidLineError(f"{name}: not a whole number")
    return int(value)


def parse_flag(words: Mapping[str, str], name: str) -> bool:
    if words.get(name) not in ("0", "1"):
        raise InvalidLineError(f"{name}: not 0 or 1")
    return words[name] == "1"


def parse_text(words: Mapping[str, str], name: str) -> str:
    if not words.get(name):
        raise InvalidLineError(f"{name}: missing")
    return words[name]


def parse_name_among(words: Mapping[str, str], name: str, among: Container[str]) -> str:
    if parse_text(words, name) not in among:
        raise InvalidLineError(f"{name}: does not exist")
    return words[name]


def parse_message(line: bytes) -> tuple[str, dict[str, str]]:
    """A message's kind and its words."""
    try:
        kind, *words = line.decode("ascii").split()
        if not (kind.isidentifier() and line.isascii()):
            raise ValueError("no kind of message")
        return kind, dict(word.split("=", 1) for word in words)
    except ValueError as bad:
        raise GarbledConnectionError(str(bad)) from None


def _parse_joined(words):
    return face.ProxyJoined(
        parse_integer(words, "id"),
        parse_text(words, "site"),
        parse_number(words, "rps"),
        parse_flag(words, "new"),
    )


def _parse_acknowledged(words):
    return face.UpdateAcknowledged(
        parse_integer(words, "id"), parse_integer(words, "seq"), ticks_from_ms(parse_number(words, "ms"))
    )


def _parse_sums(words) -> tuple[int, int, float]:
    """How many, how many failed, and over what time in ms."""
    count, fail, over = (
        parse_integer(words, "count"),
        parse_integer(words, "fail"),
        parse_number(words, "over"),
    )
    if max(count, fail) > MAX_VALUE:
        raise InvalidLineError("count: out of range")
    if not 0 < over <= MS_PER_HOUR:
        raise InvalidLineError("over: out of range")
    return count, fail, over


MS_PER_HOUR = 3_600_000.0  # in ms: no sum is as old and no answer takes as long


def _parse_traffic(words, known: KnownNames):
    count, fail, over = _parse_sums(words)
    if fail > count:
        raise InvalidLineError("fail: more than there were")
    mean = parse_number(words, "mean")
    if mean > MS_PER_HOUR:
        raise InvalidLineError("mean: out of range")
    pairs = [pair.partition(":")[::2] for pair in filter(None, words.get("util", "").split(","))]
    return face.BackendTraffic(
        parse_name_among(words, "site", known.zones),
        parse_name_among(words, "target", known.backends),
        count,
        fail,
        ticks_from_ms(mean),
        ticks_from_ms(over),
        load_values(dict(pairs)),
    )


def _parse_demand(words, known: KnownNames):
    if parse_integer(words, "range") >= known.slices:
        raise InvalidLineError("range: does not exist")
    # More may fail than came: what fails in one period came in an earlier one, and is told of good slices.
    count, fail, over = _parse_sums(words)
    return face.SliceDemand(
        parse_integer(words, "range"),
        parse_name_among(words, "lane", known.methods),
        count,
        fail,
        ticks_from_ms(over),
    )


def load_values(found: Mapping[str, object]) -> dict[str, float]:
    """A load report; with one value that can't be, none of it counts."""
    return parse_load_report((name, parse_number(found, name)) for name in found)


REPORT_PARSERS = {"upstream_stats": _parse_traffic, "range_stats": _parse_demand}


def parse_report(kind: str, words: Mapping[str, str], known: KnownNames) -> face.Event:
    if kind not in REPORT_PARSERS:
        raise InvalidLineError(f"{kind}: no such report")
    return REPORT_PARSERS[kind](words, known)


RELAY_EVENT_PARSERS = {
    "attach": _parse_joined,
    "detach": lambda words: face.ProxyLeft(parse_integer(words, "id")),
    "done": _parse_acknowledged,
    "owner": lambda words: face.SliceOwnership(parse_integer(words, "range"), parse_flag(words, "flag")),
    "entry": lambda words: face.StoredRoute(
        parse_integer(words, "range"), parse_text(words, "target"), parse_number(words, "rps")
    ),
}
