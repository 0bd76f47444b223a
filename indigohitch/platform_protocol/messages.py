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
class Known:
    """What a report may name: anything else does not exist."""

    zones: frozenset[str]
    methods: frozenset[str]
    slices: int
    backends: Container[str]


MOST = 10**9  # no count, share or time in ms of a report is near it


def number(words: Mapping[str, str], name: str) -> float:
    try:
        value = float(words[name])
    except (KeyError, TypeError, ValueError):
        raise InvalidLineError(f"{name}: not a number") from None
    if not 0 <= value <= MOST:  # nor is NaN
        raise InvalidLineError(f"{name}: out of range")
    return value


def whole(words: Mapping[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise InvalidLineError(f"{name}: not a whole number")
    return int(value)


def flag(words: Mapping[str, str], name: str) -> bool:
    if words.get(name) not in ("0", "1"):
        raise InvalidLineError(f"{name}: not 0 or 1")
    return words[name] == "1"


def text(words: Mapping[str, str], name: str) -> str:
    if not words.get(name):
        raise InvalidLineError(f"{name}: missing")
    return words[name]


def listed(words: Mapping[str, str], name: str, among: Container[str]) -> str:
    if text(words, name) not in among:
        raise InvalidLineError(f"{name}: does not exist")
    return words[name]


def split(line: bytes) -> tuple[str, dict[str, str]]:
    """A message's kind and its words."""
    try:
        kind, *words = line.decode("ascii").split()
        if not (kind.isidentifier() and line.isascii()):
            raise ValueError("no kind of message")
        return kind, dict(word.split("=", 1) for word in words)
    except ValueError as bad:
        raise GarbledConnectionError(str(bad)) from None


def _joined(words):
    return face.ProxyJoined(whole(words, "id"), text(words, "site"), number(words, "rps"), flag(words, "new"))


def _acked(words):
    return face.UpdateAcknowledged(
        whole(words, "id"), whole(words, "seq"), ticks_from_ms(number(words, "ms"))
    )


def _sums(words) -> tuple[int, int, float]:
    """How many, how many failed, and over what time in ms."""
    count, fail, over = whole(words, "count"), whole(words, "fail"), number(words, "over")
    if max(count, fail) > MOST:
        raise InvalidLineError("count: out of range")
    if not 0 < over <= HOUR:
        raise InvalidLineError("over: out of range")
    return count, fail, over


HOUR = 3_600_000.0  # in ms: no sum is as old and no answer takes as long


def _traffic(words, known: Known):
    count, fail, over = _sums(words)
    if fail > count:
        raise InvalidLineError("fail: more than there were")
    mean = number(words, "mean")
    if mean > HOUR:
        raise InvalidLineError("mean: out of range")
    pairs = [pair.partition(":")[::2] for pair in filter(None, words.get("util", "").split(","))]
    return face.BackendTraffic(
        listed(words, "site", known.zones),
        listed(words, "target", known.backends),
        count,
        fail,
        ticks_from_ms(mean),
        ticks_from_ms(over),
        load_values(dict(pairs)),
    )


def _demand(words, known: Known):
    if whole(words, "range") >= known.slices:
        raise InvalidLineError("range: does not exist")
    # More may fail than came: what fails in one period came in an earlier one, and is told of good slices.
    count, fail, over = _sums(words)
    return face.SliceDemand(
        whole(words, "range"), listed(words, "lane", known.methods), count, fail, ticks_from_ms(over)
    )


def load_values(found: Mapping[str, object]) -> dict[str, float]:
    """A load report; with one value that can't be, none of it counts."""
    return parse_load_report((name, number(found, name)) for name in found)


REPORTS = {"upstream_stats": _traffic, "range_stats": _demand}


def report(kind: str, words: Mapping[str, str], known: Known) -> face.Event:
    if kind not in REPORTS:
        raise InvalidLineError(f"{kind}: no such report")
    return REPORTS[kind](words, known)


NEWS = {
    "attach": _joined,
    "detach": lambda words: face.ProxyLeft(whole(words, "id")),
    "done": _acked,
    "owner": lambda words: face.SliceOwnership(whole(words, "range"), flag(words, "flag")),
    "entry": lambda words: face.StoredRoute(
        whole(words, "range"), text(words, "target"), number(words, "rps")
    ),
}
