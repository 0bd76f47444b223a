"""The directives of scoped distribution: a member's `distributor` lines, a subscriber's file."""

import pytest

from indigohitch.config import operator_file, sidecar_file
from indigohitch.config.lines import ConfigError
from test_directives import TEXT
from test_directives_fleet import FLEET

SUBSCRIBER = """name c17
fleet whk
distributor d1 127.0.0.1:7501
distributor d2 127.0.0.1:7502
subscribe vacancies maps
subscribe search
"""


def mistakes(text, read=operator_file.read):
    with pytest.raises(ConfigError) as found:
        read(text)
    return found.value.found


def test_a_subscribers_file_gives_services_and_distributors():
    fleet = operator_file.read(SUBSCRIBER).fleet
    assert (fleet.me, fleet.name, fleet.services) == ("c17", "whk", ["vacancies", "maps", "search"])
    assert {one.name: one.address[1] for one in fleet.distributors.values()} == {"d1": 7501, "d2": 7502}


def test_a_members_file_gives_the_distributors():
    fleet = operator_file.read(FLEET + "distributor n1 127.0.0.1:7501\n").fleet
    assert list(fleet.distributors) == ["n1"] and not fleet.services


@pytest.mark.parametrize(
    "line, why",
    [
        ("distributor d1 127.0.0.1:7503", "distributor d1 stands already in line 3"),
        ("distributor d3 127.0.0.1:7501", "distributor d1 in line 3 has the same address"),
        ("distributor d3", "distributor NAME HOST:PORT"),
        ("distributor d3 10.0.0:1", "distributor: 10.0.0 is no address: one such as 10.0.0.1 is wanted"),
        ("subscribe", "subscribe SERVICE ..."),
        ("subscribe maps", "service maps stands already in line 5"),
        ("member n1 127.0.0.1:7401 votes", "a subscriber is no member"),
        ("ledger /var/lib/n1", "a subscriber keeps no ledger"),
        (f"subscribe {' '.join(f's{n}' for n in range(512))}", "a distributor takes 512 at most"),
    ],
)
def test_each_mistake_of_a_subscribers_file_is_reported(line, why):
    assert any(why in message for _, message in mistakes(SUBSCRIBER + line + "\n"))


@pytest.mark.parametrize(
    "text, why",
    [
        (FLEET + "distributor d9 127.0.0.1:7501\n", "distributor d9 is no member of fleet whk"),
        (FLEET + "distributor n1 127.0.0.1:7402\n", "member n2 listens for members at this address"),
        ("distributor n1 127.0.0.1:7501\n", "distributor without a line `fleet`"),
        ("subscribe maps\n", "subscribe without a line `fleet`"),
        ("fleet whk\nname c1\nsubscribe maps\n", "no line `distributor` says at whom to subscribe"),
        (SUBSCRIBER.replace("name c17", ""), "no line `name` says which subscriber this is"),
    ],
)
def test_conflicting_or_missing_lines_are_reported(text, why):
    assert any(why in message for _, message in mistakes(text))


def test_a_sidecar_cannot_subscribe():
    found = mistakes(TEXT + SUBSCRIBER, sidecar_file.read)
    assert any("a sidecar can't subscribe yet" in message for _, message in found)
