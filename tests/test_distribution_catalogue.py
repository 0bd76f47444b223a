"""The catalogue: what differs since a version, encoded once; bounds; the same content is the same digest."""

import random

import msgspec
import pytest

from indigohitch.errors import InvalidDataError, InvalidRequestError
from indigohitch.fleet.distribution import resource_store as catalogue_module
from indigohitch.fleet.distribution.replicated_part import (
    DistributionPart,
    RemoveResources,
    ReplaceResources,
    ServiceKeys,
    ServiceResources,
    SetResources,
)
from indigohitch.fleet.distribution.resource_store import ResourceStore
from indigohitch.fleet.distribution.subscriber_scope import decode_change
from indigohitch.fleet.distribution.types import Resource, Version
from indigohitch.fleet.interfaces import EntryContext


def at(index):
    return EntryContext(index, 1, 0, "", 0)


def filled(count=10):
    catalogue = ResourceStore()
    for index in range(1, count + 1):
        catalogue.apply(Version(1, index), {"s": [Resource(f"k{index}", b"up")]}, {})
    return catalogue


def test_changes_of_one_resource_become_one():
    catalogue = filled()
    for index in range(11, 20):
        catalogue.apply(Version(1, index), {"s": [Resource("k1", b"%d" % index)]}, {"s": ["k2"]})
    change = decode_change(catalogue.change("s", Version(1, 10)))
    assert change.changed == (Resource("k1", b"19"),) and change.removed == ("k2",) and not change.whole
    assert change.digest == catalogue.digest("s")


def test_what_goes_out_is_encoded_once_for_all_bases_that_lack_the_same():
    catalogue = filled()
    catalogue.apply(Version(1, 50), {"s": [Resource("k1", b"down")]}, {})
    assert catalogue.change("s", Version(1, 10)) is catalogue.change("s", Version(1, 33))
    catalogue.apply(Version(1, 51), {"s": [Resource("k1", b"up")]}, {})
    assert decode_change(catalogue.change("s", Version(1, 10))).changed == (Resource("k1", b"up"),)


def test_removed_keys_are_bounded_and_who_is_from_before_gets_the_whole():
    catalogue = filled(10)
    for index in range(11, 400):
        key = f"passing{index}"
        catalogue.apply(Version(1, 2 * index), {"s": [Resource(key, b"")]}, {})
        catalogue.apply(Version(1, 2 * index + 1), {}, {"s": [key]})
    service = catalogue.services["s"]
    assert len(service.removed) <= catalogue_module.MAX_REMOVED_KEYS + 10
    assert decode_change(catalogue.change("s", Version(1, 10))).whole
    assert not decode_change(catalogue.change("s", Version(1, 797))).whole


def test_empty_services_are_forgotten_in_bounds(monkeypatch):
    monkeypatch.setattr(catalogue_module, "MAX_EMPTY_SERVICES", 3)
    catalogue = ResourceStore()
    for index in range(1, 11):
        catalogue.apply(Version(1, 2 * index), {f"s{index}": [Resource("k", b"")]}, {})
        catalogue.apply(Version(1, 2 * index + 1), {}, {f"s{index}": ["k"]})
    assert len(catalogue.services) == 3 and catalogue.floor == Version(1, 15)
    change = decode_change(catalogue.change("s1", Version(1, 2)))
    assert change.whole and not change.changed and change.digest == catalogue.digest("s1")


def test_a_snapshot_gives_the_same_rows_digests_and_changes():
    chance, part = random.Random(3), DistributionPart()
    for index in range(1, 400):
        service, key = f"s{chance.randrange(5)}", f"k{chance.randrange(20)}"
        if chance.random() < 0.5:
            part.apply(
                at(index), "set", SetResources((ServiceResources(service, (Resource(key, b"%d" % index),)),))
            )
        else:
            part.apply(at(index), "remove", RemoveResources((ServiceKeys(service, (key,)),)))
    row = msgspec.msgpack.encode(part.row())
    other = DistributionPart()
    other.restore(row)
    assert msgspec.msgpack.encode(other.row()) == row
    for service in part.store.services:
        assert other.store.digest(service) == part.store.digest(service)
        for since in (None, Version(1, 100), Version(1, 390)):
            assert bytes(other.store.change(service, since)) == bytes(part.store.change(service, since))
    with pytest.raises(InvalidDataError):
        other.restore(b"\xc1")


def test_entries_of_the_part_change_what_they_name_and_tell_which_services():
    part = DistributionPart()
    two = (Resource("a", b"1"), Resource("b", b"1"))
    assert part.apply(at(1), "set", SetResources((ServiceResources("s", two),))) == ("s",)
    assert part.apply(at(2), "set", SetResources((ServiceResources("s", two[:1]),))) == ()  # as it was
    assert part.store.version == Version(1, 1)
    assert part.apply(
        at(3), "replace", ReplaceResources((ServiceResources("s", (Resource("b", b"2"),)),))
    ) == ("s",)
    assert part.store.resources("s") == {"b": b"2"}
    assert part.apply(at(4), "replace", ReplaceResources((ServiceResources("s", ()),))) == ("s",)
    assert part.store.resources("s") == {}


@pytest.mark.parametrize(
    "services",
    [
        (ServiceResources("", (Resource("a", b""),)),),
        (ServiceResources("s", (Resource("", b""),)),),
        (ServiceResources("s", (Resource("a", bytes(5_000)),)),),
        (ServiceResources("s", tuple(Resource(f"{n}", bytes(4_000)) for n in range(70))),),
        (ServiceResources("s", ()), ServiceResources("s", ())),
    ],
)
def test_what_is_out_of_bounds_is_refused_and_changes_nothing(services):
    part = DistributionPart()
    with pytest.raises(InvalidRequestError):
        part.apply(at(1), "set", SetResources(services))
    assert not part.store.services
