"""Hard cases of scoped distribution, each forced: what must hold is checked by the world after each step."""

import pytest

from distribution_world import World
from indigohitch.fleet.distribution.limits import Limits
from indigohitch.fleet.distribution.messages import RefusalReason


def settled(world, seconds=30):
    assert world.settle(seconds), world.wrong()
    return world


def loads(world):
    return [len(server.machine.serving.subscribers.served()) for server in world.servers.values()]


def refusals(world, reason):
    return [note for _, note in world.notes if note.fields.get("reason") == reason.name]


@pytest.mark.parametrize("seed", range(5))
def test_random_faults_end_in_the_intended_content(seed):
    world = settled(World(seed))
    for _ in range(120):
        world.run(world.chance.random() / 2)
        world.churn()
        fault = world.chance.randrange(12)
        name = world.chance.choice(world.names)
        if fault == 0 and len(world.servers) > 2 and name in world.servers:
            world.kill(name)
        elif fault == 1 and name not in world.servers:
            world.start(name)
        elif fault == 2 and name in world.servers:
            world.servers[name].held_up = not world.servers[name].held_up
            world.follow(world.servers[name])
        elif fault == 3 and world.links:
            world.cut(world.chance.choice(list(world.links.values())))
        elif fault == 4:
            world.rescope(
                world.chance.choice(list(world.subscribers)), world.chance.sample(world.services, 5)
            )
        elif fault == 5:
            world.isolate(world.chance.sample(list(world.subscribers), 4))
        elif fault == 6:
            world.isolate(())
    world.isolate(())
    for server in world.servers.values():
        server.held_up = False
        world.follow(server)
    settled(world, 60)


def test_a_distributor_is_killed_with_its_subscribers():
    world = settled(World(1, subscribers=120))
    first = world.subscribers["s0000"].connecting.choice.first
    world.kill(first)
    at = world.now
    world.drain(20)
    settled(world, 6)
    world.run(1)
    assert max(loads(world)) <= 1.6 * 120 / 5
    assert all(len(update.changes) <= 5 and not update.whole for t, _, _, update in world.updates if t > at)


def test_two_distributors_are_killed_within_a_second():
    world = settled(World(2, subscribers=120))
    world.kill("d1")
    world.run(0.5)
    world.kill("d4")
    world.drain(20)
    settled(world, 6)
    world.run(1)
    assert sum(loads(world)) == 120 and max(loads(world)) <= 1.6 * 120 / 4


def test_a_full_distributor_sends_subscribers_on():
    world = settled(World(3, subscribers=60, servers=3, limits=Limits(subscribers=20)))
    assert refusals(world, RefusalReason.FULL)
    assert max(loads(world)) == 20 and sum(loads(world)) == 60
