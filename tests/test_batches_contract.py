"""What a kWh costs when: bands, holidays, nights on which clocks change, lists of dated prices."""

from datetime import UTC, date, datetime, timedelta

import pytest

from indigohitch.errors import InvalidDataError, InvalidRequestError
from indigohitch.fleet.batches import contract, prices
from indigohitch.fleet.batches.rows import Band, BatchClass, Contract, Site

SECOND = 10_000
HOUR = 3600 * SECOND
NIGHT, DAY, FEAST = 8_000, 30_000, 5_000
BANDS = (
    Band(("holiday",), 0, 24 * HOUR, FEAST),
    Band(("workday",), 6 * HOUR, 22 * HOUR, DAY),
    Band((), 0, 24 * HOUR, NIGHT),
)
EROS = Site("eros", "Europe/Berlin", "DE-BE", {"std": 4}, BANDS)


def at(text):
    return prices.moment(text)


@pytest.mark.parametrize(
    "day, hours", [(date(2026, 3, 29), 23), (date(2026, 10, 25), 25), (date(2026, 6, 1), 24)]
)
def test_a_local_day_is_as_long_as_its_clocks_say(day, hours):
    begin, end = contract.day_bounds(EROS, day)
    assert end - begin == hours * HOUR
    quarters = range(begin, end, HOUR // 4)
    assert all(contract.local(EROS, t).date() == day for t in quarters)
    cheap = sum(contract.price_at(EROS, t, {}, 0) == NIGHT for t in quarters)
    assert cheap == {23: 23, 25: 25, 24: 8}[hours] * 4  # two Sundays, and a Monday with its 16 dear hours


def test_an_hour_that_comes_twice_costs_twice_and_one_that_is_missing_nothing():
    site = Site(
        "eros",
        "Europe/Berlin",
        "",
        {"std": 1},
        (Band((), 2 * HOUR, 3 * HOUR, 99_000), Band((), 0, 24 * HOUR, NIGHT)),
    )

    def dear(day):
        begin, end = contract.day_bounds(site, day)
        return sum(contract.price_at(site, t, {}, 0) == 99_000 for t in range(begin, end, HOUR // 4))

    assert (dear(date(2026, 10, 25)), dear(date(2026, 3, 29)), dear(date(2026, 10, 26))) == (8, 0, 4)


def test_kinds_of_day():
    for text, kind in (
        ("2026-12-02T12:00Z", "workday"),
        ("2026-12-05T12:00Z", "saturday"),
        ("2026-12-06T12:00Z", "sunday"),
        ("2026-12-25T12:00Z", "holiday"),
        ("2026-03-08T12:00Z", "holiday"),
        ("2026-12-24T23:30Z", "holiday"),
    ):
        assert contract.kind_of_day(EROS, contract.local(EROS, at(text)).date()) == kind, text


def test_dated_prices_go_before_bands():
    time = at("2026-12-02T14:20+01:00")
    assert contract.price_at(EROS, time, {at("2026-12-02T14:00+01:00"): 77}, HOUR) == 77
    assert contract.price_at(EROS, time, {at("2026-12-02T13:00+01:00"): 77}, HOUR) == DAY
    assert contract.price_at(Site("x", "Europe/Berlin", "", {}, ()), time, {}, HOUR) is None


@pytest.mark.parametrize(
    "site, classes, what",
    [
        (Site("a", "Europe/Nowhere", "", {"std": 1}, ()), (), "zone"),
        (Site("a", "UTC", "QQ", {"std": 1}, ()), (), "holidays"),
        (Site("a", "UTC", "", {"std": 1}, (Band((), 0, 7 * SECOND, 1),)), (), "slot"),
        (Site("a", "UTC", "", {"std": 1}, ()), (BatchClass("c", True, "/", {"old": 1}),), "kinds"),
    ],
)
def test_a_contract_that_can_t_be_says_so(site, classes, what):
    with pytest.raises(InvalidRequestError, match=what) as told:
        contract.check(Contract(1, HOUR // 4, (site,), classes))
    assert told.value.remedy


EACH = {"eros", "rhea"}
LIST = """edition 7   # of Wednesday
each 1h
eros 2026-12-02T14:00+01:00 24.5
eros 2026-12-02T15:00+01:00 -1.25
rhea 2026-12-02T14:00+01:00 30
"""


def test_a_list_is_read():
    got = prices.read(LIST, "p", EACH)
    assert got.edition == 7 and got.each == HOUR
    assert got.sites["eros"] == {at("2026-12-02T13:00Z"): 24_500, at("2026-12-02T14:00Z"): -1_250}


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
def test_a_spoilt_list_is_refused_with_its_line(change, line):
    with pytest.raises(InvalidDataError) as told:
        prices.read(LIST.replace(*change), "prices.txt", EACH)
    assert told.value.location == f"prices.txt:{line}" and "last good prices stand" in told.value.remedy


def test_the_night_with_25_hours_needs_no_doubled_line():
    hours = [datetime(2026, 10, 24, 22, tzinfo=UTC) + n * timedelta(hours=1) for n in range(6)]
    text = "edition 1\n" + "".join(
        f"eros {contract.local(EROS, at(h.isoformat())).isoformat()} {n}\n" for n, h in enumerate(hours)
    )
    assert text.count("2026-10-25T02:00:00") == 2  # once with +02:00, once with +01:00
    assert len(prices.read(text, "p", {"eros"}).sites["eros"]) == 6


def test_late_older_and_changed_lists_may_not_stand():
    new = prices.read(LIST, "p", EACH)
    now = at("2026-12-02T14:30+01:00")
    prices.check(new, None, b"", now)
    with pytest.raises(InvalidRequestError, match="late"):
        prices.check(new, None, b"", at("2026-12-02T16:00+01:00"))
    held, known = prices.merged(new, None, 0), prices.fingerprint(new)
    prices.check(new, held, known, now)  # the same again does no harm
    with pytest.raises(InvalidRequestError, match="another list"):
        prices.check(prices.read(LIST.replace("24.5", "24.6"), "p", EACH), held, known, now)
    with pytest.raises(InvalidRequestError, match="older"):
        prices.check(prices.read(LIST.replace("edition 7", "edition 6"), "p", EACH), held, known, now)


def test_a_correction_replaces_what_it_names_and_the_last_good_ones_stand():
    held = prices.merged(prices.read(LIST, "p", EACH), None, 0)
    new = prices.read("edition 8\neros 2026-12-02T15:00+01:00 2\n", "p", {"eros"})
    got = prices.merged(new, held, at("2026-12-02T15:00+01:00"))
    assert got.sites == {"eros": {at("2026-12-02T15:00+01:00"): 2_000}, "rhea": {}}
    assert prices.merged(new, held, 0).sites["eros"][at("2026-12-02T14:00+01:00")] == 24_500
