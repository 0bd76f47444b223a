"""Seeded random events: `World.check` holds after every step, and the same events give the same orders."""

import random

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World, entry


def random_day(seed, steps=120, **boot):
    """Returns a world after a seeded sequence of random events."""
    rng, world = random.Random(seed), World(seed, **boot)
    count = rng.randint(4, 9)
    world.start(count, rng.randint(8, 40), rng.randint(1, 9), rng.choice(["full", "remembered"]))
    last_number, version, bad, rates = count, 1, set(), {}
    for _ in range(steps):
        events = list(world.probes(bad))
        draw = rng.random()
        ready = sorted(b for b, x in world.listed.items() if x.state == "ready")
        if draw < 0.08 and len(ready) > 2:
            version += 1
            departing = rng.sample(ready, rng.randint(1, max(1, len(ready) // 3)))
            state = rng.choice(["draining", "gone"])
            events.append(face.BackendList("changes", version, tuple(entry(b, state) for b in departing)))
        elif draw < 0.16:
            version += 1
            started = world.now - rng.randint(0, 3 * SECOND)
            departed = [
                b for b in world.notified_at if b not in world.listed or world.listed[b].state == "gone"
            ]
            returns = rng.random() < 0.5 and departed
            if not returns:
                last_number += 1
            backend = returns[0] if returns else f"b{last_number}"
            events.append(face.BackendList("changes", version, (entry(backend, started=started),)))
        elif draw < 0.2:
            events.append(face.BackendList("failed", 0, ()))
        elif draw < 0.26:
            bad = set(rng.sample(ready, rng.randint(0, len(ready) // 2)))
        elif draw < 0.32 and len(world.proxies) > 1:
            events.append(face.ProxyLeft(sorted(world.proxies)[0]))
        elif draw < 0.4:
            events.append(face.ProxyJoined(rng.randint(0, 12), "west", 3.0, False))
        elif draw < 0.45 and world.tables:
            number = rng.choice(sorted(world.tables))
            events.append(face.SliceOwnership(number, False))
            if rng.random() < 0.8:
                events += [face.SliceOwnership(number, True)]
                if rng.random() < 0.7:
                    events.append(
                        face.StoredRoute(number, rng.choice(sorted(world.listed) + ["stranger"]), 1.0)
                    )
        elif draw < 0.5 and world.tables:
            rates = {rng.choice(sorted(world.tables)): rng.uniform(5, 60)}
        if events:
            world.step(rng.randint(0, SECOND), *events)
        world.run(2 * SECOND, rates, bad)
    return world


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_after_every_step(seed):
    random_day(
        seed,
        messages_most=(0, 12)[seed % 2],
        discovery=("ask", "push")[seed % 2],
        pick=("two", "weighted", "round")[seed % 3],
        admission=("share", "none")[seed % 2],
    )


def test_the_same_events_give_the_same_orders():
    assert random_day(3).log == random_day(3).log
