"""The reconciler: drains in time, partial updates, staged changes and the capacity of the channel.

Each test covers one rule or one fault that was found.
"""

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.planner import move
from orders import changes, lines
from world import World, entry


def test_a_drain_is_ordered_at_once_and_in_one_message():
    world = World()
    world.start()
    world.run(4 * SECOND)
    routes = lines(world.step(100, changes(entry("b1", "draining"))))
    removed = {o.table for o in routes if not o.weight}
    assert removed == {1, 7} and {o.table for o in routes if o.weight} == removed


def test_a_pending_move_does_not_hide_a_drain():
    """The planner had assigned slices to a new owner, and their old routes were still stored when the former
    owner began to drain.
    """
    world = World()
    world.start(4, 80)
    world.run(2 * SECOND)
    for number in range(0, 80, 4):
        move(world.c, world.c.slices[number].assignments[0], world.c.backends["b1"])
    world.step(SECOND)
    assert any("b0" in t for t in world.tables.values())  # more than one update takes
    world.step(0, changes(entry("b0", "draining")))
    world.step(2 * SECOND)
    assert all("b0" not in t for t in world.tables.values())


def test_a_drain_is_in_time_after_a_burst_of_messages():
    world = World()
    world.start(8, 60)
    for number in range(1, 5):
        world.step(SECOND, changes(entry(f"b{number}", "draining")))  # World.check: grace and message limit
    world.step(3 * SECOND)
    assert set(world.owners().values()) <= {"b0", "b5", "b6", "b7"}


def test_the_retry_level_allows_retries_after_proof_only():
    world = World()
    orders = [o for o in world.start() if isinstance(o, face.SetAdmission)]
    assert orders and all(o.retry_level == 1 and o.admission_ratio == 1.0 for o in orders)


def test_six_planned_changes_go_out_at_once_and_more_are_staged():
    """Two in three moves of a planning round waited for a later update while their backend was overloaded."""
    for moved, expected in ((6, 6), (24, 8)):
        world = World()
        world.start(6, 36)
        world.run(2 * SECOND)
        before = len(world.log)
        for number in range(moved):
            move(world.c, world.c.slices[number].assignments[0], world.c.backends[f"b{(number + 1) % 6}"])
        world.step(SECOND)
        updates = [
            {o.table for o in orders if isinstance(o, face.SetRoute)} for _, orders in world.log[before:]
        ]
        assert len(next(filter(None, updates))) == expected


def test_a_large_update_goes_out_in_parts():
    """More admission ratios than the channel takes at once were held back for ever."""
    world = World(queue_cap=1500)
    world.start(6, 200, proxies=9)
    world.run(20 * SECOND, queued={f"b{i}": 300 for i in range(6)})
    assert sum(s.admission_ratio < 1 for s in world.c.slices.values()) > 30


def test_drains_are_in_time_with_many_proxies():
    """With many proxies a drain in many parts, each with its envelope, took longer than its grace."""
    world = World(queue_cap=7000, lines_per_s=7000, transit_most=3000, messages_most=0, envelope=8)
    world.start(55, 200, proxies=89)
    world.run(10 * SECOND)
    world.step(0, changes(*(entry(f"b{i}", "draining") for i in range(10))))
    for _ in range(30):
        world.step(SECOND // 10, *world.probes())
    assert not {f"b{i}" for i in range(10)} & set(world.owners().values())


def test_backends_are_ejected_where_their_drain_exceeds_its_grace_and_readmitted():
    """The routes to 24 of 64 backends that depart at once cannot be replaced in time.

    One line for each backend ejects it.
    """
    world = World(
        queue_cap=9000, lines_per_s=6000, drain_grace=2 * SECOND, transit_most=4000, messages_most=0
    )
    world.start(60, 300, proxies=90)
    world.run(10 * SECOND)
    departing = [f"b{i}" for i in range(24)]
    orders = world.step(0, changes(*(entry(b, "draining") for b in departing)))
    with_routes = {b for b in departing if any(b in t for t in world.tables.values())}
    assert with_routes and with_routes <= {
        o.backend for o in orders if isinstance(o, face.EjectBackend) and o.ejected
    }
    world.step(0, face.ProxyLeft(0))
    for _ in range(20):
        world.step(SECOND, *world.probes(), *world.empty_channel())
    orders = world.step(0, changes(*(entry(b, started=world.now) for b in departing))) + world.step(
        5 * SECOND
    )
    assert with_routes <= {o.backend for o in orders if isinstance(o, face.EjectBackend) and not o.ejected}
    assert [
        o for o in world.step(0, face.ProxyJoined(0, "east", 5.0, False)) if isinstance(o, face.EjectBackend)
    ]


def test_readmitted_backends_that_drain_again_as_a_proxy_joins_are_ejected_again():
    """The proxy may hold an ejection whose end it never received.

    All other proxies have received the end, and need a new ejection.
    """
    world = World(
        queue_cap=9000, lines_per_s=6000, drain_grace=2 * SECOND, transit_most=4000, messages_most=0
    )
    world.start(60, 300, proxies=90)
    world.run(10 * SECOND)
    departing = [f"b{i}" for i in range(24)]
    world.step(0, changes(*(entry(b, "draining") for b in departing)))
    for _ in range(20):
        world.step(SECOND, *world.probes(), *world.empty_channel())
    world.step(0, changes(*(entry(b, started=world.now) for b in departing)))
    world.run(160 * SECOND)
    drains = changes(*(entry(b, "draining") for b in departing))
    orders = world.step(0, face.ProxyJoined(0, "east", 5.0, False), drains)
    with_routes = {b for b in departing if any(b in t for t in world.tables.values())}
    ejected = [o.backend for o in orders if isinstance(o, face.EjectBackend) and o.ejected]
    assert with_routes and with_routes <= set(ejected) and len(ejected) == len(set(ejected))
    for _ in range(20):  # World.check: no routes remain after the grace
        orders = world.step(SECOND, *world.probes(), *world.empty_channel())
        assert not [o for o in orders if isinstance(o, face.EjectBackend)]


def test_moves_off_an_overloaded_cold_backend_do_not_wait_for_an_ordinary_update():
    """With the ordinary messages used up, a restarted backend kept all of its slices."""
    world = World()
    world.start(12, 72)
    for i in range(8):
        world.run(2 * SECOND, {s: 2.0 + 9 * (s % 12 == i) for s in range(72)})
    world.step(0, changes(entry("b11", started=world.now)))
    world.step(SECOND, *world.probes())
    assert len([s for s, b in world.owners().items() if b == "b11"]) < 6


def test_the_backlog_stays_within_its_bound_in_a_slow_channel():
    """At a fifth of the rate in the settings, ordinary messages piled up beyond the bound."""
    world = World(slow=5, queue_cap=14000, lines_per_s=9400, messages_most=0, transit_most=3000)
    world.start(40, 240, proxies=118)
    for i in range(30):
        world.run(2 * SECOND, {s: 1.0 + 40 * (s % 40 == i) for s in range(240)})


def test_acknowledgements_free_capacity_for_pending_routes():
    """With 202 proxies, at half of the rate in the settings, a drain missed its grace."""
    remaining = []
    for acknowledged in (False, True):
        world = World(queue_cap=26000, lines_per_s=17000, messages_most=0)
        world.start(60, 300, proxies=200)
        world.run(10 * SECOND)
        world.step(0, changes(*(entry(f"b{i}", "gone") for i in range(15))))
        for _ in range(10):
            world.step(SECOND // 10, *world.probes(), *(world.empty_channel() if acknowledged else ()))
        remaining.append(sum(int(b[1:]) < 15 for b in world.owners().values()))
    assert remaining[1] == 0 < remaining[0]
