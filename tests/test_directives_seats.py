"""The directives of licence seats, and the contract that the fleet makes of them."""

import pytest

from indigohitch.config import operator_file, sidecar_file
from indigohitch.config.lines import ConfigError
from indigohitch.fleet.seats.contract import Contract, Terms
from indigohitch.fleet.seats.setup import contract_of
from test_directives import TEXT
from test_directives_fleet import FLEET

SECOND, DAY = 10_000, 24 * 3600 * 10_000
SEAT_FILE = (
    TEXT.replace("soft 1s", "soft 1s seat geocoder")
    + FLEET.replace("name n1", "name eros-1")
    + "edition 3\nseat-tenant X-Tenant\n"
)


def test_lines_become_the_fleets_contract():
    text = sidecar_file.read(
        SEAT_FILE + "seats geocoder 40 from 2026-01-01 to 2026-12-31 drain 10s keep "
        "b=2,a=4\nseats reader 6 kind node linger 2s to 2026-12-31T18:00\n"
    )
    assert text.seats == {"search": "geocoder"}
    assert contract_of(text.fleet) == Contract(
        3,
        (
            Terms("geocoder", 40, "job", 20454 * DAY, 20819 * DAY, 0, 10 * SECOND, (("a", 4), ("b", 2))),
            Terms("reader", 6, "node", 0, 20818 * DAY + DAY * 3 // 4, 2 * SECOND, 30 * SECOND),
        ),
    )
    assert text.fleet.parts["seats"][0].tenant_header == "X-Tenant"
    assert contract_of(operator_file.read(FLEET).fleet) is None


@pytest.mark.parametrize(
    "line, why",
    [
        ("seats geocoder 4 from 2026-02-01 to 2026-01-31", "ends before"),
        ("seats geocoder 4 from 2026-02-30", "no day"),
        ("seats geocoder 4 to 20260101", "no day"),
        ("seats geocoder 0", "whole number"),
        ("seats geocoder", "FEATURE NUMBER"),
        ("seats geocoder 4 kind seat", "job, node, user"),
        ("seats geocoder 4 linger 2s", "linger is for"),
        ("seats geocoder 4 keep a=3,b=2", "5 are kept"),
        ("seats geocoder 4 keep a", "TENANT=NUMBER"),
        ("seats geocoder 4 keep a=1,a=1", "twice"),
        ("seats geocoder 4 kind user", "no line `seat-user`"),
        ("seats reader 4", "no line `seats geocoder`"),
        ("seats geocoder 4\nseats geocoder 4", "already in line"),
    ],
)
def test_each_mistake_of_a_contract_is_reported_once(line, why):
    with pytest.raises(ConfigError) as found:
        sidecar_file.read(SEAT_FILE + line + "\n")
    assert why in found.value.text() and len(found.value.found) == 1


def test_a_contract_needs_an_edition_and_kept_seats_need_a_header():
    for removed, why in (
        ("edition 3\n", "no line `edition`|without a line `edition`"),
        ("seat-tenant X-Tenant\n", "no line `seat-tenant`"),
    ):
        with pytest.raises(ConfigError, match=why):
            sidecar_file.read((SEAT_FILE + "seats geocoder 4 keep a=1\n").replace(removed, ""))
