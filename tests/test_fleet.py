"""Several coordinators at once, each with its part of the slices: decisions that are right for each one alone
must not overload backends together.  `World.check` checks every step of each of them; runs are seeded.
"""

import pytest

from fleet import Fleet
from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World


def replace(fleet, part=0.6, steps=6):
    """Drains a part of the backends within `steps` seconds while new ones start; returns the new ids."""
    old = list(fleet.nodes)[: int(part * len(fleet.nodes))]
    for i in range(steps):
        for b in old[i * len(old) // steps : (i + 1) * len(old) // steps]:
            fleet.drain(b)
            fleet.start_node(f"n{b}")
        fleet.run(SECOND)
    return [f"n{b}" for b in old]


def splits(fleet):
    return sum(len(s.assignments) > 1 for world in fleet.worlds for s in world.c.slices.values())


@pytest.mark.parametrize("seed", range(3))
def test_slices_are_split_by_the_load_of_all_coordinators(seed):
    """The target load counts what a backend gets from all coordinators.

    Compared with one coordinator's part of a backend, half of all slices were split.
    """
    fleet = Fleet(seed, 5, 40, 232)
    fleet.run(14 * SECOND)
    assert splits(fleet) < 232 // 10
    alone = Fleet(seed, 1, 40, 232)
    alone.run(14 * SECOND)
    assert splits(fleet) <= splits(alone) + 232 // 10


@pytest.mark.parametrize("seed", range(3))
def test_new_backends_take_over_when_six_in_ten_are_replaced_within_seconds(seed):
    """Drains are in time, no cold backend is overloaded, and nearly all of them get slices.

    When each coordinator had its own share of a cold backend, the share was below the load of one slice, so
    the warm backends were overloaded instead.
    """
    fleet = Fleet(seed, 5, 40, 232)
    fleet.run(14 * SECOND)
    new = replace(fleet)
    fleet.run(2 * SECOND)
    assert fleet.served_share(8 * SECOND) > 0.4  # 0.2 to 0.3 with the fault
    assert not fleet.overload_failures
    counts = fleet.slice_counts(new)
    assert sum(not count for count in counts.values()) <= 4 and max(counts.values()) <= 12


def test_one_coordinator_fills_a_cold_backend_and_all_do_once_it_is_warm():
    fleet = Fleet(2, 5, 20, 116)
    fleet.run(10 * SECOND)
    fleet.start_node("new")
    fleet.run(9 * SECOND)
    owning = [n for n, world in enumerate(fleet.worlds) if any("new" in t for t in world.tables.values())]
    assert len(owning) == 1 and fleet.slice_counts(["new"])["new"] >= 1 and not fleet.overload_failures
    fleet.run(30 * SECOND)
    assert fleet.slice_counts(["new"])["new"] >= 2


def take_over(fleet, lost):
    """Stops a coordinator; within a second the others own its slices, with the routes in the store."""
    failed = fleet.worlds[lost]
    fleet.down.add(lost)
    new_events = {n: [] for n in range(len(fleet.worlds)) if n != lost}
    for i, (s, table) in enumerate(failed.tables.items()):
        n = sorted(new_events)[i % len(new_events)]
        new_events[n] += [
            face.SliceOwnership(s, True),
            *(face.StoredRoute(s, b, weight) for b, weight in table.items()),
        ]
    failed.tables = {}
    for n, events in new_events.items():
        fleet.in_transit.append((fleet.now + fleet.random.randint(0, SECOND), n, events))


@pytest.mark.parametrize("seed", range(3))
def test_bounds_hold_when_the_slices_and_proxies_of_a_failed_coordinator_move(seed):
    """640 proxies join the four remaining coordinators within a second, while two backends drain.

    The channel stays within its bound, every slice has a route, drains are in time (`World.check`), and each
    proxy gets the retry level.
    """
    fleet = Fleet(seed, 5, 40, 232, proxies=40, queue_cap=640 * 173, lines_per_s=640 * 115, slow=4)
    fleet.run(8 * SECOND)
    take_over(fleet, 2)
    fleet.drain("b3")
    fleet.drain("b17")
    for n in range(5):
        if n != 2:
            joins = [face.ProxyJoined(p, "east", 5.0, False) for p in range(40, 640)]
            for at in range(0, len(joins), 60):
                fleet.in_transit.append((fleet.now + at * SECOND // 600, n, joins[at : at + 60]))
    fleet.run(8 * SECOND)
    left = [world for n, world in enumerate(fleet.worlds) if n != 2]
    assert sum(len(world.tables) for world in left) == 232 and all(
        len(world.proxies) == 640 for world in left
    )
    assert all(world.c.levels_sent == world.proxies for world in left)
    assert not fleet.slice_counts(["b3"])["b3"] and not fleet.slice_counts(["b17"])["b17"]


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_that_fails_and_returns_cold_gets_slices_while_others_drain(seed):
    """A third of the backends stop responding, are listed as gone and return cold; four more drain."""
    fleet = Fleet(seed, 5, 39, 226, load=0.35)
    fleet.run(14 * SECOND)
    zone = [b.id for b in fleet.nodes.values() if b.zone == "east"]
    for id in zone:
        fleet.nodes[id].silent, fleet.nodes[id].state = True, "gone"
    fleet.notify(*(fleet.nodes[id] for id in zone), after=2 * SECOND)
    fleet.run(3 * SECOND)
    for id in ("b1", "b2", "b4", "b5"):
        fleet.drain(id)
    fleet.run(2 * SECOND)
    for id in zone:
        fleet.nodes[id].state = "ready"
    fleet.restart(*zone)
    fleet.run(12 * SECOND)
    assert not fleet.overload_failures and not any(fleet.slice_counts(["b1", "b2", "b4", "b5"]).values())
    assert sum(n > 0 for n in fleet.slice_counts(zone).values()) >= len(zone) * 2 // 3
    assert fleet.served_share(4 * SECOND) > 0.9


@pytest.mark.parametrize("seed", range(3))
def test_few_slices_move_with_steady_demand(seed):
    """With steady demand five coordinators make few moves; with the fault they made 35 to 58 in this time."""
    fleet = Fleet(seed, 5, 40, 232)
    fleet.run(30 * SECOND)
    order_counts = [len(world.log) for world in fleet.worlds]
    fleet.run(20 * SECOND)
    lines = sum(
        isinstance(o, face.SetRoute) and o.weight > 0
        for world, count in zip(fleet.worlds, order_counts)
        for _, orders in world.log[count:]
        for o in orders
    )
    assert lines <= 24
    since = fleet.now - 4 * SECOND
    uses = [use for time, _, use in fleet.uses if time > since]
    assert max(uses) < 2.0


def test_coordinators_spread_their_list_requests_and_back_off_while_they_fail():
    """Discovery fails under too many callers: their requests must spread, and the last list stays in use."""
    fleet = Fleet(1, 5, 6, 30)
    fleet.run(2 * SECOND)
    asked = [[] for _ in fleet.worlds]
    fails, begin = [None] * 5, fleet.now
    for world in fleet.worlds:
        world.step(0, face.BackendList("failed", 0, ()))
    for _ in range(300):
        fleet.now += SECOND // 10
        for n, world in enumerate(fleet.worlds):
            orders = world.step(SECOND // 10, *([fails[n]] if fails[n] else []))
            fails[n] = None
            if any(isinstance(o, face.WatchBackends) for o in orders):
                asked[n].append(fleet.now - begin)
                fails[n] = face.BackendList("failed", 0, ())
    for times in asked:
        waits = [b - a for a, b in zip(times, times[1:])]
        assert waits[0] < 3 * SECOND and 2 * SECOND <= min(waits[3:]) and max(waits) < 5 * SECOND
    together = [t for times in asked for t in times if t > 5 * SECOND]
    assert all(sum(0 <= t - s < SECOND // 10 for t in together) <= 4 for s in together)
    assert all(len(world.listed) == 6 for world in fleet.worlds) and all(
        world.c.ready_backends() for world in fleet.worlds
    )


@pytest.mark.parametrize("coordinators,cut", [(5, False), (1, True)])
def test_the_queue_wait_is_computed_from_the_rate_of_all_coordinators(coordinators, cut):
    """Four RPCs wait at each backend.

    At the rate of one coordinator, six RPCs per second, that is over half of the shortest soft deadline. With
    the same rate from four more it is a tenth, and no RPC is rejected.
    """
    world = World(coordinators=coordinators, own_number=0)
    world.start(8, 24)
    world.run(14 * SECOND, queued={f"b{n}": 4.0 for n in range(8)})
    assert any(s.admission_ratio < 1 for s in world.c.slices.values()) == cut
