"""Several coordinators at once, each with its part of the slices: what is right for one alone must not add up
to harm.  Every step is checked by `World.check` for each of them; seeded, without the bench."""

import pytest

from fleet import Fleet
from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World


def replace(fleet, part=0.6, steps=6):
    """So many of the backends drain within `steps` seconds while cold ones come; names the new."""
    old = list(fleet.nodes)[: int(part * len(fleet.nodes))]
    for i in range(steps):
        for b in old[i * len(old) // steps : (i + 1) * len(old) // steps]:
            fleet.drain(b)
            fleet.start_node(f"n{b}")
        fleet.run(SECOND)
    return [f"n{b}" for b in old]


def splits(fleet):
    return sum(len(s.assignments) > 1 for w in fleet.worlds for s in w.c.slices.values())


@pytest.mark.parametrize("seed", range(3))
def test_a_slice_is_split_by_what_a_backend_gets_from_all_coordinators(seed):
    """Held against one coordinator's part of a backend, half of all slices looked too hot for one."""
    f = Fleet(seed, 5, 40, 232)
    f.run(14 * SECOND)
    assert splits(f) < 232 // 10
    alone = Fleet(seed, 1, 40, 232)
    alone.run(14 * SECOND)
    assert splits(f) <= splits(alone) + 232 // 10


@pytest.mark.parametrize("seed", range(3))
def test_six_in_ten_replaced_within_seconds(seed):
    """No drain is missed, no cold backend falls, and all of them get work: to each coordinator alone a cold
    backend had less room than one slice asks for, and the warm were flooded instead."""
    f = Fleet(seed, 5, 40, 232)
    f.run(14 * SECOND)
    new = replace(f)
    f.run(2 * SECOND)
    assert f.share(8 * SECOND) > 0.4  # 0.2 to 0.3 before
    assert not f.fell
    held = f.on(new)
    assert sum(not n for n in held.values()) <= 4 and max(held.values()) <= 12


def test_one_coordinator_fills_a_cold_backend_and_all_do_once_it_is_warm():
    f = Fleet(2, 5, 20, 116)
    f.run(10 * SECOND)
    f.start_node("new")
    f.run(9 * SECOND)
    with_it = [n for n, w in enumerate(f.worlds) if any("new" in t for t in w.tables.values())]
    assert len(with_it) == 1 and f.on(["new"])["new"] >= 1 and not f.fell
    f.run(30 * SECOND)
    assert f.on(["new"])["new"] >= 2


def take_over(fleet, lost):
    """One coordinator is lost: within a second the others have its slices, as the store has them."""
    gone = fleet.worlds[lost]
    fleet.down.add(lost)
    given = {n: [] for n in range(len(fleet.worlds)) if n != lost}
    for i, (s, table) in enumerate(gone.tables.items()):
        n = sorted(given)[i % len(given)]
        given[n] += [face.SliceOwnership(s, True), *(face.StoredRoute(s, b, w) for b, w in table.items())]
    gone.tables = {}
    for n, events in given.items():
        fleet.late.append((fleet.now + fleet.random.randint(0, SECOND), n, events))


@pytest.mark.parametrize("seed", range(3))
def test_a_lost_coordinators_slices_and_proxies_come_at_once(seed):
    """640 proxies join the four that are left within a second, while two backends drain: the channel stays
    within its cap, nobody is bare, drains are kept (`World.check`), each proxy is told the further tries."""
    f = Fleet(seed, 5, 40, 232, proxies=40, queue_cap=640 * 173, lines_per_s=640 * 115, slow=4)
    f.run(8 * SECOND)
    take_over(f, 2)
    f.drain("b3")
    f.drain("b17")
    for n in range(5):
        if n != 2:
            joins = [face.ProxyJoined(p, "east", 5.0, False) for p in range(40, 640)]
            for at in range(0, len(joins), 60):
                f.late.append((f.now + at * SECOND // 600, n, joins[at : at + 60]))
    f.run(8 * SECOND)
    left = [w for n, w in enumerate(f.worlds) if n != 2]
    assert sum(len(w.tables) for w in left) == 232 and all(len(w.proxies) == 640 for w in left)
    assert all(w.c.levels_sent == w.proxies for w in left)
    assert not f.on(["b3"])["b3"] and not f.on(["b17"])["b17"]


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_lost_and_back_cold_while_others_drain(seed):
    """A third of the backends fall silent, are listed gone and come back cold; meanwhile four more drain."""
    f = Fleet(seed, 5, 39, 226, load=0.35)
    f.run(14 * SECOND)
    zone = [b.id for b in f.nodes.values() if b.zone == "east"]
    for id in zone:
        f.nodes[id].silent, f.nodes[id].state = True, "gone"
    f.tell(*(f.nodes[id] for id in zone), after=2 * SECOND)
    f.run(3 * SECOND)
    for id in ("b1", "b2", "b4", "b5"):
        f.drain(id)
    f.run(2 * SECOND)
    for id in zone:
        f.nodes[id].state = "ready"
    f.return_cold(*zone)
    f.run(12 * SECOND)
    assert not f.fell and not any(f.on(["b1", "b2", "b4", "b5"]).values())
    assert sum(n > 0 for n in f.on(zone).values()) >= len(zone) * 2 // 3
    assert f.share(4 * SECOND) > 0.9


@pytest.mark.parametrize("seed", range(3))
def test_loads_do_not_swing_from_round_to_round(seed):
    """With steady demand five coordinators come near to rest; they made 35 to 58 moves in that time."""
    f = Fleet(seed, 5, 40, 232)
    f.run(30 * SECOND)
    seen = [len(w.log) for w in f.worlds]
    f.run(20 * SECOND)
    lines = sum(
        isinstance(o, face.SetRoute) and o.weight > 0
        for w, n in zip(f.worlds, seen)
        for _, orders in w.log[n:]
        for o in orders
    )
    assert lines <= 24
    at = f.now - 4 * SECOND
    uses = [u for t, _, u in f.uses if t > at]
    assert max(uses) < 2.0


def test_many_ask_for_the_list_apart_and_less_often_while_it_fails():
    """Discovery has too many callers: what all do at once must spread, and the good list stands."""
    f = Fleet(1, 5, 6, 30)
    f.run(2 * SECOND)
    asked = [[] for _ in f.worlds]
    fails, begin = [None] * 5, f.now
    for w in f.worlds:
        w.step(0, face.BackendList("failed", 0, ()))
    for _ in range(300):
        f.now += SECOND // 10
        for n, w in enumerate(f.worlds):
            orders = w.step(SECOND // 10, *([fails[n]] if fails[n] else []))
            fails[n] = None
            if any(isinstance(o, face.WatchBackends) for o in orders):
                asked[n].append(f.now - begin)
                fails[n] = face.BackendList("failed", 0, ())
    for times in asked:
        waits = [b - a for a, b in zip(times, times[1:])]
        assert waits[0] < 3 * SECOND and 2 * SECOND <= min(waits[3:]) and max(waits) < 5 * SECOND
    together = [t for times in asked for t in times if t > 5 * SECOND]
    assert all(sum(0 <= t - s < SECOND // 10 for t in together) <= 4 for s in together)
    assert all(len(w.listed) == 6 for w in f.worlds) and all(w.c.ready_backends() for w in f.worlds)


@pytest.mark.parametrize("coordinators,cut", [(5, False), (1, True)])
def test_a_queue_is_held_against_the_rate_of_all_coordinators(coordinators, cut):
    """Four RPCs wait at each backend: for one coordinator's six a second that is over half of the shortest
    soft deadline; where four more bring as much, a tenth, and nothing is pushed back."""
    w = World(coordinators=coordinators, own_number=0)
    w.start(8, 24)
    w.run(14 * SECOND, queued={f"b{n}": 4.0 for n in range(8)})
    assert any(s.admission_ratio < 1 for s in w.c.slices.values()) == cut
