"""Proxies that leave and join across a call that is out: what the module takes them for having heard."""

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World


def levels(orders):
    return [o for o in orders if isinstance(o, face.SetAdmission) and o.table == face.ALL_TABLES]


@pytest.fixture
def world():
    """All has been told and answered but the last message, which is out."""
    w = World(messages_most=0)
    w.start()
    w.run(4 * SECOND)
    w.step(
        0, face.BackendList("changes", 2, (face.BackendEntry("b1", "draining", 6.0, "east", 0, "std", 0),))
    )
    assert any(w.c.channel.unacked.values())
    return w


JOINED = face.ProxyJoined(2, "east", 5.0, True)


@pytest.mark.parametrize("news", [[face.ProxyLeft(2), JOINED], [JOINED]])
def test_one_that_joins_anew_is_told_once_more(world, news):
    """In one piece, or named by news that begin anew.  Whether the call met it before it joined can't be
    known: it is told the levels again, in one message, and no line of a table goes again."""
    orders = world.step(0, *news) + world.step(4 * SECOND)
    assert len(levels(orders)) == 1
    assert not [o for o in orders if isinstance(o, face.SetRoute)]


def test_no_mark_is_waited_for_of_one_that_left_and_joined_in_one_piece(world):
    """It may have lost the message that was out; what it answers from here on counts."""
    waiting = [proxies for _, proxies in world.c.channel.unacked.values()]
    assert all(2 in proxies for proxies in waiting)
    world.unacked.clear()  # nobody answers
    world.step(0, face.ProxyLeft(2), JOINED)
    assert not any(2 in proxies for proxies in waiting)
    world.step(0, face.UpdateAcknowledged(2, world.c.channel.last_marker, 0))  # a late one, of before
    assert all(0 in proxies for proxies in waiting)


def test_joined_and_left_in_one_piece_is_as_if_it_had_not_come(world):
    orders = world.step(0, face.ProxyJoined(40, "east", 5.0, True), face.ProxyLeft(40))
    orders += world.step(4 * SECOND)
    assert not levels(orders) and 40 not in world.c.proxies
