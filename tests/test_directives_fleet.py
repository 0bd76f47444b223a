"""The fleet's directives, in a coordinator's file and in a sidecar's."""

import pytest

from indigohitch.config import either, operator_file, sidecar_file
from indigohitch.config.fleet import FleetText
from indigohitch.config.lines import ConfigError, Reader, Vocabulary
from test_directives import TEXT

FLEET = """name n1
fleet whk
member n1 127.0.0.1:7401 votes
member n2 127.0.0.1:7402 votes
member eros-1 127.0.0.1:7409 follows
ledger /var/lib/n1
"""


def test_a_coordinators_file_gives_its_fleet():
    text = operator_file.read(
        FLEET + "wait lease 1.2s\ndrift 0.01\nlimit ledger 1MB\nwait drain 2s\nedition 3\n"
    )
    fleet = text.fleet
    assert (fleet.name, fleet.me, fleet.folder, fleet.edition) == ("whk", "n1", "/var/lib/n1", 3)
    assert fleet.waits == {"lease": 12_000, "election": 3_000, "beat": 500}
    assert fleet.drift == 0.01 and fleet.limit == 1 << 20 and text.waits["drain"] == 20_000
    assert [(m.name, m.address[1], m.votes) for m in fleet.members.values()] == [
        ("n1", 7401, True),
        ("n2", 7402, True),
        ("eros-1", 7409, False),
    ]


def test_a_sidecars_file_gives_its_fleet():
    text = sidecar_file.read(TEXT + FLEET.replace("name n1", "name eros-1"))
    assert text.fleet.me == "eros-1" and len(text.pools) == 1


def test_a_file_without_line_fleet_has_no_fleet():
    assert operator_file.read("control /x\n").fleet is None and sidecar_file.read(TEXT).fleet is None
    assert operator_file.read("").single["program"] == []


@pytest.mark.parametrize(
    "line, at, why",
    [
        ("member n2 127.0.0.1:7403 votes", 7, "member n2 stands already in line 4"),
        ("member n3 127.0.0.1:7402 votes", 7, "member n2 in line 4 has the same address"),
        ("member n3 127.0.0.1 votes", 7, "not host:port"),
        ("member n3 127.0.0.1:7403 maybe", 7, "votes or follows"),
        ("member n3 127.0.0.1:7403", 7, "member NAME HOST:PORT"),
        ("member _ 127.0.0.1:7403 votes", 7, "is no name"),
        ("member n3 10.0.0.256:7403 votes", 7, "no address"),
        ("member n3 127.0.0.1:² votes", 7, "not host:port"),
        ("wait beat 0s", 7, "a beat of 0 ms"),
        (f"wait lease {'9' * 400}s", 7, "a span like"),
        (f"limit ledger {'9' * 400}GB", 7, "a size like"),
        (f"control /{'x' * 107}", 7, "107 bytes at most"),
        ("wait lease 1100ms", 7, "under 4 elections"),
        ("wait election 600ms", 7, "under 4 elections"),
        ("wait beat 200ms", 7, "under 2 beats"),
        ("drift 0.2", 7, "from 0 to 0.1"),
        ("drift -1", 7, "not a number"),
        ("limit ledger 1KB", 7, "64KB"),
        ("limit ledger 2GB", 7, "64KB"),
        ("limit clients 9", 7, "no such limit"),
        ("edition 0", 7, "whole number"),
        ("fleet other", 7, "stands already in line 2"),
        ("pool q", 7, "'pool' is not for a coordinator"),
        ("listen 127.0.0.1:1", 7, "not for a coordinator"),
        ("membre n3 127.0.0.1:7403 votes", 7, "is 'member' meant?"),
    ],
)
def test_every_mistake_of_a_fleet_is_reported_with_its_line(line, at, why):
    with pytest.raises(ConfigError) as found:
        operator_file.read(FLEET + line + "\n", "f")
    assert [line for line, _ in found.value.found] == [at] and why in found.value.found[0][1]


@pytest.mark.parametrize(
    "gone, at, why",
    [
        ("name n1\n", 1, "no line `name`"),
        ("ledger /var/lib/n1\n", 2, "no line `ledger`"),
        ("member n1 127.0.0.1:7401 votes\n", 1, "n1 is no member of fleet whk"),
    ],
)
def test_missing_lines_of_a_fleet_are_reported(gone, at, why):
    with pytest.raises(ConfigError) as found:
        operator_file.read(FLEET.replace(gone, ""))
    assert [line for line, _ in found.value.found] == [at] and why in str(found.value)


def test_words_of_a_fleet_need_a_line_fleet():
    with pytest.raises(ConfigError) as found:
        operator_file.read(FLEET.replace("fleet whk\n", "\n") + "wait lease 3s\nlimit ledger 1MB\n")
    assert [line for line, _ in found.value.found] == [3, 4, 5, 6, 7, 8]
    assert all("without a line `fleet`" in why for _, why in found.value.found)


def test_a_fleet_without_voters_is_reported():
    with pytest.raises(ConfigError, match=":2: no member votes"):
        operator_file.read(FLEET.replace("votes", "follows"))


def test_a_sidecar_only_follows_and_has_an_address_of_its_own():
    with pytest.raises(ConfigError, match=":8: n1 is a sidecar"):
        sidecar_file.read(TEXT + FLEET)
    with pytest.raises(ConfigError, match=":10: the sidecar listens for its clients"):
        sidecar_file.read(TEXT + FLEET.replace("n1\n", "eros-1\n", 1).replace(":7409", ":1"))


class Contract:
    def __init__(self, line):
        self.line = line


def on_contract(line, rest, reader):
    reader.collected(FleetText).parts.setdefault("contract", []).append(Contract(line))


@pytest.mark.parametrize(
    "text, found", [(FLEET + "contract\nedition 1\n", []), (FLEET + "contract\n", [7]), ("\ncontract\n", [2])]
)
def test_a_feature_has_words_of_its_own_and_needs_an_edition(text, found):
    from indigohitch.config.fleet import VOCABULARY

    own = Vocabulary(single={"name": sidecar_file.SINGLE["name"]})
    reader = Reader("f", (VOCABULARY, own, Vocabulary({"contract": on_contract})))
    try:
        assert len(reader.read(text).collected(FleetText).parts["contract"]) == 1 and not found
    except ConfigError as error:
        assert [line for line, _ in error.found] == found


def test_the_kind_of_a_file_is_recognized_by_its_words(tmp_path):
    file = tmp_path / "f"
    for text, operators in (
        (FLEET, True),
        (TEXT, False),
        ("# x\ncontrol /x\n", True),
        ("", False),
        ("control /x\npool q\n", False),
    ):
        assert either.is_operators(text) == operators
    file.write_text(FLEET)
    assert either.load(str(file)).fleet.name == "whk"
    file.write_bytes(b"\xef\xbb\xbf" + FLEET.encode())  # some editors write a byte order mark
    assert either.load(str(file)).fleet.me == "n1"
    file.write_bytes(TEXT.encode() + b"name \xff\n")
    with pytest.raises(ConfigError, match=":6: not UTF-8"):
        either.load(str(file))
