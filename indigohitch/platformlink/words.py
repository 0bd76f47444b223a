"""The words of the protocol's messages, and what they say in the module's: one reading for the lines
of collectors and the relay's news."""
from __future__ import annotations

import math
from collections.abc import Mapping

from .. import interface as face
from ..bootstrap import load_report, tenths


class Unreadable(ValueError):
    """A message that is not what the protocol page says."""


def number(words: Mapping[str, str], name: str) -> float:
    try:
        value = float(words[name])
    except (KeyError, ValueError):
        raise Unreadable(f"{name}: not a number") from None
    if not math.isfinite(value) or value < 0:
        raise Unreadable(f"{name}: out of range")
    return value


def whole(words: Mapping[str, str], name: str) -> int:
    value = words.get(name, "")
    if not (value.isascii() and value.isdigit() and len(value) < 16):
        raise Unreadable(f"{name}: not a whole number")
    return int(value)


def flag(words: Mapping[str, str], name: str) -> bool:
    if words.get(name) not in ("0", "1"):
        raise Unreadable(f"{name}: not 0 or 1")
    return words[name] == "1"


def text(words: Mapping[str, str], name: str) -> str:
    if not words.get(name):
        raise Unreadable(f"{name}: missing")
    return words[name]


def _load(words: Mapping[str, str]) -> dict[str, float]:
    """`util=inflight:7,util:0.61`; a report that can't be read does not spoil the line it came with."""
    pairs = []
    for pair in filter(None, words.get("util", "").split(",")):
        name, _, value = pair.partition(":")
        try:
            pairs.append((name, number({name: value}, name)))
        except Unreadable:
            continue
    return load_report(pairs)


def _joined(words):
    return face.ProxyJoined(whole(words, "id"), text(words, "site"), number(words, "rps"), flag(words, "new"))


def _acked(words):
    return face.Acked(whole(words, "id"), whole(words, "seq"), tenths(number(words, "ms")))


def _traffic(words):
    return face.Traffic(text(words, "site"), text(words, "target"), whole(words, "count"),
                        whole(words, "fail"), tenths(number(words, "mean")),
                        tenths(number(words, "over")), _load(words))


def _demand(words):
    return face.SliceDemand(whole(words, "range"), text(words, "lane"), whole(words, "count"),
                            whole(words, "fail"), tenths(number(words, "over")))


REPORTS = {"upstream_stats": _traffic, "range_stats": _demand}
NEWS = {
    "attach": _joined,
    "detach": lambda words: face.ProxyLeft(whole(words, "id")),
    "done": _acked,
    "owner": lambda words: face.Charge(whole(words, "range"), flag(words, "flag")),
    "entry": lambda words: face.StoredLine(whole(words, "range"), text(words, "target"),
                                           number(words, "rps")),
}
