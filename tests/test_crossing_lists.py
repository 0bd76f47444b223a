"""Discovery's answers that cross: two calls out together, answered in either order, and older lists."""

import pytest

from indigohitch.net.clock import SECOND
from listroom import Room, entry


@pytest.fixture
def room():
    found = Room()
    yield found
    found.close()


SERVES, DRAINS = entry("b1"), entry("b1", "DRAINING")


def test_a_whole_list_that_crossed_a_newer_answer_brings_no_drained_backend_back(room):
    watch = room.begin(41, entry("b0"), SERVES)
    room.discovery.fetch()
    whole = room.registry.call()
    room.hears(lambda: watch.changes(42, DRAINS))
    after = room.registry.call()
    assert "from=42" in after.target
    whole.full(41, entry("b0"), SERVES)
    room.answered(3)
    assert room.state["b1"] == "draining" and room.discovery.version == 42 and room.registry.quiet()
    room.hears(lambda: after.changes(43, entry("b2")))
    assert "from=43" in room.registry.call().target


def test_a_watch_that_crossed_a_newer_whole_list_tells_nothing_old(room):
    watch = room.begin(41, entry("b0"), SERVES)
    room.discovery.fetch()
    whole = room.registry.call()
    room.hears(lambda: whole.full(45, entry("b0"), DRAINS))
    watch.changes(43, SERVES)
    after = room.registry.call()  # nothing has to be asked for: the watch goes on
    assert "from=45" in after.target and "hold_ms=3000" in after.target
    assert room.state["b1"] == "draining" and room.said("discovery_stale_answer")[0]["verdict"] == "crossed"


def test_both_answered_in_one_turn_count_by_their_generations(room):
    watch = room.begin(41, entry("b0"), SERVES)
    room.discovery.fetch()
    whole = room.registry.call()
    whole.full(44, entry("b0"), DRAINS)  # both are there before the loop turns again
    watch.changes(43, SERVES)
    assert "from=44" in room.registry.call().target
    assert room.state == {"b0": "ready", "b1": "draining"}


@pytest.mark.parametrize("full", [True, False])
def test_a_stale_answer_that_comes_alone_costs_one_call(room, full):
    watch = room.begin(45)
    (watch.full if full else watch.changes)(41, entry("b0"), SERVES)
    again = room.registry.call()
    assert again.target == room.discovery.PATH and room.state["b1"] == "draining"
    room.hears(lambda: again.full(46, entry("b0"), DRAINS, entry("b2")))
    assert "from=46" in room.registry.call().target and room.state["b1"] == "draining"
    assert not room.said("discovery_version_reset")


def test_a_copy_that_lags_is_not_believed_before_its_time(room):
    room.begin(45).full(41, entry("b0"), SERVES)
    room.registry.call().full(41, entry("b0"), SERVES)
    room.answered(3)
    assert room.registry.quiet() and room.state["b1"] == "draining"
    room.forward(SECOND)
    room.hears(lambda: room.registry.call().full(45, entry("b0"), DRAINS))
    assert room.discovery.version == 45 and room.state["b1"] == "draining"
    room.forward(3 * SECOND)  # the doubt is over: the next older one begins another
    room.registry.call().full(41, entry("b0"), SERVES)
    assert room.registry.call().target == room.discovery.PATH and room.state["b1"] == "draining"


@pytest.mark.parametrize("failing", [False, True])
def test_a_discovery_that_began_anew_is_believed_within_its_time(room, failing):
    room.begin(45).changes(1)
    room.registry.call().full(2, entry("b0"), SERVES)
    room.answered(3)
    room.forward(SECOND)
    call = room.registry.call()
    if failing:  # the call that was to settle it: the module asks anew
        assert room.hears(call.fail).scope == "failed"
        room.discovery.subscribe(True)
        call = room.registry.call()
    assert call.target == room.discovery.PATH
    room.hears(lambda: call.full(3, entry("b0"), SERVES))
    assert room.state == {"b0": "ready", "b1": "ready"} and room.discovery.version == 3
    assert "from=3" in room.registry.call().target
    assert room.said("discovery_version_reset")[0]["held"] == 45


def test_what_was_asked_before_discovery_began_anew_is_void_after(room):
    """Its changes begin at a generation of the other count: applied, they would leave a gap."""
    watch = room.begin(45)
    room.discovery.fetch()
    room.registry.call().full(3, entry("b0"))
    room.answered(2)
    room.forward(SECOND)
    room.discovery.fetch()
    room.hears(lambda: room.registry.call().full(3, entry("b0"), SERVES))
    assert room.discovery.version == 3
    told = len(room.told)
    watch.changes(47, entry("b2"))
    assert "from=3" in room.registry.call().target and len(room.told) == told


@pytest.mark.parametrize("failing", [False, True])
def test_a_remembered_list_from_another_count_stands_until_a_new_one_is_believed(failing):
    """As after a restart: nothing was heard yet, and what the configuration knows is of a higher count."""
    room = Room(version=99)
    room.discovery.subscribe(True)
    first = room.registry.call()
    assert "from=99" in first.target and "hold_ms=0" in first.target
    first.full(5, entry("b0"), SERVES)
    second = room.registry.call()
    if failing:
        assert room.hears(second.fail).scope == "failed"
        room.forward(SECOND)  # the module's wait
        room.discovery.subscribe(True)
    else:
        second.full(5, entry("b0"), SERVES)
        room.answered(2)
        assert not room.told
        room.forward(SECOND)
    room.hears(lambda: room.registry.call().full(5, entry("b0"), SERVES))
    assert room.state == {"b0": "ready", "b1": "ready"} and "from=5" in room.registry.call().target
    room.close()


def test_older_and_older_lists_begin_their_time_anew(room):
    room.begin(45).full(41, SERVES)
    room.registry.call().full(41, SERVES)
    room.answered(3)
    room.forward(SECOND)
    room.registry.call().full(40, SERVES)
    room.registry.call().full(40, SERVES)
    room.answered(5)
    assert room.registry.quiet() and room.state["b1"] == "draining"
    room.forward(SECOND)
    room.hears(lambda: room.registry.call().full(40, SERVES))
    assert room.state["b1"] == "ready"


def test_changes_are_no_whole_list(room):
    room.begin(45).full(41, SERVES)
    assert room.hears(lambda: room.registry.call().changes(46, entry("b2"))).scope == "failed"


def test_an_id_told_twice_holds_as_told_last(room):
    watch = room.begin(41)
    news = room.hears(lambda: watch.changes(43, entry("b1", "DELETED"), SERVES, entry("b1", "DELETED")))
    assert [(e.backend, e.state) for e in news.entries] == [("b1", "gone")]
