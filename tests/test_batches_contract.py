"""Electricity prices: bands, holidays, days on which clocks change, and lists of dated prices."""

from datetime import UTC, date, datetime, timedelta

import pytest

from indigohitch.errors import InvalidDataError, InvalidRequestError
from indigohitch.fleet.batches import contract, prices
from indigohitch.fleet.batches.rows import Band, BatchClass, Contract, Site

SECOND = 10_000
HOUR = 3600 * SECOND
NIGHT_PRICE, DAY_PRICE, HOLIDAY_PRICE = 8_000, 30_000, 5_000
BANDS = (
    Band(("holiday",), 0, 24 * HOUR, HOLIDAY_PRICE),
    Band(("workday",), 6 * HOUR, 22 * HOUR, DAY_PRICE),
    Band((), 0, 24 * HOUR, NIGHT_PRICE),
)
EROS = Site("eros", "Europe/Berlin", "DE-BE", {"std": 4}, BANDS)


def fleet_time(text):
    return prices.parse_time(text)


@pytest.mark.parametrize(
    "day, hours", [(date(2026, 3, 29), 23), (date(2026, 10, 25), 25), (date(2026, 6, 1), 24)]
)
def test_a_local_day_has_23_24_or_25_hours(day, hours):
    begin, end = contract.day_bounds(EROS, day)
    assert end - begin == hours * HOUR
    quarters = range(begin, end, HOUR // 4)
    assert all(contract.local_time(EROS, quarter).date() == day for quarter in quarters)
    night_quarters = sum(contract.price_at(EROS, quarter, {}, 0) == NIGHT_PRICE for quarter in quarters)
    # Two Sundays, and a Monday with 16 hours at the day price.
    assert night_quarters == {23: 23, 25: 25, 24: 8}[hours] * 4


def test_a_repeated_hour_is_charged_twice_and_a_skipped_hour_not_at_all():
    site = Site(
        "eros",
        "Europe/Berlin",
        "",
        {"std": 1},
        (Band((), 2 * HOUR, 3 * HOUR, 99_000), Band((), 0, 24 * HOUR, NIGHT_PRICE)),
    )

    def expensive_quarters(day):
        begin, end = contract.day_bounds(site, day)
        return sum(
            contract.price_at(site, quarter, {}, 0) == 99_000 for quarter in range(begin, end, HOUR // 4)
        )

    assert (
        expensive_quarters(date(2026, 10, 25)),
        expensive_quarters(date(2026, 3, 29)),
        expensive_quarters(date(2026, 10, 26)),
    ) == (8, 0, 4)


def test_the_kind_of_day_follows_weekday_and_local_holidays():
    for text, kind in (
        ("2026-12-02T12:00Z", "workday"),
        ("2026-12-05T12:00Z", "saturday"),
        ("2026-12-06T12:00Z", "sunday"),
        ("2026-12-25T12:00Z", "holiday"),
        ("2026-03-08T12:00Z", "holiday"),
        ("2026-12-24T23:30Z", "holiday"),
    ):
        assert contract.kind_of_day(EROS, contract.local_time(EROS, fleet_time(text)).date()) == kind, text


def test_dated_prices_take_precedence_over_bands():
    time = fleet_time("2026-12-02T14:20+01:00")
    assert contract.price_at(EROS, time, {fleet_time("2026-12-02T14:00+01:00"): 77}, HOUR) == 77
    assert contract.price_at(EROS, time, {fleet_time("2026-12-02T13:00+01:00"): 77}, HOUR) == DAY_PRICE
    assert contract.price_at(Site("x", "Europe/Berlin", "", {}, ()), time, {}, HOUR) is None


@pytest.mark.parametrize(
    "site, classes, message",
    [
        (Site("a", "Europe/Nowhere", "", {"std": 1}, ()), (), "zone"),
        (Site("a", "UTC", "QQ", {"std": 1}, ()), (), "holidays"),
        (Site("a", "UTC", "", {"std": 1}, (Band((), 0, 7 * SECOND, 1),)), (), "slot"),
        (Site("a", "UTC", "", {"std": 1}, ()), (BatchClass("c", True, "/", {"old": 1}),), "kinds"),
    ],
)
def test_an_invalid_contract_is_rejected_with_a_remedy(site, classes, message):
    with pytest.raises(InvalidRequestError, match=message) as raised:
        contract.check(Contract(1, HOUR // 4, (site,), classes))
    assert raised.value.remedy


SITES = {"eros", "rhea"}
PRICE_LIST = """edition 7   # of Wednesday
each 1h
eros 2026-12-02T14:00+01:00 24.5
eros 2026-12-02T15:00+01:00 -1.25
rhea 2026-12-02T14:00+01:00 30
"""


def test_a_price_list_is_parsed():
    parsed = prices.parse(PRICE_LIST, "p", SITES)
    assert parsed.edition == 7 and parsed.each == HOUR
    assert parsed.sites["eros"] == {
        fleet_time("2026-12-02T13:00Z"): 24_500,
        fleet_time("2026-12-02T14:00Z"): -1_250,
    }


@pytest.mark.parametrize(
    "change, line",
    [
        (("24.5", "fifteen"), 3),
        (("24.5", "24,5"), 3),
        (("24.5", "nan"), 3),
        (("24.5", "1e3"), 3),
        (("24.5", "24500000"), 3),
        (("15:00", "14:00"), 4),
        (("15:00", "16:00"), 3),
        (("15:00", "15:20"), 4),
        (("rhea", "mars"), 5),
        (("+01:00 30", " 30"), 5),
        (("2026-12-02T15", "2026-13-02T15"), 4),
        (("edition 7", ""), 1),
        (("edition 7", "edition seven"), 1),
        (("30\n", "30 now\n"), 5),
        (("each 1h", "each 7h"), 2),
    ],
)
def test_an_invalid_list_is_rejected_with_the_line_of_the_mistake(change, line):
    with pytest.raises(InvalidDataError) as raised:
        prices.parse(PRICE_LIST.replace(*change), "prices.txt", SITES)
    assert raised.value.location == f"prices.txt:{line}" and "last good prices stand" in raised.value.remedy


def test_offsets_tell_the_hours_of_a_25_hour_day_apart():
    hours = [datetime(2026, 10, 24, 22, tzinfo=UTC) + number * timedelta(hours=1) for number in range(6)]
    text = "edition 1\n" + "".join(
        f"eros {contract.local_time(EROS, fleet_time(hour.isoformat())).isoformat()} {number}\n"
        for number, hour in enumerate(hours)
    )
    assert text.count("2026-10-25T02:00:00") == 2  # once with +02:00, once with +01:00
    assert len(prices.parse(text, "p", {"eros"}).sites["eros"]) == 6


def test_a_list_that_is_over_older_or_changed_is_rejected():
    new = prices.parse(PRICE_LIST, "p", SITES)
    now = fleet_time("2026-12-02T14:30+01:00")
    prices.check(new, None, b"", now)
    with pytest.raises(InvalidRequestError, match="late"):
        prices.check(new, None, b"", fleet_time("2026-12-02T16:00+01:00"))
    current, fingerprint = prices.merge(new, None, 0), prices.fingerprint(new)
    prices.check(new, current, fingerprint, now)  # the same list again is accepted
    with pytest.raises(InvalidRequestError, match="another list"):
        prices.check(prices.parse(PRICE_LIST.replace("24.5", "24.6"), "p", SITES), current, fingerprint, now)
    with pytest.raises(InvalidRequestError, match="older"):
        prices.check(
            prices.parse(PRICE_LIST.replace("edition 7", "edition 6"), "p", SITES), current, fingerprint, now
        )


def test_a_new_list_replaces_the_prices_that_it_names_and_keeps_the_others():
    current = prices.merge(prices.parse(PRICE_LIST, "p", SITES), None, 0)
    new = prices.parse("edition 8\neros 2026-12-02T15:00+01:00 2\n", "p", {"eros"})
    merged = prices.merge(new, current, fleet_time("2026-12-02T15:00+01:00"))
    assert merged.sites == {"eros": {fleet_time("2026-12-02T15:00+01:00"): 2_000}, "rhea": {}}
    assert prices.merge(new, current, 0).sites["eros"][fleet_time("2026-12-02T14:00+01:00")] == 24_500
