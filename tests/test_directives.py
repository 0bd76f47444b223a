"""Parsing of a sidecar's file; every mistake is reported with its line."""

import pytest

from indigohitch.config.lines import ConfigError
from indigohitch.config.sidecar_file import read

TEXT = """listen 127.0.0.1:1
rpc search idempotent soft 1s deadline 2s
pool nodes slices 8
server n1 127.0.0.1:2 pool nodes
route GET /a/{b} rpc search pool nodes key path 1
"""


def test_values_are_parsed_to_internal_units():
    text = read(TEXT + "limit memory 1.5MB  # enough\nwait drain 2m\n")
    assert text.limits["memory"] == 3 << 19 and text.waits["drain"] == 1_200_000
    assert text.rpcs["search"].deadline == 20_000 and text.pools["nodes"].boot["report_every"] == 10_000


@pytest.mark.parametrize(
    "line, why",
    [
        ("wiat drain 2s", "unknown word 'wiat'"),
        ("wait drian 2s", "no such wait: drian"),
        ("wait drain 10", "has no unit"),
        ("wait drain 10 s", "takes one value, 2"),
        ("wait drain 10kg", "is wanted"),
        ("limit memory 10", "has no unit"),
        ("listen 127.0.0.1:3", "stands already in line 1"),
        ("rpc search idempotent", "stands already in line 2"),
        ("rpc x maybe", "idempotent or non-idempotent"),
        ("rpc x idempotent soft 3s deadline 2s", "over its deadline"),
        ("rpc x idempotent soft", "has no value"),
        ("rpc x idempotent soft 1s soft 2s", "soft stands twice"),
        ("pool nodes", "stands already in line 3"),
        ("pool more", "pool more has no server"),
        ("server n1 127.0.0.1:9 pool nodes", "stands already in line 4"),
        ("server n2 127.0.0.1:2 pool nodes", "server n1 in line 4"),
        ("server n2 nowhere pool nodes", "host:port"),
        ("server n2 127.0.0.1:9 pool other", "no pool other"),
        ("server n2 127.0.0.1:9", "no pool is named"),
        ("server n2 127.0.0.1:9 pool nodes weight 0", "not above 0"),
        ("route GET /a/{x} rpc search pool nodes", "the same route stands in line 5"),
        ("route GET a rpc search pool nodes", "begins with /"),
        ("route GET /b rpc serach pool nodes", "no rpc serach"),
        ("name 'a", "can't be read"),
        ("route GTE /b rpc search pool nodes", "unknown HTTP method"),
        ("name a b", "takes one value"),
        ("route GET /b{x} rpc search pool nodes", "neither a name"),
        ("limit clients 0", "whole number above 0"),
        ("route GET /**/b rpc search pool nodes", "only at the end"),
        ("route GET /b rpc search pool nodes key path 4", "no such segment"),
        ("route GET /b rpc search pool nodes key cookie c", "is wanted"),
    ],
)
def test_every_mistake_is_reported_with_its_line(line, why):
    with pytest.raises(ConfigError) as found:
        read(TEXT + "\n" + line + "\n", "f.conf")
    assert [at for at, _ in found.value.found] == [7] and why in str(found.value)
    assert str(found.value).startswith("f.conf:7: ")


def test_all_mistakes_are_reported_at_once():
    with pytest.raises(ConfigError) as found:
        read("nothing\nwait drain 3\n")
    assert [at for at, _ in found.value.found] == [1, 2, 3]


@pytest.mark.parametrize(
    "line, whys",
    [
        ("server n2 127.0.0.1:9 pool q weight 0", ["no pool q", "weight: 0 is not above 0"]),
        (
            "server n2 nowhere pool q zone _",
            ["no pool q", "not host:port: 'nowhere'", "zone: '_' is no name"],
        ),
        (
            "route GTE /b rpc serach pool q key cookie c",
            ["is wanted", "no pool q", "no rpc serach", "HTTP method"],
        ),
        ("rpc x maybe soft 1 deadline 2s", ["idempotent or non-idempotent", "has no unit"]),
        ("pool more slices 0 cold-from 2", ["cold-from is a share", "whole number", "no server"]),
    ],
)
def test_all_mistakes_of_one_line_are_reported(line, whys):
    with pytest.raises(ConfigError) as found:
        read(TEXT + "\n" + line + "\n")
    reported = [why for at, why in found.value.found if at == 7]
    assert len(reported) == len(whys) == len(found.value.found)
    assert all(any(why in one for one in reported) for why in whys)


def test_consequences_of_a_mistake_are_not_reported():
    with pytest.raises(ConfigError) as found:
        read(TEXT.replace("slices 8", "slices 0").replace("soft 1s", "soft 1"))
    assert [at for at, _ in found.value.found] == [2, 3]
