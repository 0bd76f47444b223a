"""Prices of electricity by site and time, from price bands, kinds of day and dated prices.  No I/O.

Times are converted only from fleet time to the site's local clock, never back.  So a day on which clocks
change has 23 or 25 hours without a special case, and both passes of a repeated hour have their price.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, date, datetime, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

from ...config.batches import BatchesText
from ...config.tariffs import DAYS
from ...errors import InvalidRequestError
from ...net.clock import SECOND
from .rows import Band, Contract, Site

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


@lru_cache(64)
def zone(name: str) -> ZoneInfo:
    """Loads a time zone of the IANA database.

    Raises:
        InvalidRequestError: the zone is unknown.
    """
    try:
        return ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        raise InvalidRequestError(
            f"no time zone {name!r}",
            remedy="give a name such as Europe/Berlin; on a system without "
            "a time zone database install the package tzdata",
        ) from None


@lru_cache(64)
def _holidays(place: str, year: int) -> frozenset[date]:
    """Returns the public holidays of a year at `place`: a country or subdivision such as DE or DE-BE.

    Raises:
        InvalidRequestError: the place is unknown, or the library `holidays` is not installed.
    """
    try:
        import holidays  # optional: needed only where a site names a country
    except ImportError:
        raise InvalidRequestError(
            f"holidays of {place} need the library `holidays`, which is not installed",
            remedy="install the extra `fleet`, or remove `holidays` from the site's line",
        ) from None
    country, _, subdivision = place.partition("-")
    try:
        return frozenset(holidays.country_holidays(country, subdiv=subdivision or None, years=year))
    except NotImplementedError:
        raise InvalidRequestError(
            f"no holidays are known for {place!r}",
            remedy="give a country such as DE, or one with a subdivision such as DE-BE",
        ) from None


def local_time(site: Site, time: int) -> datetime:
    """Converts fleet time (tenths of a ms since the Unix epoch) to the local time of the site."""
    return (_EPOCH + timedelta(microseconds=time * 100)).astimezone(zone(site.zone))


def kind_of_day(site: Site, day: date) -> str:
    """Returns `holiday`, `sunday`, `saturday` or `workday`; a public holiday wins over the weekday."""
    if site.holidays and day in _holidays(site.holidays, day.year):
        return "holiday"
    return DAYS[max(0, day.weekday() - 4)]


def hour_of_day(site: Site, time: int) -> int:
    """Returns the hour of the local day, 0 to 23, at a fleet time."""
    return local_time(site, time).hour


def day_bounds(site: Site, day: date) -> tuple[int, int]:
    """Returns the fleet times at which a local day begins and ends: 23, 24 or 25 hours apart."""

    def midnight(of: date) -> int:
        begin = datetime(of.year, of.month, of.day, tzinfo=zone(site.zone))
        return (begin.astimezone(UTC) - _EPOCH) // timedelta(microseconds=100)

    return midnight(day), midnight(day + timedelta(days=1))


def band_at(site: Site, time: int) -> Band | None:
    """Returns the first price band that covers the local time and kind of day, None if there is none."""
    local_at = local_time(site, time)
    kind = kind_of_day(site, local_at.date())
    since_midnight = (
        (local_at.hour * 60 + local_at.minute) * 60 + local_at.second
    ) * SECOND + local_at.microsecond // 100
    return next(
        (
            band
            for band in site.bands
            if (not band.days or kind in band.days) and band.begin <= since_midnight < band.end
        ),
        None,
    )


def price_at(site: Site, time: int, dated: Mapping[int, int], each: int) -> int | None:
    """Returns the price of a kWh at `time` in thousandths of a cent, None where it is not known.

    A dated price takes precedence over the bands.  `dated` maps starts to prices, each valid for `each` (0:
    there are none); `each` divides the hour, so the price at the last multiple of it is the one in force.
    """
    if each and (price := dated.get(time - time % each)) is not None:
        return price
    band = band_at(site, time)
    return band.price if band is not None else None


def find_unknown_places(text: BatchesText) -> list[tuple[int, str]]:
    """Returns (line, message) of each site whose time zone or holiday country is unknown.

    The parser of the operator's file checks only their form.
    """
    found = []
    for site in text.sites.values():
        for look_up, name in ((zone, site.zone), (lambda place: _holidays(place, 2026), site.holidays)):
            try:
                if name:
                    look_up(name)
            except InvalidRequestError as error:
                found.append((site.line, f"site {site.name}: {error}"))
    return found


def check(contract: Contract) -> None:
    """Checks what the parser of the operator's file can't see within one directive.

    Raises:
        InvalidRequestError: a zone or place is unknown, a band does not fit the slots, or no site has nodes
            of the kinds that a class names.
    """
    for site in contract.sites:
        zone(site.zone)
        if site.holidays:
            _holidays(site.holidays, 2026)  # the year is arbitrary: only the place name is checked
        for band in site.bands:
            if band.begin % contract.slot or band.end % contract.slot:
                raise InvalidRequestError(
                    f"site {site.name}: a band does not begin and end on a slot boundary",
                    remedy="choose a batch-slot that divides the bounds of all bands, such as 15m",
                )
    kinds = {kind for site in contract.sites for kind in site.lanes}
    for batch_class in contract.classes:
        if not kinds & set(batch_class.power):
            raise InvalidRequestError(
                f"batch-class {batch_class.name}: no site has nodes of its kinds",
                remedy="name in `power` a kind that occurs in a `lanes` line",
            )
