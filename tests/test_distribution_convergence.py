"""Tests which version is reported in force, and in which order subscribers prefer the distributors."""

from collections import Counter

from distribution_simulation import Simulation, converged
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


def test_a_version_is_in_force_only_once_all_reachable_subscribers_have_acknowledged_it():
    simulation = converged(Simulation(20, subscriber_count=12, service_count=3, scope_size=3))
    simulation.run(1)
    before = simulation.distributors["d0"].machine.in_force(simulation.now)
    assert before.version == before.newest and not before.behind_count and before.subscribers == 12
    simulation.suspend("s0005")
    simulation.set(simulation.services[0], {"new": b"up"})
    simulation.run(2)
    during = simulation.distributors["d0"].machine.in_force(simulation.now)
    assert during.version == before.version < during.newest and during.behind_count == 1
    assert during.behind[0].subscriber == "s0005" and during.behind[0].missing == during.newest
    assert SECOND < during.age < 3 * SECOND
    simulation.run(10)  # it becomes unreachable: it is counted separately, and its lease expires
    after = simulation.distributors["d0"].machine.in_force(simulation.now)
    assert after.version == after.newest and after.unreachable_count == 1
    assert after.unreachable[0].subscriber == "s0005" and after.acting == 0
    simulation.resume("s0005")
    converged(simulation)
    simulation.run(1)
    assert not simulation.distributors["d0"].machine.in_force(simulation.now).unreachable_count


def test_subscribers_of_a_silent_distributor_that_no_other_serves_count_as_unreachable():
    limits = Limits()
    fleet = FleetConvergence("d0", ["d0", "d1", "d2"], limits)
    fleet.on_report(0, report("d1", 9, 9, ["a", "b", "c"]))
    own_report = report("d0", 9, 9, ["d"])
    initial = fleet.in_force(0, own_report)
    assert initial.silent == ("d2",) and not initial.unreachable_count and initial.subscribers == 4
    later = fleet.in_force(8 * SECOND, report("d0", 12, 11, ["d", "b"], ["x"], age=5))
    assert later.silent == ("d1", "d2") and later.version == Version(1, 11) and later.age == 5
    assert later.unreachable_count == 3  # a and c, which d1 served, and x
    assert later.acting == grantor_span(limits.lease, limits.drift)


def test_the_distributor_that_is_furthest_behind_determines_the_version_in_force():
    fleet = FleetConvergence("d0", ["d0", "d1", "d2"], Limits())
    fleet.on_report(0, report("d1", 5, 4, ["a"], age=30))
    fleet.on_report(0, report("d2", 9, 9))  # serves no subscribers
    assert fleet.in_force(10, report("d0", 9, 9, ["b"])).version == Version(1, 4)
    assert fleet.in_force(10, report("d0", 9, 9, ["b"])).age == 40


def test_rendezvous_order_spreads_the_subscribers_of_a_lost_distributor_over_all_others():
    weights = dict.fromkeys("abcdef", 1.0)
    orders = [rendezvous_order(f"s{number}", weights) for number in range(6_500)]
    first = Counter(order[0] for order in orders)
    assert max(first.values()) < 1.1 * 6_500 / 6
    after = Counter(order[1] if order[0] == "a" else order[0] for order in orders)
    assert max(after.values()) < 1.1 * 6_500 / 5
    heavy = Counter(rendezvous_order(f"s{number}", weights | {"a": 2.0})[0] for number in range(6_500))
    assert 0.9 * 2 / 7 < heavy["a"] / 6_500 < 1.1 * 2 / 7
