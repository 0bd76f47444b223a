"""What is called in force, and which distributor a subscriber asks."""

from collections import Counter

from distribution_world import World, settled
from indigohitch.fleet.distribution.convergence import FleetConvergence
from indigohitch.fleet.distribution.distributor_choice import rendezvous_order
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import Report
from indigohitch.fleet.distribution.types import Version, subscriber_mark
from indigohitch.fleet.membership.leases import grantor_span
from indigohitch.net.clock import SECOND


def marks(names):
    return b"".join(subscriber_mark(name) for name in names)


def report(name, version, in_force, connected=(), lost=(), age=0):
    return Report(
        name,
        1,
        Version(1, version),
        Version(1, in_force),
        age,
        0,
        len(connected),
        connected=marks(connected),
        lost=marks(lost),
    )


def test_a_version_is_in_force_only_once_all_who_are_reached_have_acknowledged_it():
    world = settled(World(20, subscribers=12, services=3, reach=3))
    world.run(1)
    before = world.servers["d0"].machine.in_force(world.now)
    assert before.version == before.newest and not before.behind_count and before.subscribers == 12
    world.stop("s0005")
    world.set(world.services[0], {"new": b"up"})
    world.run(2)
    during = world.servers["d0"].machine.in_force(world.now)
    assert during.version == before.version < during.newest and during.behind_count == 1
    assert during.behind[0].subscriber == "s0005" and during.behind[0].missing == during.newest
    assert SECOND < during.age < 3 * SECOND
    world.run(10)  # it is not reached any more: counted apart, and its lease runs out
    apart = world.servers["d0"].machine.in_force(world.now)
    assert apart.version == apart.newest and apart.unreachable_count == 1
    assert apart.unreachable[0].subscriber == "s0005" and apart.acting == 0
    world.go_on("s0005")
    settled(world)
    world.run(1)
    assert not world.servers["d0"].machine.in_force(world.now).unreachable_count


def test_a_silent_distributor_is_counted_apart_with_those_that_nobody_else_serves():
    limits = Limits()
    fleet = FleetConvergence("d0", ["d0", "d1", "d2"], limits)
    fleet.on_report(0, report("d1", 9, 9, ["a", "b", "c"]))
    own = report("d0", 9, 9, ["d"])
    at_first = fleet.in_force(0, own)
    assert at_first.silent == ("d2",) and not at_first.unreachable_count and at_first.subscribers == 4
    later = fleet.in_force(8 * SECOND, report("d0", 12, 11, ["d", "b"], ["x"], age=5))
    assert later.silent == ("d1", "d2") and later.version == Version(1, 11) and later.age == 5
    assert later.unreachable_count == 3  # a and c, that d1 served, and x
    assert later.acting == grantor_span(limits.lease, limits.drift)


def test_the_distributor_that_is_furthest_behind_holds_the_version_back():
    fleet = FleetConvergence("d0", ["d0", "d1", "d2"], Limits())
    fleet.on_report(0, report("d1", 5, 4, ["a"], age=30))
    fleet.on_report(0, report("d2", 9, 9))  # serves nobody
    assert fleet.in_force(10, report("d0", 9, 9, ["b"])).version == Version(1, 4)
    assert fleet.in_force(10, report("d0", 9, 9, ["b"])).age == 40


def test_rendezvous_spreads_those_of_a_lost_distributor_over_all_others():
    weights = dict.fromkeys("abcdef", 1.0)
    orders = [rendezvous_order(f"s{number}", weights) for number in range(6_500)]
    first = Counter(order[0] for order in orders)
    assert max(first.values()) < 1.1 * 6_500 / 6
    after = Counter(order[1] if order[0] == "a" else order[0] for order in orders)
    assert max(after.values()) < 1.1 * 6_500 / 5
    heavy = Counter(rendezvous_order(f"s{number}", weights | {"a": 2.0})[0] for number in range(6_500))
    assert 0.9 * 2 / 7 < heavy["a"] / 6_500 < 1.1 * 2 / 7
