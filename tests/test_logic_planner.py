"""The planner: the utilization band, cold backends, splits and drains.

Each test covers one rule or one fault that was found.
"""

import random

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.planner import allowance
from orders import changes, lines
from world import World, entry


def test_stored_owners_stay_at_the_start():
    world = World()
    world.start()
    assert not lines(world.run(8 * SECOND))  # planning waits for a few reports


def test_slices_move_from_the_busiest_to_the_least_loaded_until_inside_the_band():
    world = World()
    world.start(4, 24)
    rates = {s: 6.0 for s in range(0, 24, 4)}  # all on b0
    before = world.owners()
    world.run(40 * SECOND, rates)
    moved = [s for s, b in world.owners().items() if b != before[s]]
    assert moved and all(before[s] == "b0" for s in moved)
    assert not lines(world.run(20 * SECOND, rates))  # no moves once balanced


def test_a_small_imbalance_moves_nothing():
    world = World()
    world.start(4, 24)
    assert not lines(world.run(60 * SECOND, {0: 4.5}))  # 1.15 times the mean: inside the band


def test_a_cold_backend_gets_at_most_two_slices_per_round():
    world = World()
    world.start(4, 160)  # with light slices its allowance is no limit
    rates = {s: 3.0 for s in range(0, 160, 4)}
    world.run(8 * SECOND, rates)
    world.step(0, changes(entry("new", started=world.now)))
    counts = [0]
    for _ in range(7):
        world.run(2 * SECOND, rates)
        counts.append(len(world.c.backends["new"].assignments))
    assert counts[-1] > 2 and max(b - a for a, b in zip(counts, counts[1:])) <= 2


def world_with_cold_backend():
    """Returns a world whose backend "new" started ten seconds ago and is cold, and the slices on it."""
    world = World()
    world.start(4, 160)
    rates = {s: 3.0 for s in range(0, 160, 4)}
    world.run(20 * SECOND, rates)
    world.step(0, changes(entry("new", started=world.now)))
    world.run(10 * SECOND, rates)
    return world, sorted(s for s, table in world.tables.items() if "new" in table)


def test_a_slice_in_a_burst_leaves_a_cold_backend_with_the_first_report():
    """A burst on one slice overloaded a cold backend within 1.6 s, on a run with late lists.

    The demand averaged over 7 s showed only a quarter of the burst.
    """
    world, cold_slices = world_with_cold_backend()
    burst = cold_slices[0]
    report = face.SliceDemand(burst, "search", 450, 0, 2 * SECOND)
    world.step(2 * SECOND, report)
    allowed = allowance(world.c, world.c.backends["new"])
    assert world.c.slices[burst].load < 1.5 * allowed < 450  # by the smoothed demand alone it would stay
    assert "new" not in world.tables[burst]
    assert all("new" in world.tables[s] for s in cold_slices[1:])


def test_noise_in_one_report_is_no_burst():
    world, cold_slices = world_with_cold_backend()
    slice_ = world.c.slices[cold_slices[0]]
    # A cost of 9 per second, which is usually 6.
    world.step(2 * SECOND, face.SliceDemand(slice_.number, "search", 9, 0, 2 * SECOND))
    assert slice_.recent_load < 8 and slice_.load < 8


def test_a_report_over_several_periods_is_no_burst():
    world, cold_slices = world_with_cold_backend()
    world.step(8 * SECOND, *(face.SliceDemand(s, "search", 24, 0, 8 * SECOND) for s in cold_slices))
    assert all(world.c.slices[s].recent_load < 1.5 * world.c.slices[s].load for s in cold_slices)


def test_demand_after_a_pause_counts_as_recent():
    """A report after a pause also covers the time without demand: all of its RPCs may be recent."""
    world, cold_slices = world_with_cold_backend()
    slice_ = world.c.slices[cold_slices[0]]
    world.step(8 * SECOND, face.SliceDemand(slice_.number, "search", 200, 0, 8 * SECOND))
    assert (
        slice_.recent_load > 100 > 1.5 * slice_.load
    )  # the cost is 400; evenly over 8 s it is 50 per second


def test_a_hot_slice_is_not_given_to_a_cold_backend():
    """Under overload the allowance was computed from the capacity that was left."""
    world = World()
    world.start(4, 24)
    rates = {0: 120.0}
    world.run(20 * SECOND, rates, bad={"b1", "b2"})
    world.step(0, changes(entry("new", started=world.now)))
    world.run(8 * SECOND, rates, bad={"b1", "b2"})
    assert "new" not in world.tables[0]


def test_new_backends_are_filled_while_the_others_fail():
    """The allowance of new backends was computed from what overloaded ones answered."""
    world = World()
    world.start(12, 72)
    world.run(20 * SECOND, {s: 6.0 for s in range(72)})
    world.step(
        0,
        changes(*(entry(f"b{i}", "gone") for i in range(6))),
        changes(*(entry(f"n{i}", started=world.now) for i in range(6))),
    )
    world.run(8 * SECOND, {s: 6.0 for s in range(72)}, bad={f"b{i}" for i in range(6, 12)})
    assert sum(b.startswith("n") for b in world.owners().values()) >= 12


def test_a_slice_too_hot_for_any_backend_is_split_and_merged_again():
    world = World()
    world.start(6, 30)
    world.run(30 * SECOND, {0: 60.0})
    assert len(world.tables[0]) > 1
    world.run(60 * SECOND)
    assert len(world.tables[0]) == 1


def test_a_hot_slice_is_split_after_three_report_periods():
    """Hot slices were not split for the first ten seconds, which is a third of a short run."""
    world = World()
    world.start(4, 24)
    world.run(8 * SECOND, {0: 60.0})
    assert len(world.c.slices[0].assignments) > 1
    world = World()
    world.start(4, 24)
    world.run(4 * SECOND, {0: 60.0})  # two periods may be noise
    assert len(world.c.slices[0].assignments) == 1


def test_noise_moves_few_slices_between_many_backends():
    """Among many backends one always looks the busiest, by noise alone."""
    world, rng, moved = World(), random.Random(5), 0
    world.start(60, 360, proxies=3)
    for _ in range(40):
        orders = world.run(
            2 * SECOND, {s: sum(rng.random() < 0.05 for _ in range(40)) / 2 for s in range(360)}
        )
        moved += sum(isinstance(o, face.SetRoute) and o.weight > 0 for o in orders)
    assert moved < 90
