"""Event handlers: stale, truncated and failed lists, stored routes, restarts and acknowledgements.

Each test covers one rule or one fault that was found.
"""

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from indigohitch.logic.list_age import should_ask_again_at_once
from indigohitch.logic.state import Backend
from orders import changes
from world import World, entry


def test_slices_without_a_usable_stored_route_get_one():
    world = World()
    world.start(3, 3)
    world.step(0, changes(entry("b2", "gone")))
    world.step(
        SECOND, face.SliceOwnership(7, True), face.SliceOwnership(8, True), face.StoredRoute(8, "b2", 1.0)
    )
    assert world.owners()[7] in ("b0", "b1") and world.owners()[8] in ("b0", "b1")


def test_an_unlisted_stored_owner_is_kept_until_a_current_list():
    """A remembered list may be older than the store; only a current list can show that the owner is gone."""
    world = World()
    world.start(3, 3, scope="remembered")
    world.step(0, face.SliceOwnership(9, True), face.StoredRoute(9, "newer", 1.0))
    assert world.owners()[9] == "newer"
    world.step(SECOND, changes(entry("b0")))  # after changes the list is current
    world.step(2 * SECOND)
    assert world.owners()[9] in ("b0", "b1", "b2")


def test_a_stored_owner_that_the_current_list_lacks_is_replaced_at_once():
    """A coordinator that started after a backend was gone gets no further event about that backend.

    The current list, not the next one, must show that the stored routes of a new slice lead to a backend that
    is gone.
    """
    world = World()
    world.start(3, 3)
    world.step(SECOND, face.SliceOwnership(9, True), face.StoredRoute(9, "gone_before", 1.0))
    assert world.owners()[9] in ("b0", "b1", "b2")


def returned_after_failed_calls():
    """A world whose list, with b0 to b2, is old: calls fail, and the store names a backend that it lacks."""
    world = World()
    world.start(3, 3)
    world.step(5 * SECOND, face.BackendList("failed", 0, ()), face.SliceOwnership(1, False))
    world.step(SECOND, face.SliceOwnership(1, True), face.StoredRoute(1, "newer", 1.0))
    return world


def test_a_stored_owner_is_kept_while_calls_for_the_list_fail():
    """Guards against review/8: slices were moved from live backends to ones of an old list that had ended."""
    world = returned_after_failed_calls()
    assert world.owners()[1] == "newer"
    world.step(SECOND, face.SliceOwnership(1, False))
    world.step(SECOND, face.SliceOwnership(1, True), face.StoredRoute(1, "newer", 1.0))
    assert world.owners()[1] == "newer"


def test_a_stored_owner_that_the_next_list_lacks_is_replaced():
    world = returned_after_failed_calls()
    world.step(SECOND, changes())
    assert world.owners()[1] in ("b0", "b1", "b2")


@pytest.mark.parametrize("alive", ["b0", "b1"])
def test_only_backends_that_answered_lately_get_slices_by_an_outdated_list(alive):
    """Guards against review/8: of two listed backends the ended one has less load and would be chosen."""
    world = returned_after_failed_calls()
    world.step(0, face.BackendTraffic("east", alive, 5, 0, 2500, 2 * SECOND))
    events = [face.SliceOwnership(number, True) for number in range(20, 26)]
    world.step(SECOND // 10, *events)
    assert {world.owners()[number] for number in range(20, 26)} == {alive}


def test_a_slice_without_a_route_gets_a_listed_backend_if_none_answered_lately():
    world = returned_after_failed_calls()
    world.step(10 * SECOND, face.SliceOwnership(20, True))
    assert world.owners()[20] in ("b0", "b1", "b2")


def test_the_list_is_asked_for_at_once_after_failed_calls_only():
    world = returned_after_failed_calls()
    assert should_ask_again_at_once(world.c)
    world.step(SECOND, changes())
    assert not should_ask_again_at_once(world.c)


def test_no_slice_moves_for_balance_to_backends_of_an_outdated_list():
    world = returned_after_failed_calls()
    for _ in range(8):
        world.step(0, face.BackendList("failed", 0, ()))
        owners = world.owners()
        world.step(2 * SECOND, *(face.SliceDemand(2, "search", 400, 0, 2 * SECOND) for _ in range(3)))
        assert world.owners() == owners


def test_a_backend_with_a_later_start_time_loses_what_exceeds_its_allowance():
    world = World()
    world.start(4, 24)
    rates = {s: 8.0 for s in range(1, 24, 4)}
    world.run(8 * SECOND, rates)
    world.step(0, changes(entry("b1", started=world.now)))
    world.step(SECOND)
    assert sum(b == "b1" for b in world.owners().values()) < 6


def test_the_list_is_requested_at_the_start_and_again_after_a_failure():
    world = World()
    assert face.WatchBackends(True) in world.start()
    world.step(0, face.BackendList("failed", 0, ()))
    assert face.WatchBackends(True) in world.step(3 * SECOND)


def test_an_acknowledgement_of_an_unknown_marker_has_no_effect():
    world = World()
    world.start(6, 12)
    world.run(2 * SECOND)
    world.c.channel.unacked[700] = 5, {0, 1}
    world.c.handle(world.now, [face.UpdateAcknowledged(0, 999, 1)])
    assert world.c.channel.unacked[700] == (5, {0, 1})
    world.c.handle(world.now, [face.UpdateAcknowledged(0, 700, 1)])
    assert world.c.channel.unacked[700] == (5, {1})


def test_replaced_backends_are_forgotten():
    world = World()
    world.start(6, 12)
    for n in range(600):
        world.step(
            SECOND, changes(entry(f"r{n}")), changes(entry(f"r{n - 2}", "gone")) if n > 1 else changes()
        )
    assert len(world.c.backends) < 300 and world.c.backends["r597"].state == "gone"


def test_a_truncated_list_keeps_backends_that_answer_where_removal_does_not_bind():
    """A list without 50 of 61 backends, all of which still answered, emptied the tables."""
    world = World(dropped_stay_open=True)
    world.start(12, 72)
    world.run(10 * SECOND)
    before = world.owners()
    world.step(0, face.BackendList("full", 3, (entry("b0"), entry("b1"))))
    world.run(2 * SECOND, bad={"b5"})  # b5 has really failed
    world.run(2 * SECOND, bad={"b5"})
    after = world.owners()
    assert "b5" not in after.values() and sum(after[s] == b for s, b in before.items()) >= 60
    world.step(0, changes(entry("b5")))  # a stale list names b5 again, which does not answer
    world.run(10 * SECOND, bad={"b5"})
    assert "b5" not in world.owners().values()


def filled_by_another(world):
    """Returns the id of a backend that another one of five coordinators fills while it is cold."""
    keys = ((f"new{n}", Backend(f"new{n}").key) for n in range(9))
    return next(id for id, key in keys if int.from_bytes(key, "big") % 5 != world.boot["own_number"])


@pytest.mark.parametrize("restarted", [False, True])
def test_slices_that_another_coordinator_put_on_a_cold_backend_stay(restarted):
    """With rolling restarts of coordinators each takeover and each start moved all of these slices away."""
    world = World(coordinators=5, own_number=0)
    new = filled_by_another(world)
    world.start(6, 30)
    world.run(20 * SECOND)
    world.step(0, changes(entry(new, started=world.now)))
    world.run(6 * SECOND)
    if restarted:
        world = World(now=world.now, coordinators=5, own_number=0)
        world.start(6, 30)
        world.step(0, changes(entry(new, started=world.now - 6 * SECOND)))
    for s in range(100, 103):
        world.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, new, 1.0))
    assert all(s.load < 10 for s in world.c.slices.values())
    world.run(6 * SECOND, {s: 1.0 for s in range(100, 103)})
    assert all(world.owners()[s] == new for s in range(100, 103))


def test_slices_above_the_allowance_leave_a_cold_backend_that_another_coordinator_filled():
    world = World(coordinators=5, own_number=0)
    new = filled_by_another(world)
    world.start(6, 30)
    world.run(20 * SECOND)
    world.step(0, changes(entry(new, started=world.now)))
    world.step(SECOND, *world.probes())
    for s in range(100, 130):
        world.step(0, face.SliceOwnership(s, True), face.StoredRoute(s, new, 1.0))
    world.run(6 * SECOND)
    assert 0 < sum(world.owners()[s] == new for s in range(100, 130)) < 20
