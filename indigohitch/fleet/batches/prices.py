"""Lists of dated prices: read, checked, and whether they may stand in place of those that do.  No I/O.

    edition 7
    each 1h
    eros 2026-12-02T14:00+01:00 24.5

A line tells a site, the start with its offset from UTC (local times alone would be doubled on one night and
missing on another), and the price of a kWh in cents, which may be below 0."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from datetime import UTC, datetime, timedelta

import msgspec

from ...config.tariffs import price
from ...encoding.rows import digest
from ...errors import InvalidDataError, InvalidRequestError
from ...net.clock import SECOND
from .rows import Prices

HOUR = 3600 * SECOND
LINES = 3000  # a month of hours for four sites; a list is one entry, 48 KB at most
EACH = {
    "1h": HOUR,
    "30m": HOUR // 2,
    "15m": HOUR // 4,
    "5m": HOUR // 12,
    "1m": HOUR // 60,
    "10s": 10 * SECOND,
    "1s": SECOND,
}
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def moment(text: str) -> int:
    """`2026-12-02T14:00+01:00` as fleet time.  Raises Unfit."""
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        raise InvalidRequestError(
            f"{text!r} is no time", remedy="a time such as 2026-12-02T14:00+01:00"
        ) from None
    if at.tzinfo is None:
        raise InvalidRequestError(
            f"{text!r} does not say its offset from UTC",
            remedy="a time such as 2026-12-02T14:00+01:00, or with Z",
        ) from None
    return (at.astimezone(UTC) - _EPOCH) // timedelta(microseconds=100)


def _lines(text: str) -> Iterator[tuple[int, list[str]]]:
    for at, line in enumerate(text.splitlines(), 1):
        if words := line.partition("#")[0].split():
            yield at, words


def read(text: str, source: str, sites: Collection[str]) -> Prices:
    """Raises Unreadable with the line of the first mistake; nothing of such a list is used."""
    edition, each, found, lines = 0, HOUR, {}, {}

    def bad(at: int, what: str, remedy: str) -> InvalidDataError:
        return InvalidDataError(what, f"{source}:{at}", f"{remedy}; the last good prices stand")

    for at, words in _lines(text):
        if at > LINES:
            raise bad(at, f"more than {LINES} lines", "give fewer days at once")
        if words[0] in ("edition", "each") and len(words) == 2:
            if words[0] == "each" and (words[1] not in EACH or found):
                raise bad(at, f"each {words[1]}", f"before all prices, one of {', '.join(EACH)}")
            if words[0] == "edition" and (not words[1].isdecimal() or edition):
                raise bad(at, f"edition {words[1]}", "one whole number that grows with each list")
            edition, each = (int(words[1]), each) if words[0] == "edition" else (edition, EACH[words[1]])
            continue
        if len(words) != 3:
            raise bad(at, f"{len(words)} words", "a line is SITE START PRICE")
        site, start, told = words
        if site not in sites:
            raise bad(at, f"no site {site}", f"there are {', '.join(sorted(sites))}")
        try:
            cents = price(told)
        except ValueError as no:
            raise bad(at, str(no), "a number in each line") from None
        try:
            time = moment(start)
        except InvalidRequestError as unfit:
            raise bad(at, unfit.problem, unfit.remedy) from None
        if time % each:
            raise bad(
                at,
                f"{start} is not on the hour" if each == HOUR else f"{start} is not on the grid",
                "starts lie `each` apart, counted from the full hour of UTC",
            )
        if (first := lines.setdefault((site, time), at)) != at:
            raise bad(at, f"{site} {start} stands already in line {first}", "one price for each start")
        found.setdefault(site, {})[time] = cents
    if not edition or not found:
        raise bad(1, "no edition" if found else "no prices", "a first line `edition N`, and prices")
    for site, prices in found.items():
        ordered = sorted(prices)
        gap = next((a for a, b in zip(ordered, ordered[1:]) if b - a != each), None)
        if gap is not None:
            after = (_EPOCH + timedelta(microseconds=(gap + each) * 100)).isoformat(timespec="seconds")
            raise bad(lines[site, gap], f"{site}: the price of {after} is missing", "a list without gaps")
    return Prices(edition, each, found)


def check(new: Prices, held: Prices | None, known: bytes, now: int) -> None:
    """May it stand in place of `held`, which came with the list of digest `known`?  Raises Unfit: an older
    edition, another list under one number, or late: it ends before now."""
    if held is not None and new.edition < held.edition:
        raise InvalidRequestError(
            f"edition {new.edition} is older than {held.edition}, which stands",
            remedy="a list that corrects others has a higher edition",
        )
    if held is not None and new.edition == held.edition and fingerprint(new) != known:
        raise InvalidRequestError(
            f"edition {new.edition} was another list before", remedy="a corrected list has a higher edition"
        )
    if max(max(prices) for prices in new.sites.values()) + new.each <= now:
        raise InvalidRequestError(
            "the list is late: its last price is over",
            remedy="fetch the list of today; the last good prices stand",
        )


def fingerprint(new: Prices) -> bytes:
    return digest(msgspec.msgpack.encode(new))


def merged(new: Prices, held: Prices | None, before: int) -> Prices:
    """The new list's prices, else the last good ones; what ended before `before` is forgotten."""
    old = held.sites if held is not None and held.each == new.each else {}
    sites = {}
    for site in sorted({*old, *new.sites}):
        prices = {**old.get(site, {}), **new.sites.get(site, {})}
        sites[site] = {at: prices[at] for at in sorted(prices) if at + new.each > before}
    return Prices(new.edition, new.each, sites)
