"""What a backend is held for: silent, slow, full, or as all the others.  Plain cases, one for each guard and
each failure found; none needs the bench."""

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.planner import allowance
from orders import changes
from world import World, entry


def test_cold_cap_is_lower_while_many_tries_fail():
    """Found on a hunted day: what comes again after failures felled a cold backend filled to its cap."""
    w, caps = World(), []
    w.start(6, 30)
    w.run(10 * SECOND)
    w.step(0, changes(entry("new", started=w.now)))
    for bad in ((), ("b1",)):
        w.run(2 * SECOND, bad=bad)
        b = w.c.backends["new"]
        caps.append(allowance(w.c, b) / b.warmup_fraction / w.c.throughput_per_weight)
    assert caps[1] < 0.8 * caps[0]


def test_silent_backend_loses_its_slices_before_the_list_says_so_and_gets_some_back():
    w = World()
    w.start(6, 30)
    w.run(14 * SECOND)
    w.run(10 * SECOND, bad={"b2"})
    assert "b2" not in w.owners().values()
    w.run(60 * SECOND)
    assert "b2" in w.owners().values()


def test_full_backend_whose_probes_time_out_is_not_taken_for_silent():
    """Deep probes wait in the queue; while the sums tell of answers it lives."""
    w = World()
    w.start(6, 30)
    for _ in range(8):
        w.step(0, *w.probes({"b2"}))
        w.run(2 * SECOND)
    assert not w.c.backends["b2"].is_unresponsive


def test_slow_way_to_a_zone_is_not_taken_for_silence():
    """Found at full size: probes over a slow link time out; new backends there never got a slice."""
    w = World()
    w.start(9, 36)
    far = {"b0", "b1", "b2", "new"}
    w.step(0, changes(*(entry(b, zone="far") for b in sorted(far - {"new"})), entry("new", zone="far")))
    for _ in range(12):
        w.step(0, *w.probes(far))
        w.run(2 * SECOND, probe=False)
    assert not any(b.is_unresponsive or b.is_suspect for b in w.c.backends.values())
    assert "new" in w.owners().values()


def test_all_bad_at_once_is_no_backends_fault():
    w = World()
    w.start(6, 30)
    w.run(14 * SECOND)
    before = w.owners()
    w.run(16 * SECOND, bad={f"b{i}" for i in range(6)})
    assert w.owners() == before and min(b.health for b in w.c.backends.values()) > 0.9


def test_slow_kind_gets_its_part_by_service_time():
    w = World()
    w.start(0, 0)
    w.step(
        0, face.BackendList("full", 2, tuple(entry(f"b{i}", kind=("std", "lite")[i % 2]) for i in range(6)))
    )
    w.step(
        0,
        *(
            e
            for s in range(36)
            for e in (face.SliceOwnership(s, True), face.StoredRoute(s, f"b{s % 6}", 1.0))
        ),
    )
    w.run(60 * SECOND, service={f"b{i}": 5000 for i in (1, 3, 5)})
    load = [sum(b == f"b{i}" for b in w.owners().values()) for i in range(6)]
    assert max(load[1::2]) < min(load[::2])


def test_levels_follow_the_queue_of_a_backend_and_return():
    """One alone is cured by moves; seen on calm days: what was pushed back there was lost for nothing."""

    def cut(w):
        return {
            o.table % 5
            for _, orders in w.log
            for o in orders
            if isinstance(o, face.SetAdmission) and o.admission_ratio < 1
        }

    w = World()
    w.start(5, 25)
    w.run(8 * SECOND, queued={"b1": 200})
    assert not cut(w)
    w.run(8 * SECOND, queued={"b1": 200, "b3": 200})
    assert cut(w) == {1, 3}
    w.run(60 * SECOND)
    assert all(s.admission_ratio == 1.0 for s in w.c.slices.values())


def test_tries_told_of_before_any_demand_make_no_backend_slow():
    """Seen on all days of one seed: the order of the first sums decided who seemed slow."""
    w = World()
    w.start(6, 12)
    early = [
        face.BackendTraffic("east", f"b{i}", 40, 0, 2500, 2 * SECOND, {"service_time": 2500})
        for i in range(3)
    ]
    w.step(SECOND, *early)
    w.run(8 * SECOND)
    assert max(b.excess for b in w.c.backends.values()) < 1.1


def test_no_level_where_levels_are_rates():
    w = World(admission="rate")
    assert not [o for o in w.start() if isinstance(o, face.SetAdmission)]  # 1 would be one RPC a second


def test_who_stands_in_for_others_takes_their_answers_for_no_larger_cap_on_cold_backends():
    """Seen on a day on which four of five coordinators were killed: the one left answered all for 3.5 s, and
    its cap on cold backends was 2.4 times too large for the rest of the day."""
    w = World(coordinators=5, own_number=0, slices=150)
    w.start(6, 30)
    w.run(20 * SECOND)
    usual = w.c.throughput_per_weight
    others = range(100, 220)
    for s in others:
        w.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, f"b{s % 6}", 1.0))
    w.run(6 * SECOND)
    for s in others:
        w.step(0, face.SliceOwnership(s, False))
    for _ in range(5):
        assert 0.5 * usual < w.c.throughput_per_weight < 1.2 * usual
        w.run(4 * SECOND)


def test_fewer_slices_than_ones_part_raise_no_cap():
    w = World(coordinators=5, own_number=0, slices=1500)
    w.start(6, 30)
    w.run(20 * SECOND)
    plain = World(coordinators=5, own_number=0)
    plain.start(6, 30)
    plain.run(20 * SECOND)
    assert w.c.throughput_per_weight == plain.c.throughput_per_weight > 0
