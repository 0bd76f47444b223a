"""Faults of distributors and of the network, in a simulation that checks invariants at each step."""

import pytest

from distribution_simulation import Simulation, converged, refusals
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import RefusalReason
from indigohitch.fleet.distribution.subscriber_scope import decode_change
from indigohitch.net.clock import SECOND


def loads(simulation):
    return [len(each.machine.server.subscribers.subscribed()) for each in simulation.distributors.values()]


def test_subscribers_of_a_killed_distributor_resume_at_the_others_within_6_s():
    simulation = converged(Simulation(1, subscriber_count=120))
    preferred = simulation.subscribers["s0000"].connector.choice.preferred
    simulation.kill_distributor(preferred)
    killed_at = simulation.now
    simulation.drain(20)
    converged(simulation, 6)
    simulation.run(1)
    assert max(loads(simulation)) <= 1.6 * 120 / 5
    assert all(
        len(update.changes) <= 5 and not update.whole
        for at, _, _, update in simulation.updates
        if at > killed_at
    )


def test_subscribers_resume_within_6_s_when_two_distributors_are_killed_within_a_second():
    simulation = converged(Simulation(2, subscriber_count=120))
    simulation.kill_distributor("d1")
    simulation.run(0.5)
    simulation.kill_distributor("d4")
    simulation.drain(20)
    converged(simulation, 6)
    simulation.run(1)
    assert sum(loads(simulation)) == 120 and max(loads(simulation)) <= 1.6 * 120 / 4


def test_a_full_distributor_refuses_subscribers_which_connect_to_others():
    simulation = converged(
        Simulation(3, subscriber_count=60, distributor_count=3, limits=Limits(subscribers=20))
    )
    assert refusals(simulation, RefusalReason.FULL)
    assert max(loads(simulation)) == 20 and sum(loads(simulation)) == 60


def leave_only_a_lagging_distributor(limits):
    simulation = Simulation(4, distributor_count=2, limits=limits)
    converged(simulation)
    simulation.distributors["d0"].is_lagging = True
    simulation.drain(60)
    simulation.run(2)
    simulation.kill_distributor("d1")
    simulation.run(20)
    return simulation


def test_a_lagging_distributor_sends_no_older_version():
    simulation = leave_only_a_lagging_distributor(Limits())
    assert refusals(simulation, RefusalReason.BEHIND)
    simulation.distributors["d0"].is_lagging = False
    simulation.apply_committed(simulation.distributors["d0"])
    converged(simulation)


def test_without_the_version_guard_an_older_version_is_applied():
    with pytest.raises(AssertionError, match="an older version was applied"):
        leave_only_a_lagging_distributor(Limits(guard_versions=False))


def isolate_a_region(limits):
    """Isolates four subscribers, changes a service meanwhile; returns their updates after they are back."""
    simulation = converged(Simulation(5, service_count=8, subscriber_count=8, limits=limits))
    region = list(simulation.subscribers)[:4]
    service = sorted(simulation.scopes[region[0]])[0]
    simulation.set(service, {"a": b"up", "b": b"up", "c": b"up"})
    converged(simulation)
    simulation.set(service, {"a": b"draining"})
    simulation.run(0.2)
    simulation.isolate(region)
    for state in (b"1", b"2", b"3"):
        simulation.set(service, {"b": state})
        simulation.run(30)
    simulation.remove(service, "a")
    simulation.set(service, {"c": b"draining"})
    in_force = simulation.distributors["d1"].machine.in_force(simulation.now)
    assert in_force.unreachable_count == 4 and in_force.acting == 0
    assert all(simulation.now >= simulation.subscribers[name].lease_until(simulation.now) for name in region)
    reconnected_at = simulation.now
    simulation.isolate(())
    converged(simulation)
    updates = [
        update for at, _, name, update in simulation.updates if at >= reconnected_at and name in region
    ]
    assert not any(update.whole for update in updates), "resume sends a delta, not the whole scope"
    return updates


def test_an_isolated_region_resumes_with_one_delta_for_each_subscriber():
    updates = isolate_a_region(Limits())
    changes = [decode_change(raw) for update in updates for raw in update.changes]
    assert all(not change.whole and len(change.changed) == 2 for change in changes)
    assert len(changes) <= 4 and all(change.removed == ("a",) for change in changes)


def test_without_resume_the_whole_scope_is_sent():
    with pytest.raises(AssertionError, match="resume sends a delta"):
        isolate_a_region(Limits(resume=False))


def test_large_updates_wait_for_capacity_when_a_zone_reconnects_at_once():
    limits = Limits(small_bytes=200, large_bytes=3_000)  # the simulation checks them after each step
    simulation = converged(Simulation(6, subscriber_count=80, scope_size=8, limits=limits))
    zone = list(simulation.subscribers)[:60]
    simulation.isolate(zone)
    simulation.run(20)
    simulation.isolate(())
    for name in zone:
        simulation.add_subscriber(name, simulation.scopes[name])
    max_waiting = 0
    for _ in range(60):
        simulation.run(0.01)
        max_waiting = max(
            max_waiting,
            *(len(each.machine.server.admission.waiting_large) for each in simulation.distributors.values()),
        )
    assert max_waiting
    converged(simulation, 6)


def test_a_burst_of_700_drains_is_in_force_within_5_s_with_at_most_5_updates_for_each_subscriber():
    simulation = converged(Simulation(10, subscriber_count=40, service_count=300, scope_size=20))
    started_at = simulation.now
    for _ in range(10):
        simulation.drain(70)
        simulation.run(0.1)
    assert simulation.converge(5)
    counts = [
        sum(name == each for at, _, name, _ in simulation.updates if at >= started_at)
        for each in simulation.subscribers
    ]
    assert max(counts) <= 5  # at most two per second
    newest = max(simulation.history[service][-1][0] for service in simulation.services)
    simulation.run(1)
    assert simulation.distributors["d0"].machine.in_force(simulation.now).version == newest


def test_without_a_majority_the_last_version_stays_in_use_and_its_age_grows():
    simulation = converged(Simulation(11))
    simulation.has_majority = False
    simulation.run(30)
    simulation.add_subscriber("late", simulation.services[:3])
    simulation.run(2)
    for subscriber in simulation.subscribers.values():
        assert simulation.now >= subscriber.lease_until(simulation.now)
        assert subscriber.age(simulation.now) is None or subscriber.age(simulation.now) > 25 * SECOND
    assert not simulation.outdated()
    simulation.has_majority = True
    simulation.run(20)
    assert all(simulation.now < each.lease_until(simulation.now) for each in simulation.subscribers.values())


def test_a_distributor_that_has_not_caught_up_refuses_subscribers():
    simulation = converged(Simulation(12, distributor_count=3))
    simulation.kill_distributor("d0")
    simulation.start_distributor("d0").is_lagging = True
    simulation.kill_distributor("d1")
    simulation.kill_distributor("d2")
    simulation.run(10)
    assert (
        refusals(simulation, RefusalReason.STARTING)
        and not simulation.outdated()
        and loads(simulation) == [0]
    )
    simulation.distributors["d0"].is_lagging = False
    simulation.apply_committed(simulation.distributors["d0"])
    simulation.run(30)
    assert loads(simulation) == [20] and not simulation.outdated()
