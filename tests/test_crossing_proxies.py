"""Proxies that leave and join while a call is in flight: what the module assumes that they have received."""

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World


def retry_levels(orders):
    """Returns the orders that set the retry level of all tables."""
    return [o for o in orders if isinstance(o, face.SetAdmission) and o.table == face.ALL_TABLES]


@pytest.fixture
def world():
    """A world in which all messages but the last one, which is in flight, are acknowledged."""
    world = World(messages_most=0)
    world.start()
    world.run(4 * SECOND)
    world.step(
        0, face.BackendList("changes", 2, (face.BackendEntry("b1", "draining", 6.0, "east", 0, "std", 0),))
    )
    assert any(world.c.channel.unacked.values())
    return world


JOINED = face.ProxyJoined(2, "east", 5.0, True)


@pytest.mark.parametrize("events", [[face.ProxyLeft(2), JOINED], [JOINED]])
def test_a_proxy_that_joins_again_gets_the_retry_level_once(world, events):
    """It leaves and joins in one batch, or a new subscription reports it as joined.

    Whether the call reached it before it joined is unknown, so it gets the retry level again in one message.
    No route of a table is sent again.
    """
    orders = world.step(0, *events) + world.step(4 * SECOND)
    assert len(retry_levels(orders)) == 1
    assert not [o for o in orders if isinstance(o, face.SetRoute)]


def test_markers_do_not_wait_for_a_proxy_that_left_and_joined_in_one_batch(world):
    """It may have lost the message in flight; only its acknowledgements from now on count."""
    waiting = [proxies for _, proxies in world.c.channel.unacked.values()]
    assert all(2 in proxies for proxies in waiting)
    world.unacked.clear()  # no proxy acknowledges
    world.step(0, face.ProxyLeft(2), JOINED)
    assert not any(2 in proxies for proxies in waiting)
    # A late acknowledgement from before it left.
    world.step(0, face.UpdateAcknowledged(2, world.c.channel.last_marker, 0))
    assert all(0 in proxies for proxies in waiting)


def test_a_proxy_that_joins_and_leaves_in_one_batch_has_no_effect(world):
    orders = world.step(0, face.ProxyJoined(40, "east", 5.0, True), face.ProxyLeft(40))
    orders += world.step(4 * SECOND)
    assert not retry_levels(orders) and 40 not in world.c.proxies
