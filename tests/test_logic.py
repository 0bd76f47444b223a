"""Plain cases, one for each guard and each failure found; none needs the bench."""
import random

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World, entry


def changes(*entries):
    return face.BackendList("changes", 2, entries)


def lines(orders):
    return [o for o in orders if isinstance(o, face.SetLine)]


def test_stored_owners_stay_and_nothing_is_said_at_start():
    w = World()
    w.start()
    assert not lines(w.run(8 * SECOND))         # no planning within one smoothing time


def test_busiest_gives_to_least_loaded_until_inside_the_band():
    w = World()
    w.start(4, 24)
    hot = {s: 6.0 for s in range(0, 24, 4)}     # all on b0
    before = w.owners()
    w.run(40 * SECOND, hot)
    moved = [s for s, b in w.owners().items() if b != before[s]]
    assert moved and all(before[s] == "b0" for s in moved)
    assert not lines(w.run(20 * SECOND, hot))   # at rest once balanced


def test_small_imbalance_moves_nothing():
    w = World()
    w.start(4, 24)
    assert not lines(w.run(60 * SECOND, {0: 4.5}))     # 1.15 times the mean: inside the band


def test_drain_leaves_at_once_and_in_one_message():
    w = World()
    w.start()
    w.run(4 * SECOND)
    out = lines(w.step(100, changes(entry("b1", "draining"))))
    gone = {o.table for o in out if not o.weight}
    assert gone == {1, 7} and {o.table for o in out if o.weight} == gone


def test_a_move_in_waiting_does_not_hide_a_drain():
    """The planner had given a slice a new owner; its old line was still out when the owner drained."""
    w = World()
    w.start(4, 80)
    w.run(2 * SECOND)
    for number in range(0, 80, 4):
        w.c.move(w.c.slices[number].parts[0], w.c.backends["b1"])
    w.step(SECOND)
    assert any("b0" in t for t in w.tables.values())    # more than a turn sends
    w.step(0, changes(entry("b0", "draining")))
    w.step(2 * SECOND)
    assert all("b0" not in t for t in w.tables.values())


def test_drain_gets_through_after_a_burst_of_messages():
    w = World()
    w.start(8, 60)
    for k in range(1, 5):
        w.step(SECOND, changes(entry(f"b{k}", "draining")))     # World.check: grace and message limit
    w.step(3 * SECOND)
    assert set(w.owners().values()) <= {"b0", "b5", "b6", "b7"}


def test_empty_and_stale_tables_given_are_filled():
    w = World()
    w.start(3, 3)
    w.step(0, changes(entry("b2", "gone")))
    w.step(SECOND, face.Charge(7, True), face.Charge(8, True), face.StoredLine(8, "b2", 1.0))
    assert w.owners()[7] in ("b0", "b1") and w.owners()[8] in ("b0", "b1")


def test_unknown_stored_owner_waits_for_a_fresh_list():
    """A remembered list may be older than the store: its owner is kept until a fresh list lacks it."""
    w = World()
    w.start(3, 3, scope="remembered")
    w.step(0, face.Charge(9, True), face.StoredLine(9, "newer", 1.0))
    assert w.owners()[9] == "newer"
    w.step(SECOND, changes(entry("b0")))        # changes make the list in hand a fresh one
    w.step(2 * SECOND)
    assert w.owners()[9] in ("b0", "b1", "b2")


def test_cold_backend_takes_two_a_round_and_its_part_only():
    w = World()
    w.start(4, 160)                             # light slices: the cap on its part is far
    hot = {s: 3.0 for s in range(0, 160, 4)}
    w.run(8 * SECOND, hot)
    w.step(0, changes(entry("new", started=w.now)))
    held = [0]
    for _ in range(7):
        w.run(2 * SECOND, hot)
        held.append(len(w.c.backends["new"].parts))
    assert held[-1] > 2 and max(b - a for a, b in zip(held, held[1:])) <= 2


def test_hot_slice_is_not_given_to_a_cold_backend():
    """Found on a drawn day: under overload the part was measured by what capacity was left."""
    w = World()
    w.start(4, 24)
    hot = {0: 120.0}
    w.run(20 * SECOND, hot, bad={"b1", "b2"})
    w.step(0, changes(entry("new", started=w.now)))
    w.run(8 * SECOND, hot, bad={"b1", "b2"})
    assert "new" not in w.tables[0]


def test_new_backends_are_filled_while_the_rest_fails():
    """Found on a hunted day: what the jammed answered was taken for what new ones can bear."""
    w = World()
    w.start(12, 72)
    w.run(20 * SECOND, {s: 6.0 for s in range(72)})
    w.step(0, changes(*(entry(f"b{i}", "gone") for i in range(6))),
           changes(*(entry(f"n{i}", started=w.now) for i in range(6))))
    w.run(8 * SECOND, {s: 6.0 for s in range(72)}, bad={f"b{i}" for i in range(6, 12)})
    assert sum(b.startswith("n") for b in w.owners().values()) >= 12


def test_cold_cap_is_lower_while_many_tries_fail():
    """Found on a hunted day: what comes again after failures felled a cold backend filled to its cap."""
    w, caps = World(), []
    w.start(6, 30)
    w.run(10 * SECOND)
    w.step(0, changes(entry("new", started=w.now)))
    for bad in ((), ("b1",)):
        w.run(2 * SECOND, bad=bad)
        b = w.c.backends["new"]
        caps.append(w.c.allowance(b) / b.warmth / w.c.yield_)
    assert caps[1] < 0.8 * caps[0]


def test_restart_seen_by_its_start_time_sheds_what_it_can_not_take():
    w = World()
    w.start(4, 24)
    heavy = {s: 8.0 for s in range(1, 24, 4)}
    w.run(8 * SECOND, heavy)
    w.step(0, changes(entry("b1", started=w.now)))
    w.step(SECOND)
    assert sum(b == "b1" for b in w.owners().values()) < 6


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
    assert not w.c.backends["b2"].lost


def test_slow_way_to_a_zone_is_not_taken_for_silence():
    """Found at full size: probes over a slow link time out; new backends there never got a slice."""
    w = World()
    w.start(9, 36)
    far = {"b0", "b1", "b2", "new"}
    w.step(0, changes(*(entry(b, zone="far") for b in sorted(far - {"new"})), entry("new", zone="far")))
    for _ in range(12):
        w.step(0, *w.probes(far))
        w.run(2 * SECOND, probe=False)
    assert not any(b.lost or b.doubtful for b in w.c.backends.values())
    assert "new" in w.owners().values()


def test_all_bad_at_once_is_no_backends_fault():
    w = World()
    w.start(6, 30)
    w.run(14 * SECOND)
    before = w.owners()
    w.run(16 * SECOND, bad={f"b{i}" for i in range(6)})
    assert w.owners() == before and min(b.health for b in w.c.backends.values()) > 0.9


def test_slice_too_hot_for_any_is_dealt_out_and_taken_together_again():
    w = World()
    w.start(6, 30)
    w.run(30 * SECOND, {0: 60.0})
    assert len(w.tables[0]) > 1
    w.run(60 * SECOND)
    assert len(w.tables[0]) == 1


def test_slow_kind_gets_its_part_by_service_time():
    w = World()
    w.start(0, 0)
    w.step(0, face.BackendList("full", 2, tuple(
        entry(f"b{i}", kind=("std", "lite")[i % 2]) for i in range(6))))
    w.step(0, *(e for s in range(36) for e in (face.Charge(s, True), face.StoredLine(s, f"b{s % 6}", 1.0))))
    w.run(60 * SECOND, service={f"b{i}": 5000 for i in (1, 3, 5)})
    load = [sum(b == f"b{i}" for b in w.owners().values()) for i in range(6)]
    assert max(load[1::2]) < min(load[::2])


def test_asks_at_start_and_again_after_a_refusal():
    w = World()
    assert face.Subscribe(True) in w.start()
    w.step(0, face.BackendList("failed", 0, ()))
    assert face.Subscribe(True) in w.step(3 * SECOND)


def test_further_tries_after_proof_only():
    w = World()
    levels = [o for o in w.start() if isinstance(o, face.SetLevel)]
    assert levels and all(o.tries == 1 and o.level == 1.0 for o in levels)


def test_levels_follow_the_queue_of_a_backend_and_return():
    """One alone is cured by moves; seen on calm days: what was pushed back there was lost for nothing."""
    def cut(w):
        return {o.table % 5 for _, orders in w.log for o in orders
                if isinstance(o, face.SetLevel) and o.level < 1}
    w = World()
    w.start(5, 25)
    w.run(8 * SECOND, queued={"b1": 200})
    assert not cut(w)
    w.run(8 * SECOND, queued={"b1": 200, "b3": 200})
    assert cut(w) == {1, 3}
    w.run(60 * SECOND)
    assert all(s.level == 1.0 for s in w.c.slices.values())


def test_a_hot_slice_is_dealt_out_after_three_periods():
    """Seen on short days: hot slices stayed whole for the first ten seconds, a third of the day."""
    w = World()
    w.start(4, 24)
    w.run(8 * SECOND, {0: 60.0})
    assert len(w.c.slices[0].parts) > 1
    w = World()
    w.start(4, 24)
    w.run(4 * SECOND, {0: 60.0})                # two periods are chance
    assert len(w.c.slices[0].parts) == 1


def test_tries_told_of_before_any_demand_make_no_backend_slow():
    """Seen on all days of one seed: the order of the first sums decided who seemed slow."""
    w = World()
    w.start(6, 12)
    early = [face.Traffic("east", f"b{i}", 40, 0, 2500, 2 * SECOND, {"service_time": 2500}) for i in range(3)]
    w.step(SECOND, *early)
    w.run(8 * SECOND)
    assert max(b.excess for b in w.c.backends.values()) < 1.1


def test_six_planned_changes_go_out_in_a_turn_and_many_are_staged():
    """Seen on short days: of a round's moves two in three waited a turn while their backend was full."""
    for moved, first in ((6, 6), (24, 8)):
        w = World()
        w.start(6, 36)
        w.run(2 * SECOND)
        before = len(w.log)
        for number in range(moved):
            w.c.move(w.c.slices[number].parts[0], w.c.backends[f"b{(number + 1) % 6}"])
        w.step(SECOND)
        turns = [{o.table for o in orders if isinstance(o, face.SetLine)} for _, orders in w.log[before:]]
        assert len(next(filter(None, turns))) == first


def test_an_answer_to_a_mark_never_set_frees_no_room():
    w = World()
    w.start(6, 12)
    w.run(2 * SECOND)
    w.c.unacked[700] = 5, {0, 1}
    w.c.handle(w.now, [face.Acked(0, 999, 1)])
    assert w.c.unacked[700] == (5, {0, 1})
    w.c.handle(w.now, [face.Acked(0, 700, 1)])
    assert w.c.unacked[700] == (5, {1})


def test_machines_replaced_are_forgotten():
    w = World()
    w.start(6, 12)
    for n in range(600):
        w.step(SECOND, changes(entry(f"r{n}")), changes(entry(f"r{n - 2}", "gone")) if n > 1 else changes())
    assert len(w.c.backends) < 300 and w.c.backends["r597"].state == "gone"


def test_much_at_once_goes_out_in_pieces():
    """Found on a recorded day: more levels than the channel takes at once were held back for ever."""
    w = World(queue_cap=1500)
    w.start(6, 200, proxies=9)
    w.run(20 * SECOND, queued={f"b{i}": 300 for i in range(6)})
    assert sum(s.level < 1 for s in w.c.slices.values()) > 30


def test_drains_in_time_where_proxies_are_many():
    """Found at full size: piece by piece, each with its envelope, a drain took longer than its grace."""
    w = World(queue_cap=7000, lines_per_s=7000, transit_most=3000, messages_most=0, envelope=8)
    w.start(55, 200, proxies=89)
    w.run(10 * SECOND)
    w.step(0, changes(*(entry(f"b{i}", "draining") for i in range(10))))
    for _ in range(30):
        w.step(SECOND // 10, *w.probes())
    assert not {f"b{i}" for i in range(10)} & set(w.owners().values())


def test_chance_alone_moves_little_in_a_large_fleet():
    """Found at full size: among many backends one always looks the busiest."""
    w, rng, moved = World(), random.Random(5), 0
    w.start(60, 360, proxies=3)
    for _ in range(40):
        orders = w.run(2 * SECOND, {s: sum(rng.random() < 0.05 for _ in range(40)) / 2 for s in range(360)})
        moved += sum(isinstance(o, face.SetLine) and o.weight > 0 for o in orders)
    assert moved < 90


def test_drain_too_large_for_its_grace_is_shut_out_and_let_in_again():
    """Found on hunted days: 24 of 64 gone at once can't be replaced in time; one line each shuts them out."""
    w = World(queue_cap=9000, lines_per_s=6000, drain_grace=2 * SECOND, transit_most=4000, messages_most=0)
    w.start(60, 300, proxies=90)
    w.run(10 * SECOND)
    struck = [f"b{i}" for i in range(24)]
    orders = w.step(0, changes(*(entry(b, "draining") for b in struck)))
    left = {b for b in struck if any(b in t for t in w.tables.values())}
    assert left and left <= {o.backend for o in orders if isinstance(o, face.Withdraw) and o.out}
    w.step(0, face.ProxyLeft(0))
    for _ in range(20):
        w.step(SECOND, *w.probes(), *w.acks())
    orders = w.step(0, changes(*(entry(b, started=w.now) for b in struck))) + w.step(5 * SECOND)
    assert left <= {o.backend for o in orders if isinstance(o, face.Withdraw) and not o.out}
    assert [o for o in w.step(0, face.ProxyJoined(0, "east", 5.0, False)) if isinstance(o, face.Withdraw)]


def test_lines_too_many_at_a_cold_backend_do_not_wait_for_a_turn():
    """Found on a hunted day: with the ordinary messages used up a restarted backend kept all its slices."""
    w = World()
    w.start(12, 72)
    for i in range(8):
        w.run(2 * SECOND, {s: 2.0 + 9 * (s % 12 == i) for s in range(72)})
    w.step(0, changes(entry("b11", started=w.now)))
    w.step(SECOND, *w.probes())
    assert len([s for s, b in w.owners().items() if b == "b11"]) < 6


def test_list_cut_short_does_not_empty_tables_where_a_drop_does_not_bind():
    """Found on a hunted day: 50 of 61 backends dropped from the list while they answered."""
    w = World(dropped_stay_open=True)
    w.start(12, 72)
    w.run(10 * SECOND)
    before = w.owners()
    w.step(0, face.BackendList("full", 3, (entry("b0"), entry("b1"))))
    w.run(2 * SECOND, bad={"b5"})               # one of them is dead indeed
    w.run(2 * SECOND, bad={"b5"})
    after = w.owners()
    assert "b5" not in after.values() and sum(after[s] == b for s, b in before.items()) >= 60
    w.step(0, changes(entry("b5")))             # an old list comes again: a ghost gets nothing
    w.run(10 * SECOND, bad={"b5"})
    assert "b5" not in w.owners().values()


def test_queue_is_kept_though_the_channel_crawls():
    """Found on a recorded day: at a fifth of its pace ordinary messages piled up past the limit."""
    w = World(slow=5, queue_cap=14000, lines_per_s=9400, messages_most=0, transit_most=3000)
    w.start(40, 240, proxies=118)
    for i in range(30):
        w.run(2 * SECOND, {s: 1.0 + 40 * (s % 40 == i) for s in range(240)})


def test_answered_marks_let_out_what_waits():
    """Found on a recorded day with 202 proxies: at half the stated pace a drain missed its grace."""
    left = []
    for answered in (False, True):
        w = World(queue_cap=26000, lines_per_s=17000, messages_most=0)
        w.start(60, 300, proxies=200)
        w.run(10 * SECOND)
        w.step(0, changes(*(entry(f"b{i}", "gone") for i in range(15))))
        for _ in range(10):
            w.step(SECOND // 10, *w.probes(), *(w.acks() if answered else ()))
        left.append(sum(int(b[1:]) < 15 for b in w.owners().values()))
    assert left[1] == 0 < left[0]


def test_no_level_where_levels_are_rates():
    w = World(admission="rate")
    assert not [o for o in w.start() if isinstance(o, face.SetLevel)]       # 1 would be one RPC a second
