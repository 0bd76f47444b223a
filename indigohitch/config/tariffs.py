"""Parsers of the words of electricity tariffs: prices, power, times of the day, time zones, kinds of day."""

from __future__ import annotations

import re
from collections.abc import Callable

from ..net.clock import SECOND
from . import words

DAYS = ("workday", "saturday", "sunday", "holiday")
DAY = 24 * 3600 * SECOND
UNITS_PER_CENT = 1000  # prices are stored in thousandths of a cent
# 10 times the highest hourly price on record; a higher one is a typing error.
MAX_PRICE = 4000 * UNITS_PER_CENT
_PRICE = re.compile(r"-?\d{1,7}(\.\d{1,3})?\Z")
_ZONE = re.compile(r"[A-Za-z0-9_+-]+(/[A-Za-z0-9_+-]+){0,2}\Z")


def price(text: str) -> int:
    """Converts cents to thousandths of a cent; a price may be negative."""
    if not _PRICE.match(text) or abs(float(text)) * UNITS_PER_CENT > MAX_PRICE:
        raise ValueError(f"{text!r} is no price: cents for a kWh such as 24.5")
    return round(float(text) * UNITS_PER_CENT)


def power(text: str) -> int:
    """Converts `300W` or `1.5kW` to watts."""
    match = re.fullmatch(r"(\d{1,7}(?:\.\d{1,3})?)(W|kW)", text)
    if match is None or not float(match[1]):
        raise ValueError(f"{text!r} is no power: 300W or 1.5kW")
    return round(float(match[1]) * (1000 if match[2] == "kW" else 1))


def clock(text: str) -> int:
    """Converts `06:00` or `06:00:30`, 24:00 at most, to tenths of a millisecond since midnight."""
    match = re.fullmatch(r"(\d\d):(\d\d)(?::(\d\d))?", text)
    parts = [int(part or 0) for part in match.groups()] if match else [99, 0, 0]
    found = ((parts[0] * 60 + parts[1]) * 60 + parts[2]) * SECOND
    if found > DAY or max(parts[1:]) > 59:
        raise ValueError(f"{text!r} is no time of day: 06:00, 24:00 at most")
    return found


def hours(text: str) -> tuple[int, int]:
    """Parses `06:00-22:00` to begin and end in tenths of a millisecond since midnight."""
    begin, dash, end = text.partition("-")
    if not dash or clock(begin) >= clock(end):
        raise ValueError(f"{text!r}: from-to is wanted, as 06:00-22:00; a night takes two lines")
    return clock(begin), clock(end)


def days(text: str) -> tuple[str, ...]:
    """Parses kinds of day, separated by commas; `any` gives an empty tuple."""
    found = tuple(text.split(","))
    if text != "any" and not set(found) <= set(DAYS):
        raise ValueError(f"{text!r}: any, or some of {', '.join(DAYS)}")
    return () if text == "any" else found


def zone(text: str) -> str:
    """Checks the form of a time zone's name, not whether the zone exists, and returns it unchanged."""
    if not _ZONE.match(text):
        raise ValueError(f"{text!r} is no zone: a name such as Europe/Berlin")
    return text


def country(text: str) -> str:
    """Checks the form of a country code such as `DE` or `DE-BE` and returns it unchanged."""
    if not re.fullmatch(r"[A-Z]{2}(-[A-Z0-9]{1,3})?", text):
        raise ValueError(f"{text!r}: a country such as DE, or with its part such as DE-BE")
    return text


def names(text: str) -> tuple[str, ...]:
    """Parses names that are separated by commas."""
    return tuple(words.name(one) for one in text.split(","))


def pairs(read: Callable[[str], int]) -> Callable[[str], dict[str, int]]:
    """Returns a parser of `NAME=VALUE,...` whose values are parsed by `read`."""

    def pairs(text: str) -> dict[str, int]:
        found: dict[str, int] = {}
        for pair in text.split(","):
            name, equals, value = pair.partition("=")
            if not equals or name in found:
                raise ValueError(f"{pair!r}: NAME=VALUE is wanted, each once")
            found[words.name(name)] = read(value)
        return found

    return pairs
