"""Parses and checks lists of dated electricity prices, and decides whether one may replace the current one.

    edition 7
    each 1h
    eros 2026-12-02T14:00+01:00 24.5

A line names a site, the start with its offset from UTC, and the price of a kWh in cents, which may be
negative. Local times alone would be ambiguous on the night when clocks go back, and missing on the night when
they go forward.  No I/O.
"""

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
# A month of hourly prices for four sites. A list is one log entry, which this keeps to 48 KB at most.
MAX_LINES = 3000
INTERVALS = {
    "1h": HOUR,
    "30m": HOUR // 2,
    "15m": HOUR // 4,
    "5m": HOUR // 12,
    "1m": HOUR // 60,
    "10s": 10 * SECOND,
    "1s": SECOND,
}
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def parse_time(text: str) -> int:
    """Returns the fleet time (tenths of a ms since the Unix epoch) of `2026-12-02T14:00+01:00`.

    Raises:
        InvalidRequestError: the text is not a time, or has no offset from UTC.
    """
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise InvalidRequestError(
            f"{text!r} is not a valid time", remedy="give a time such as 2026-12-02T14:00+01:00"
        ) from None
    if time.tzinfo is None:
        raise InvalidRequestError(
            f"{text!r} has no offset from UTC",
            remedy="give a time such as 2026-12-02T14:00+01:00, or one that ends in Z",
        ) from None
    return (time.astimezone(UTC) - _EPOCH) // timedelta(microseconds=100)


def _lines(text: str) -> Iterator[tuple[int, list[str]]]:
    """Yields the number (from 1) and the words of each line that is neither blank nor a comment."""
    for line_number, line in enumerate(text.splitlines(), 1):
        if words := line.partition("#")[0].split():
            yield line_number, words


def parse(text: str, source: str, sites: Collection[str]) -> Prices:
    """Parses a price list; `sites` are the names that may occur in it.

    Prices of one site have to follow one another without gaps, at the interval that the list declares.

    Raises:
        InvalidDataError: names the line of the first mistake; no part of such a list is used.
    """
    edition, interval = 0, HOUR
    found, lines = {}, {}

    def bad(line_number: int, what: str, remedy: str) -> InvalidDataError:
        return InvalidDataError(what, f"{source}:{line_number}", f"{remedy}; the last good prices stand")

    for line_number, words in _lines(text):
        if line_number > MAX_LINES:
            raise bad(line_number, f"more than {MAX_LINES} lines", "give fewer days in one list")
        if words[0] in ("edition", "each") and len(words) == 2:
            if words[0] == "each" and (words[1] not in INTERVALS or found):
                raise bad(
                    line_number,
                    f"invalid line: each {words[1]}",
                    f"put `each` before all prices, with one of {', '.join(INTERVALS)}",
                )
            if words[0] == "edition" and (not words[1].isdecimal() or edition):
                raise bad(
                    line_number,
                    f"invalid line: edition {words[1]}",
                    "give one whole number, higher than in the list before",
                )
            edition, interval = (
                (int(words[1]), interval) if words[0] == "edition" else (edition, INTERVALS[words[1]])
            )
            continue
        if len(words) != 3:
            raise bad(line_number, f"line has {len(words)} words", "write a line as SITE START PRICE")
        site, start, price_text = words
        if site not in sites:
            raise bad(line_number, f"no site {site}", f"use one of {', '.join(sorted(sites))}")
        try:
            millicents = price(price_text)
        except ValueError as error:
            raise bad(line_number, str(error), "give a price in each line") from None
        try:
            time = parse_time(start)
        except InvalidRequestError as error:
            raise bad(line_number, error.problem, error.remedy) from None
        if time % interval:
            raise bad(
                line_number,
                f"{start} is not on the hour" if interval == HOUR else f"{start} is not a multiple of `each`",
                "let each start be a multiple of `each` after a full hour of UTC",
            )
        if (first := lines.setdefault((site, time), line_number)) != line_number:
            raise bad(
                line_number, f"{site} {start} is already in line {first}", "give one price for each start"
            )
        found.setdefault(site, {})[time] = millicents
    if not edition or not found:
        raise bad(1, "no edition" if found else "no prices", "give a first line `edition N`, and prices")
    for site, prices in found.items():
        ordered = sorted(prices)
        before_gap = next(
            (earlier for earlier, later in zip(ordered, ordered[1:]) if later - earlier != interval), None
        )
        if before_gap is not None:
            after = (_EPOCH + timedelta(microseconds=(before_gap + interval) * 100)).isoformat(
                timespec="seconds"
            )
            raise bad(
                lines[site, before_gap],
                f"{site}: the price of {after} is missing",
                "give a list without gaps",
            )
    return Prices(edition, interval, found)


def check(new: Prices, current: Prices | None, current_digest: bytes, now: int) -> None:
    """Checks whether `new` may replace `current`, whose list had the fingerprint `current_digest`.

    Raises:
        InvalidRequestError: `new` has a lower edition, differs from the last list under the same edition, or
            ends before `now`.
    """
    if current is not None and new.edition < current.edition:
        raise InvalidRequestError(
            f"edition {new.edition} is older than {current.edition}, which stands",
            remedy="a list that corrects others has a higher edition",
        )
    if current is not None and new.edition == current.edition and fingerprint(new) != current_digest:
        raise InvalidRequestError(
            f"edition {new.edition} was another list before", remedy="a corrected list has a higher edition"
        )
    if max(max(prices) for prices in new.sites.values()) + new.each <= now:
        raise InvalidRequestError(
            "the list is late: its last price is over",
            remedy="fetch the list of today; the last good prices stand",
        )


def fingerprint(new: Prices) -> bytes:
    """Returns a digest that tells two lists with the same edition number apart."""
    return digest(msgspec.msgpack.encode(new))


def merge(new: Prices, current: Prices | None, cutoff: int) -> Prices:
    """Returns the current prices, replaced by those of the new list where it has one for the same start.

    Prices whose interval ended before `cutoff` are removed.  If the interval differs, the current prices are
    dropped.
    """
    old = current.sites if current is not None and current.each == new.each else {}
    sites = {}
    for site in sorted({*old, *new.sites}):
        prices = {**old.get(site, {}), **new.sites.get(site, {})}
        sites[site] = {start: prices[start] for start in sorted(prices) if start + new.each > cutoff}
    return Prices(new.edition, new.each, sites)
