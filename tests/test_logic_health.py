"""Health of backends: unresponsive, slow or full ones, and faults that all backends share.

Each test covers one rule or one fault that was found.
"""

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.planner import allowance
from orders import changes
from world import World, entry


def test_the_allowance_is_lower_while_many_attempts_fail():
    """Retries after failures overloaded a cold backend that was filled up to its allowance."""
    world, allowances = World(), []
    world.start(6, 30)
    world.run(10 * SECOND)
    world.step(0, changes(entry("new", started=world.now)))
    for bad in ((), ("b1",)):
        world.run(2 * SECOND, bad=bad)
        backend = world.c.backends["new"]
        allowances.append(
            allowance(world.c, backend) / backend.warmup_fraction / world.c.throughput_per_weight
        )
    assert allowances[1] < 0.8 * allowances[0]


def test_an_unresponsive_backend_loses_its_slices_without_the_list_and_gets_some_back():
    world = World()
    world.start(6, 30)
    world.run(14 * SECOND)
    world.run(10 * SECOND, bad={"b2"})
    assert "b2" not in world.owners().values()
    world.run(60 * SECOND)
    assert "b2" in world.owners().values()


def test_a_full_backend_whose_probes_time_out_counts_as_responsive():
    """Probes wait in the queue of the backend; while reports hold successful attempts it works."""
    world = World()
    world.start(6, 30)
    for _ in range(8):
        world.step(0, *world.probes({"b2"}))
        world.run(2 * SECOND)
    assert not world.c.backends["b2"].is_unresponsive


def test_a_slow_link_to_a_zone_does_not_make_its_backends_unresponsive():
    """Probes over a slow link time out; with many backends, new ones behind it never got a slice."""
    world = World()
    world.start(9, 36)
    far = {"b0", "b1", "b2", "new"}
    world.step(0, changes(*(entry(b, zone="far") for b in sorted(far - {"new"})), entry("new", zone="far")))
    for _ in range(12):
        world.step(0, *world.probes(far))
        world.run(2 * SECOND, probe=False)
    assert not any(b.is_unresponsive or b.is_suspect for b in world.c.backends.values())
    assert "new" in world.owners().values()


def test_failures_of_all_backends_at_once_lower_no_health():
    world = World()
    world.start(6, 30)
    world.run(14 * SECOND)
    before = world.owners()
    world.run(16 * SECOND, bad={f"b{i}" for i in range(6)})
    assert world.owners() == before and min(b.health for b in world.c.backends.values()) > 0.9


def test_a_slow_kind_of_backend_gets_fewer_slices():
    world = World()
    world.start(0, 0)
    world.step(
        0, face.BackendList("full", 2, tuple(entry(f"b{i}", kind=("std", "lite")[i % 2]) for i in range(6)))
    )
    world.step(
        0,
        *(
            e
            for s in range(36)
            for e in (face.SliceOwnership(s, True), face.StoredRoute(s, f"b{s % 6}", 1.0))
        ),
    )
    world.run(60 * SECOND, service={f"b{i}": 5000 for i in (1, 3, 5)})
    slice_counts = [sum(b == f"b{i}" for b in world.owners().values()) for i in range(6)]
    assert max(slice_counts[1::2]) < min(slice_counts[::2])


def test_admission_ratios_follow_queues_at_several_backends_and_recover():
    """A queue at a single backend is relieved by moves; rejecting its RPCs lost them without need."""

    def limited(world):
        """Returns the backends of the slices whose admission ratio was lowered."""
        return {
            o.table % 5
            for _, orders in world.log
            for o in orders
            if isinstance(o, face.SetAdmission) and o.admission_ratio < 1
        }

    world = World()
    world.start(5, 25)
    world.run(8 * SECOND, queued={"b1": 200})
    assert not limited(world)
    world.run(8 * SECOND, queued={"b1": 200, "b3": 200})
    assert limited(world) == {1, 3}
    world.run(60 * SECOND)
    assert all(s.admission_ratio == 1.0 for s in world.c.slices.values())


def test_attempts_reported_before_any_demand_make_no_backend_slow():
    """The order of the first reports decided which backends counted as slow."""
    world = World()
    world.start(6, 12)
    early = [
        face.BackendTraffic("east", f"b{i}", 40, 0, 2500, 2 * SECOND, {"service_time": 2500})
        for i in range(3)
    ]
    world.step(SECOND, *early)
    world.run(8 * SECOND)
    assert max(b.excess for b in world.c.backends.values()) < 1.1


def test_no_retry_level_is_announced_where_admission_ratios_are_rates():
    world = World(admission="rate")
    # A ratio of 1 would be one RPC per second.
    assert not [o for o in world.start() if isinstance(o, face.SetAdmission)]


def test_the_slices_of_failed_coordinators_do_not_raise_the_allowance_of_cold_backends():
    """When four of five coordinators were killed, the remaining one owned all slices for 3.5 s.

    Its allowance for cold backends was 2.4 times too large for the rest of the run.
    """
    world = World(coordinators=5, own_number=0, slices=150)
    world.start(6, 30)
    world.run(20 * SECOND)
    usual = world.c.throughput_per_weight
    others = range(100, 220)
    for s in others:
        world.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, f"b{s % 6}", 1.0))
    world.run(6 * SECOND)
    for s in others:
        world.step(0, face.SliceOwnership(s, False))
    for _ in range(5):
        assert 0.5 * usual < world.c.throughput_per_weight < 1.2 * usual
        world.run(4 * SECOND)


def test_fewer_slices_than_the_usual_share_do_not_raise_the_allowance():
    world = World(coordinators=5, own_number=0, slices=1500)
    world.start(6, 30)
    world.run(20 * SECOND)
    plain = World(coordinators=5, own_number=0)
    plain.start(6, 30)
    plain.run(20 * SECOND)
    assert world.c.throughput_per_weight == plain.c.throughput_per_weight > 0
