"""What electricity costs at a site at a time: local time, kind of day, dated prices.  No I/O.

All arithmetic goes from fleet time to the site's local clock, never back: a night on which clocks change has
23 or 25 hours by itself, and the hour that comes twice costs what it costs twice."""

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
    """Raises Unfit."""
    try:
        return ZoneInfo(name)
    except (KeyError, ValueError, OSError):
        raise InvalidRequestError(
            f"no time zone {name!r}",
            remedy="a name such as Europe/Berlin; without a system's list "
            "of zones the package tzdata is wanted",
        ) from None


@lru_cache(64)
def _holidays(place: str, year: int) -> frozenset[date]:
    """Public holidays of a year; `place` as DE or DE-BE.  Raises Unfit."""
    try:
        import holidays  # only here, and only where a site names a country
    except ImportError:
        raise InvalidRequestError(
            f"holidays of {place}: the library `holidays` is missing",
            remedy="install the extra `fleet`, or take `holidays` from the site's line",
        ) from None
    country, _, part = place.partition("-")
    try:
        return frozenset(holidays.country_holidays(country, subdiv=part or None, years=year))
    except NotImplementedError:
        raise InvalidRequestError(
            f"no holidays are known for {place!r}",
            remedy="a country such as DE, or with its part such as DE-BE",
        ) from None


def local(site: Site, time: int) -> datetime:
    return (_EPOCH + timedelta(microseconds=time * 100)).astimezone(zone(site.zone))


def kind_of_day(site: Site, day: date) -> str:
    if site.holidays and day in _holidays(site.holidays, day.year):
        return "holiday"
    return DAYS[max(0, day.weekday() - 4)]


def hour_of_day(site: Site, time: int) -> int:
    return local(site, time).hour


def day_bounds(site: Site, day: date) -> tuple[int, int]:
    """Fleet times at which a local day begins and ends: 23, 24 or 25 hours apart."""

    def midnight(of: date) -> int:
        at = datetime(of.year, of.month, of.day, tzinfo=zone(site.zone))
        return (at.astimezone(UTC) - _EPOCH) // timedelta(microseconds=100)

    return midnight(day), midnight(day + timedelta(days=1))


def band_at(site: Site, time: int) -> Band | None:
    at = local(site, time)
    kind = kind_of_day(site, at.date())
    on_clock = ((at.hour * 60 + at.minute) * 60 + at.second) * SECOND + at.microsecond // 100
    return next(
        (
            band
            for band in site.bands
            if (not band.days or kind in band.days) and band.begin <= on_clock < band.end
        ),
        None,
    )


def price_at(site: Site, time: int, dated: Mapping[int, int], each: int) -> int | None:
    """A kWh drawn then, thousandths of a cent; None where nothing tells.  A dated price goes before bands;
    its `each` divides the hour, so that the one that holds is the one at the grid's last point."""
    if each and (price := dated.get(time - time % each)) is not None:
        return price
    band = band_at(site, time)
    return band.price if band is not None else None


def mistakes(text: BatchesText) -> list[tuple[int, str]]:
    """Lines whose zone or country nobody knows: their form alone does not show it."""
    found = []
    for site in text.sites.values():
        for known, name in ((zone, site.zone), (lambda place: _holidays(place, 2026), site.holidays)):
            try:
                if name:
                    known(name)
            except InvalidRequestError as bad:
                found.append((site.line, f"site {site.name}: {bad}"))
    return found


def check(contract: Contract) -> None:
    """What directives can't see by themselves.  Raises Unfit."""
    for site in contract.sites:
        zone(site.zone)
        if site.holidays:
            _holidays(site.holidays, 2026)  # any year: is the name known?
        for band in site.bands:
            if band.begin % contract.slot or band.end % contract.slot:
                raise InvalidRequestError(
                    f"site {site.name}: a band does not begin and end with a slot",
                    remedy="a batch-slot that divides all bands, such as 15m",
                )
    kinds = {kind for site in contract.sites for kind in site.lanes}
    for one in contract.classes:
        if not kinds & set(one.power):
            raise InvalidRequestError(
                f"batch-class {one.name}: no site has nodes of its kinds",
                remedy="`power` names kinds that stand in a `lanes`",
            )
