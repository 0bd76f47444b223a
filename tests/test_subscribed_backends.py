"""Tests which backend lists are sent for the contents of a subscription."""

import json
import random

import pytest

from indigohitch import interface
from indigohitch.backend_subscription.errors import InvalidInstanceError
from indigohitch.backend_subscription.instances import Instances, parse_instance
from indigohitch.backend_subscription.source import SubscribedBackends
from indigohitch.net.clock import SECOND
from indigohitch.net.loop import EventLoop
from seam import Shifted


def instance_body(backend, lifecycle="SERVING", port=80, **more):
    entry = {
        "instanceId": backend,
        "hostPort": f"10.0.0.1:{port}",
        "zone": "east",
        "machineType": "std",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 6.0,
        "startedAtMs": 0,
    }
    return json.dumps(entry | more).encode()


def resources_of(*backends, **lifecycles):
    serving = {f"instance/{backend}": instance_body(backend) for backend in backends}
    return serving | {
        f"instance/{backend}": instance_body(backend, lifecycle) for backend, lifecycle in lifecycles.items()
    }


class FakeLog:
    def __init__(self):
        self.logged = []
        self.counted = []

    def warning(self, event, **fields):
        self.logged.append((event, fields))

    def count(self, name):
        self.counted.append(name)


class SourceFixture:
    """A source with the services that a subscription would hold; records the lists that it sends."""

    def __init__(self, is_subscribed=True, **services):
        self.services, self.sent_lists = services, []
        self.log = FakeLog()
        self.clock = Shifted()
        self.loop = EventLoop(self.clock, pytest.fail)
        self.confirmed_until = self.clock.now() + 99 * SECOND
        self.source = SubscribedBackends(
            self.loop,
            self.log,
            lambda name: self.services.get(name, {}),
            self.on_list,
            lambda: self.confirmed_until,
        )
        if is_subscribed:
            self.source.subscribe(True)

    def advance(self, span):
        """Advances the clock and returns the lists that are sent."""
        self.loop.call_after(span, lambda: None)
        self.clock.by += span
        self.loop.turn()
        return self.take_lists()

    def take_lists(self):
        sent_lists, self.sent_lists = self.sent_lists, []
        return sent_lists

    def on_list(self, backend_list, addresses):
        assert {entry.backend for entry in backend_list.entries} <= addresses.keys()
        self.sent_lists.append(
            (
                backend_list.scope,
                backend_list.version,
                {entry.backend: entry.state for entry in backend_list.entries},
            )
        )

    def update(self, version, **services):
        """Replaces these services and returns the lists that are sent."""
        self.services |= services
        self.source.on_update(version, self.services.keys())
        return self.take_lists()


def test_the_complete_list_is_sent_first_and_then_only_changes():
    fixture = SourceFixture()
    assert fixture.update(7, maps=resources_of("a", "b"), search=resources_of("c")) == [
        ("full", 7, {"a": "ready", "b": "ready", "c": "ready"})
    ]
    assert fixture.update(8, maps=resources_of("a", b="DRAINING")) == [("changes", 8, {"b": "draining"})]
    assert fixture.update(9, maps=resources_of("d", b="DRAINING")) == [
        ("changes", 9, {"d": "ready", "a": "gone"})
    ]
    assert fixture.update(10, search=resources_of("c") | {"route/1": b"/maps"}) == []


def test_each_subscribe_sends_the_complete_list_and_nothing_is_sent_without_one():
    fixture = SourceFixture(is_subscribed=False)
    assert fixture.update(7, maps=resources_of("a")) == []
    for _ in range(2):  # a restarted decision module subscribes again
        fixture.source.subscribe(True)
        assert fixture.sent_lists.pop() == ("full", 7, {"a": "ready"})
    fixture.source.subscribe(False)
    assert fixture.update(8, maps=resources_of("a", "b")) == []


def test_content_that_no_distributor_confirms_is_not_taken_for_current():
    """Guards against review/8 with a subscription: a subscriber that was cut off acted on its old list."""
    fixture = SourceFixture()
    fixture.update(7, maps=resources_of("a"))
    assert fixture.advance(2 * SECOND) == []
    fixture.confirmed_until = 0
    for _ in range(2):  # the receiver subscribes again
        assert fixture.advance(SECOND) == [("failed", 7, {})]
        fixture.source.subscribe(True)
    fixture.confirmed_until = fixture.clock.now() + SECOND
    fixture.source.subscribe(True)
    assert fixture.take_lists() == [("full", 7, {"a": "ready"})]


def test_a_fetch_before_any_content_sends_nothing():
    fixture = SourceFixture()
    fixture.source.fetch()
    assert fixture.sent_lists == [] and not fixture.log.logged


def test_a_change_of_address_alone_is_sent():
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a"))
    changed_address = {"instance/a": instance_body("a", port=81)}
    assert fixture.update(2, maps=changed_address) == [("changes", 2, {"a": "ready"})]


def test_a_backend_in_two_services_is_gone_once_it_is_in_neither():
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a"), search=resources_of("b", a="DRAINING"))
    assert fixture.update(2, maps=resources_of()) == [("changes", 2, {"a": "draining"})]
    assert fixture.update(3, search=resources_of("b")) == [("changes", 3, {"a": "gone"})]


def test_backends_of_an_emptied_service_are_gone():
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a"), search=resources_of("b"))
    assert fixture.update(2, maps={}) == [("changes", 2, {"a": "gone"})]


def test_backends_of_a_service_outside_a_new_scope_are_gone():
    """A failed upgrade ends the subscription and restarts it, possibly with another scope."""
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a"), search=resources_of("b"))
    del fixture.services["search"]
    assert fixture.update(2, maps=resources_of("a")) == [("changes", 2, {"b": "gone"})]


def test_an_empty_list_is_not_sent():
    """A wrong service name after `subscribe` must not remove all backends of every slice."""
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a"))
    assert fixture.update(2, maps={}) == []
    assert [event for event, _ in fixture.log.logged] == ["no_backends"] and fixture.log.logged[0][1][
        "remedy"
    ]
    fixture.source.fetch()
    assert fixture.sent_lists.pop() == ("full", 2, {"a": "ready"})
    assert fixture.update(3, other=resources_of("b")) == [("changes", 3, {"b": "ready", "a": "gone"})]


def test_an_invalid_body_changes_nothing_and_is_logged_once():
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a", "b"))
    invalid = resources_of("b") | {"instance/a": b"10.0.0.1:80 serving"}
    assert fixture.update(2, maps=invalid) == [] == fixture.update(3, maps=invalid)
    ((event, fields),) = fixture.log.logged
    assert event == "backend_unreadable" and fields["where"] == "service maps, resource instance/a"
    assert fixture.update(4, maps=resources_of("b", a="DRAINING")) == [("changes", 4, {"a": "draining"})]


@pytest.mark.parametrize(
    "invalid",
    [
        instance_body("b"),  # body of another backend
        b"\xff",
        b"[]",
        b"null",
        instance_body("a", lifecycle="RESTING"),
        instance_body("a", weight=float("nan")).replace(b"NaN", b"1e999"),
        instance_body("a", startedAtMs="long ago"),
        instance_body("a").replace(b'"zone"', b'"place"'),
    ],
)
def test_a_body_that_is_not_a_discovery_entry_is_rejected(invalid):
    with pytest.raises(InvalidInstanceError):
        parse_instance("maps", "a", invalid)


def test_a_restored_source_sends_the_complete_list_on_its_first_content():
    fixture = SourceFixture()
    fixture.source.restore(5)
    assert fixture.source.version == 5
    assert fixture.update(6, maps=resources_of("a")) == [("full", 6, {"a": "ready"})]


def test_a_deleted_backend_is_gone():
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a", "b"))
    assert fixture.update(2, maps=resources_of("b", a="DELETED")) == [("changes", 2, {"a": "gone"})]


def test_random_changes_add_up_to_the_current_backends():
    rng = random.Random(7)
    fixture = SourceFixture()
    fixture.update(1, maps=resources_of("a0"))
    expected_states = {"a0": "ready"}
    for version in range(2, 300):
        service = rng.choice(["maps", "search", "far"])
        backends = rng.sample([f"a{n}" for n in range(8)], rng.randrange(6))
        lifecycles = {backend: rng.choice(["SERVING", "DRAINING", "DELETED"]) for backend in backends}
        for scope, _, entries in fixture.update(version, **{service: resources_of(**lifecycles)}):
            assert scope == "changes"
            expected_states |= entries
            expected_states = {
                backend: state for backend, state in expected_states.items() if state != "gone"
            }
        current = {
            backend: instance.entry.state
            for backend, instance in fixture.source.instances.current_instances().items()
        }
        assert expected_states == current or not current


def test_the_list_does_not_depend_on_the_order_of_updates():
    first = Instances()
    second = Instances()
    for instances, order in ((first, ("maps", "search")), (second, ("search", "maps"))):
        for service in order:
            instances.update(service, resources_of("a") if service == "maps" else resources_of(a="DRAINING"))
    assert first.current_instances() == second.current_instances()
    assert isinstance(first.full_list(1).backend_list, interface.BackendList)
