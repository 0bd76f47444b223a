"""Tests of the resource store: encoded changes since a version, bounded history, digests and snapshots."""

import random

import msgspec
import pytest

from indigohitch.errors import InvalidDataError, InvalidRequestError
from indigohitch.fleet.distribution import resource_store as store_module
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


def context_at(index):
    return EntryContext(index, 1, 0, "", 0)


def store_with_resources(count=10):
    store = ResourceStore()
    for index in range(1, count + 1):
        store.apply(Version(1, index), {"s": [Resource(f"k{index}", b"up")]}, {})
    return store


def test_several_changes_of_one_resource_are_merged():
    store = store_with_resources()
    for index in range(11, 20):
        store.apply(Version(1, index), {"s": [Resource("k1", b"%d" % index)]}, {"s": ["k2"]})
    change = decode_change(store.change("s", Version(1, 10)))
    assert change.changed == (Resource("k1", b"19"),) and change.removed == ("k2",) and not change.whole
    assert change.digest == store.digest("s")


def test_a_change_is_encoded_once_for_all_base_versions_that_lack_the_same():
    store = store_with_resources()
    store.apply(Version(1, 50), {"s": [Resource("k1", b"down")]}, {})
    assert store.change("s", Version(1, 10)) is store.change("s", Version(1, 33))
    store.apply(Version(1, 51), {"s": [Resource("k1", b"up")]}, {})
    assert decode_change(store.change("s", Version(1, 10))).changed == (Resource("k1", b"up"),)


def test_remembered_removals_are_bounded_and_older_versions_get_the_whole_service():
    store = store_with_resources(10)
    for index in range(11, 400):
        key = f"temporary{index}"
        store.apply(Version(1, 2 * index), {"s": [Resource(key, b"")]}, {})
        store.apply(Version(1, 2 * index + 1), {}, {"s": [key]})
    service = store.services["s"]
    assert len(service.removed) <= store_module.MAX_REMOVED_KEYS + 10
    assert decode_change(store.change("s", Version(1, 10))).whole
    assert not decode_change(store.change("s", Version(1, 797))).whole


def test_the_number_of_remembered_empty_services_is_bounded(monkeypatch):
    monkeypatch.setattr(store_module, "MAX_EMPTY_SERVICES", 3)
    store = ResourceStore()
    for index in range(1, 11):
        store.apply(Version(1, 2 * index), {f"s{index}": [Resource("k", b"")]}, {})
        store.apply(Version(1, 2 * index + 1), {}, {f"s{index}": ["k"]})
    assert len(store.services) == 3 and store.floor == Version(1, 15)
    change = decode_change(store.change("s1", Version(1, 2)))
    assert change.whole and not change.changed and change.digest == store.digest("s1")


def test_a_restored_snapshot_has_the_same_rows_digests_and_changes():
    random_source = random.Random(3)
    part = DistributionPart()
    for index in range(1, 400):
        service = f"s{random_source.randrange(5)}"
        key = f"k{random_source.randrange(20)}"
        if random_source.random() < 0.5:
            part.apply(
                context_at(index),
                "set",
                SetResources((ServiceResources(service, (Resource(key, b"%d" % index),)),)),
            )
        else:
            part.apply(context_at(index), "remove", RemoveResources((ServiceKeys(service, (key,)),)))
    row = msgspec.msgpack.encode(part.row())
    restored = DistributionPart()
    restored.restore(row)
    assert msgspec.msgpack.encode(restored.row()) == row
    for service in part.store.services:
        assert restored.store.digest(service) == part.store.digest(service)
        for since in (None, Version(1, 100), Version(1, 390)):
            assert bytes(restored.store.change(service, since)) == bytes(part.store.change(service, since))
    with pytest.raises(InvalidDataError):
        restored.restore(b"\xc1")


def test_each_entry_changes_the_named_resources_and_returns_the_changed_services():
    part = DistributionPart()
    resources = (Resource("a", b"1"), Resource("b", b"1"))
    assert part.apply(context_at(1), "set", SetResources((ServiceResources("s", resources),))) == ("s",)
    # Setting a resource to the value that it has changes nothing.
    assert part.apply(context_at(2), "set", SetResources((ServiceResources("s", resources[:1]),))) == ()
    assert part.store.version == Version(1, 1)
    assert part.apply(
        context_at(3), "replace", ReplaceResources((ServiceResources("s", (Resource("b", b"2"),)),))
    ) == ("s",)
    assert part.store.resources("s") == {"b": b"2"}
    assert part.apply(context_at(4), "replace", ReplaceResources((ServiceResources("s", ()),))) == ("s",)
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
def test_an_entry_that_exceeds_a_limit_is_rejected_and_changes_nothing(services):
    part = DistributionPart()
    with pytest.raises(InvalidRequestError):
        part.apply(context_at(1), "set", SetResources(services))
    assert not part.store.services
