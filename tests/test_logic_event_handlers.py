"""What is heard: old, cut or broken lists, stored lines, restarts, answers to marks.  Plain cases, one for
each guard and each failure found; none needs the bench."""

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.state import Backend
from orders import changes
from world import World, entry


def test_empty_and_stale_tables_given_are_filled():
    w = World()
    w.start(3, 3)
    w.step(0, changes(entry("b2", "gone")))
    w.step(SECOND, face.SliceOwnership(7, True), face.SliceOwnership(8, True), face.StoredRoute(8, "b2", 1.0))
    assert w.owners()[7] in ("b0", "b1") and w.owners()[8] in ("b0", "b1")


def test_unknown_stored_owner_waits_for_a_fresh_list():
    """A remembered list may be older than the store: its owner is kept until a fresh list lacks it."""
    w = World()
    w.start(3, 3, scope="remembered")
    w.step(0, face.SliceOwnership(9, True), face.StoredRoute(9, "newer", 1.0))
    assert w.owners()[9] == "newer"
    w.step(SECOND, changes(entry("b0")))  # changes make the list in hand a fresh one
    w.step(2 * SECOND)
    assert w.owners()[9] in ("b0", "b1", "b2")


def test_stored_owner_that_the_fresh_list_lacks_is_left_at_once():
    """A coordinator that began after a backend was gone is never told of it again: the list in hand, not the
    next one, says that the lines of a slice it is given lie at a backend that is gone."""
    w = World()
    w.start(3, 3)
    w.step(SECOND, face.SliceOwnership(9, True), face.StoredRoute(9, "gone_before", 1.0))
    assert w.owners()[9] in ("b0", "b1", "b2")


def test_restart_seen_by_its_start_time_sheds_what_it_can_not_take():
    w = World()
    w.start(4, 24)
    heavy = {s: 8.0 for s in range(1, 24, 4)}
    w.run(8 * SECOND, heavy)
    w.step(0, changes(entry("b1", started=w.now)))
    w.step(SECOND)
    assert sum(b == "b1" for b in w.owners().values()) < 6


def test_asks_at_start_and_again_after_a_refusal():
    w = World()
    assert face.WatchBackends(True) in w.start()
    w.step(0, face.BackendList("failed", 0, ()))
    assert face.WatchBackends(True) in w.step(3 * SECOND)


def test_an_answer_to_a_mark_never_set_frees_no_room():
    w = World()
    w.start(6, 12)
    w.run(2 * SECOND)
    w.c.channel.unacked[700] = 5, {0, 1}
    w.c.handle(w.now, [face.UpdateAcknowledged(0, 999, 1)])
    assert w.c.channel.unacked[700] == (5, {0, 1})
    w.c.handle(w.now, [face.UpdateAcknowledged(0, 700, 1)])
    assert w.c.channel.unacked[700] == (5, {1})


def test_machines_replaced_are_forgotten():
    w = World()
    w.start(6, 12)
    for n in range(600):
        w.step(SECOND, changes(entry(f"r{n}")), changes(entry(f"r{n - 2}", "gone")) if n > 1 else changes())
    assert len(w.c.backends) < 300 and w.c.backends["r597"].state == "gone"


def test_list_cut_short_does_not_empty_tables_where_a_drop_does_not_bind():
    """Found on a hunted day: 50 of 61 backends dropped from the list while they answered."""
    w = World(dropped_stay_open=True)
    w.start(12, 72)
    w.run(10 * SECOND)
    before = w.owners()
    w.step(0, face.BackendList("full", 3, (entry("b0"), entry("b1"))))
    w.run(2 * SECOND, bad={"b5"})  # one of them is dead indeed
    w.run(2 * SECOND, bad={"b5"})
    after = w.owners()
    assert "b5" not in after.values() and sum(after[s] == b for s, b in before.items()) >= 60
    w.step(0, changes(entry("b5")))  # an old list comes again: a ghost gets nothing
    w.run(10 * SECOND, bad={"b5"})
    assert "b5" not in w.owners().values()


def not_ours(w):
    """An id whose cold room another of five coordinators fills."""
    keys = ((f"new{n}", Backend(f"new{n}").key) for n in range(9))
    return next(id for id, key in keys if int.from_bytes(key, "big") % 5 != w.boot["own_number"])


@pytest.mark.parametrize("restarted", [False, True])
def test_what_another_had_put_at_a_cold_backend_stays_there(restarted):
    """Seen on a day of rolling restarts: each take-over and each start threw all of it out."""
    w = World(coordinators=5, own_number=0)
    new = not_ours(w)
    w.start(6, 30)
    w.run(20 * SECOND)
    w.step(0, changes(entry(new, started=w.now)))
    w.run(6 * SECOND)
    if restarted:
        w = World(now=w.now, coordinators=5, own_number=0)
        w.start(6, 30)
        w.step(0, changes(entry(new, started=w.now - 6 * SECOND)))
    for s in range(100, 103):
        w.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, new, 1.0))
    assert all(s.load < 10 for s in w.c.slices.values())
    w.run(6 * SECOND, {s: 1.0 for s in range(100, 103)})
    assert all(w.owners()[s] == new for s in range(100, 103))


def test_more_than_a_cold_backend_can_bear_leaves_it_though_another_put_it_there():
    w = World(coordinators=5, own_number=0)
    new = not_ours(w)
    w.start(6, 30)
    w.run(20 * SECOND)
    w.step(0, changes(entry(new, started=w.now)))
    w.step(SECOND, *w.probes())
    for s in range(100, 130):
        w.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, new, 1.0))
    w.run(6 * SECOND)
    assert 0 < sum(w.owners()[s] == new for s in range(100, 130)) < 20
