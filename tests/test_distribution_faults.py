"""Hard cases of scoped distribution on the distributors' side, each forced: what must hold is
checked by the world after each step."""

import pytest

from distribution_world import World, refusals, settled
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import RefusalReason
from indigohitch.fleet.distribution.subscriber_scope import decode_change
from indigohitch.net.clock import SECOND


def loads(world):
    return [len(server.machine.server.subscribers.subscribed()) for server in world.servers.values()]


def test_a_distributor_is_killed_with_its_subscribers():
    world = settled(World(1, subscribers=120))
    first = world.subscribers["s0000"].connector.choice.preferred
    world.kill(first)
    at = world.now
    world.drain(20)
    settled(world, 6)
    world.run(1)
    assert max(loads(world)) <= 1.6 * 120 / 5
    assert all(len(update.changes) <= 5 and not update.whole for t, _, _, update in world.updates if t > at)


def test_two_distributors_are_killed_within_a_second():
    world = settled(World(2, subscribers=120))
    world.kill("d1")
    world.run(0.5)
    world.kill("d4")
    world.drain(20)
    settled(world, 6)
    world.run(1)
    assert sum(loads(world)) == 120 and max(loads(world)) <= 1.6 * 120 / 4


def test_a_full_distributor_sends_subscribers_on():
    world = settled(World(3, subscribers=60, servers=3, limits=Limits(subscribers=20)))
    assert refusals(world, RefusalReason.FULL)
    assert max(loads(world)) == 20 and sum(loads(world)) == 60


def only_a_lagging_distributor_is_left(limits):
    world = World(4, servers=2, limits=limits)
    settled(world)
    world.servers["d0"].held_up = True
    world.drain(60)
    world.run(2)
    world.kill("d1")
    world.run(20)
    return world


def test_a_lagging_distributor_tells_nothing_older():
    world = only_a_lagging_distributor_is_left(Limits())
    assert refusals(world, RefusalReason.BEHIND)
    world.servers["d0"].held_up = False
    world.follow(world.servers["d0"])
    settled(world)


def test_without_the_guard_on_versions_something_older_is_applied():
    with pytest.raises(AssertionError, match="an older version was applied"):
        only_a_lagging_distributor_is_left(Limits(guard_versions=False))


def a_region_is_cut_off(limits):
    """Changes on both sides of a drain; returns the updates after it is back, and how many keys changed."""
    world = settled(World(5, services=8, subscribers=8, limits=limits))
    region = list(world.subscribers)[:4]
    service = sorted(world.scopes[region[0]])[0]
    world.set(service, {"a": b"up", "b": b"up", "c": b"up"})
    settled(world)
    world.set(service, {"a": b"draining"})
    world.run(0.2)
    world.isolate(region)
    for state in (b"1", b"2", b"3"):
        world.set(service, {"b": state})
        world.run(30)
    world.remove(service, "a")
    world.set(service, {"c": b"draining"})
    in_force = world.servers["d1"].machine.in_force(world.now)
    assert in_force.unreachable_count == 4 and in_force.acting == 0
    assert all(world.now >= world.subscribers[name].lease_until(world.now) for name in region)
    back = world.now
    world.isolate(())
    settled(world)
    updates = [update for at, _, name, update in world.updates if at >= back and name in region]
    assert not any(update.whole for update in updates), "resume sends what differs, not the whole"
    return updates


def test_a_region_cut_off_resumes_with_one_message_of_what_differs():
    updates = a_region_is_cut_off(Limits())
    changes = [decode_change(raw) for update in updates for raw in update.changes]
    assert all(not change.whole and len(change.changed) == 2 for change in changes)
    assert len(changes) <= 4 and all(change.removed == ("a",) for change in changes)


def test_without_resume_the_whole_scope_is_sent():
    with pytest.raises(AssertionError, match="resume sends"):
        a_region_is_cut_off(Limits(resume=False))


def test_a_zone_is_back_at_once_and_large_updates_wait_for_room():
    limits = Limits(small_bytes=200, large_bytes=3_000)  # checked by the world after each step
    world = settled(World(6, subscribers=80, reach=8, limits=limits))
    zone = list(world.subscribers)[:60]
    world.isolate(zone)
    world.run(20)
    world.isolate(())
    for name in zone:
        world.join(name, world.scopes[name])
    waited = 0
    for _ in range(60):
        world.run(0.01)
        waited = max(waited, *(len(s.machine.server.admission.waiting_large) for s in world.servers.values()))
    assert waited
    settled(world, 6)


def test_a_burst_of_700_drains_is_in_force_in_time_and_few_messages():
    world = settled(World(10, subscribers=40, services=300, reach=20))
    since = world.now
    for _ in range(10):
        world.drain(70)
        world.run(0.1)
    assert world.settle(5)
    counts = [
        sum(name == each for at, _, name, _ in world.updates if at >= since) for each in world.subscribers
    ]
    assert max(counts) <= 5  # two a second
    newest = max(world.truth[service][-1][0] for service in world.services)
    world.run(1)
    assert world.servers["d0"].machine.in_force(world.now).version == newest


def test_without_a_majority_the_last_version_stands_and_ages():
    world = settled(World(11))
    world.majority = False
    world.run(30)
    world.join("late", world.services[:3])
    world.run(2)
    for subscriber in world.subscribers.values():
        assert world.now >= subscriber.lease_until(world.now)
        assert subscriber.age(world.now) is None or subscriber.age(world.now) > 25 * SECOND
    assert not world.wrong()
    world.majority = True
    world.run(20)
    assert all(world.now < each.lease_until(world.now) for each in world.subscribers.values())


def test_a_distributor_that_starts_empty_is_no_authority():
    world = settled(World(12, servers=3))
    world.kill("d0")
    world.start("d0").held_up = True
    world.kill("d1")
    world.kill("d2")
    world.run(10)
    assert refusals(world, RefusalReason.STARTING) and not world.wrong() and loads(world) == [0]
    world.servers["d0"].held_up = False
    world.follow(world.servers["d0"])
    world.run(30)
    assert loads(world) == [20] and not world.wrong()
