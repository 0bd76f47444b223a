"""Backends out of a subscription: what is told of them, and what is not."""

import json
import random

import pytest

from indigohitch import interface as face
from indigohitch.backend_subscription.errors import InvalidInstanceError
from indigohitch.backend_subscription.instances import Instances, parse_instance
from indigohitch.backend_subscription.source import SubscribedBackends


def body(id, lifecycle="SERVING", port=80, **more):
    entry = {
        "instanceId": id,
        "hostPort": f"10.0.0.1:{port}",
        "zone": "east",
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 6.0,
        "startedAtMs": 0,
    }
    return json.dumps(entry | more).encode()


def held(*ids, **states):
    found = {f"instance/{id}": body(id) for id in ids}
    return found | {f"instance/{id}": body(id, state) for id, state in states.items()}


class Log:
    def __init__(self):
        self.said, self.counted = [], []

    def warning(self, event, **fields):
        self.said.append((event, fields))

    def count(self, name):
        self.counted.append(name)


class Told:
    """A source with the services that a subscription would hold, and all that it told."""

    def __init__(self, watches=True, **services):
        self.services, self.news, self.log = services, [], Log()
        self.source = SubscribedBackends(self.log, lambda name: self.services.get(name, {}), self.hear)
        if watches:
            self.source.subscribe(True)

    def hear(self, news, addresses):
        assert {entry.backend for entry in news.entries} <= addresses.keys()
        self.news.append((news.scope, news.version, {e.backend: e.state for e in news.entries}))

    def change(self, version, **services):
        self.services |= services
        self.source.on_update(version, self.services.keys())
        told, self.news = self.news, []
        return told


def test_the_first_content_is_the_whole_list_and_then_only_what_differs():
    told = Told()
    assert told.change(7, maps=held("a", "b"), search=held("c")) == [
        ("full", 7, {"a": "ready", "b": "ready", "c": "ready"})
    ]
    assert told.change(8, maps=held("a", b="DRAINING")) == [("changes", 8, {"b": "draining"})]
    assert told.change(9, maps=held("d", b="DRAINING")) == [("changes", 9, {"d": "ready", "a": "gone"})]
    assert told.change(10, search=held("c") | {"route/1": b"/maps"}) == []


def test_nothing_is_told_before_the_module_asks_and_all_whenever_it_does():
    told = Told(watches=False)
    assert told.change(7, maps=held("a")) == []
    for _ in range(2):  # a module that began anew asks again
        told.source.subscribe(True)
        assert told.news.pop() == ("full", 7, {"a": "ready"})
    told.source.subscribe(False)
    assert told.change(8, maps=held("a", "b")) == []


def test_asked_before_any_content_it_says_nothing():
    told = Told()
    told.source.fetch()
    assert told.news == [] and not told.log.said


def test_an_address_that_moves_is_told_though_nothing_else_differs():
    told = Told()
    told.change(1, maps=held("a"))
    moved = {"instance/a": body("a", port=81)}
    assert told.change(2, maps=moved) == [("changes", 2, {"a": "ready"})]


def test_a_backend_that_two_services_name_goes_once_neither_does():
    told = Told()
    told.change(1, maps=held("a"), search=held("b", a="DRAINING"))
    assert told.change(2, maps=held()) == [("changes", 2, {"a": "draining"})]
    assert told.change(3, search=held("b")) == [("changes", 3, {"a": "gone"})]


def test_a_service_that_leaves_the_scope_takes_its_backends_along():
    told = Told()
    told.change(1, maps=held("a"), search=held("b"))
    assert told.change(2, maps={}) == [("changes", 2, {"a": "gone"})]


def test_what_left_the_scope_while_the_subscription_was_away_goes():
    """An upgrade that fails lets go of the subscription and takes it up again, with another scope."""
    told = Told()
    told.change(1, maps=held("a"), search=held("b"))
    del told.services["search"]
    assert told.change(2, maps=held("a")) == [("changes", 2, {"b": "gone"})]


def test_a_list_without_any_backend_is_not_told():
    """A wrong name after `subscribe` must not send every slice away."""
    told = Told()
    told.change(1, maps=held("a"))
    assert told.change(2, maps={}) == []
    assert [event for event, _ in told.log.said] == ["no_backends"] and told.log.said[0][1]["remedy"]
    told.source.fetch()
    assert told.news.pop() == ("full", 2, {"a": "ready"})
    assert told.change(3, other=held("b")) == [("changes", 3, {"b": "ready", "a": "gone"})]


def test_a_body_that_can_not_be_read_changes_nothing_and_is_said_once():
    told = Told()
    told.change(1, maps=held("a", "b"))
    broken = held("b") | {"instance/a": b"10.0.0.1:80 serving"}
    assert told.change(2, maps=broken) == [] == told.change(3, maps=broken)
    ((event, fields),) = told.log.said
    assert event == "backend_unreadable" and fields["where"] == "service maps, resource instance/a"
    assert told.change(4, maps=held("b", a="DRAINING")) == [("changes", 4, {"a": "draining"})]


@pytest.mark.parametrize(
    "wrong",
    [
        body("b"),  # of another key
        b"\xff",
        b"[]",
        b"null",
        body("a", lifecycle="RESTING"),
        body("a", weight=float("nan")).replace(b"NaN", b"1e999"),
        body("a", startedAtMs="long ago"),
        body("a").replace(b'"zone"', b'"place"'),
    ],
)
def test_what_is_no_entry_of_discovery_is_refused(wrong):
    with pytest.raises(InvalidInstanceError):
        parse_instance("maps", "a", wrong)


def test_a_restored_source_tells_the_whole_list_with_its_first_content():
    told = Told()
    told.source.restore(5)
    assert told.source.version == 5
    assert told.change(6, maps=held("a")) == [("full", 6, {"a": "ready"})]


def test_a_backend_told_as_deleted_is_gone():
    told = Told()
    told.change(1, maps=held("a", "b"))
    assert told.change(2, maps=held("b", a="DELETED")) == [("changes", 2, {"a": "gone"})]


def test_seeded_changes_add_up_to_the_whole():
    chance, told = random.Random(7), Told()
    told.change(1, maps=held("a0"))
    stands = {"a0": "ready"}
    for version in range(2, 300):
        service = chance.choice(["maps", "search", "far"])
        ids = chance.sample([f"a{n}" for n in range(8)], chance.randrange(6))
        states = {id: chance.choice(["SERVING", "DRAINING", "DELETED"]) for id in ids}
        for scope, _, entries in told.change(version, **{service: held(**states)}):
            assert scope == "changes"
            stands |= entries
            stands = {id: state for id, state in stands.items() if state != "gone"}
        wanted = {id: i.entry.state for id, i in told.source.instances.current_instances().items()}
        assert stands == wanted or not wanted


def test_a_list_is_the_same_whatever_order_services_came_in():
    one, other = Instances(), Instances()
    for instances, order in ((one, ("maps", "search")), (other, ("search", "maps"))):
        for service in order:
            instances.update(service, held("a") if service == "maps" else held(a="DRAINING"))
    assert one.current_instances() == other.current_instances()
    assert isinstance(one.full_list(1).backend_list, face.BackendList)
