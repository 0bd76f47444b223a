"""Seeded random runs: whatever comes, `World.check` holds after every step, and the same events give
the same orders."""

import random

import pytest

from indigohitch import interface as face
from indigohitch.logic import SECOND
from world import World, entry


def random_day(seed, steps=120, **boot):
    rng, w = random.Random(seed), World(seed, **boot)
    n = rng.randint(4, 9)
    w.start(n, rng.randint(8, 40), rng.randint(1, 9), rng.choice(["full", "remembered"]))
    fresh, version, bad, hot = n, 1, set(), {}
    for _ in range(steps):
        events = list(w.probes(bad))
        roll = rng.random()
        ready = sorted(b for b, x in w.listed.items() if x.state == "ready")
        if roll < 0.08 and len(ready) > 2:
            version += 1
            struck = rng.sample(ready, rng.randint(1, max(1, len(ready) // 3)))
            state = rng.choice(["draining", "gone"])
            events.append(face.BackendList("changes", version, tuple(entry(b, state) for b in struck)))
        elif roll < 0.16:
            version += 1
            started = w.now - rng.randint(0, 3 * SECOND)
            old = [b for b in w.notified_at if b not in w.listed or w.listed[b].state == "gone"]
            again = rng.random() < 0.5 and old
            if not again:
                fresh += 1
            b = again[0] if again else f"b{fresh}"
            events.append(face.BackendList("changes", version, (entry(b, started=started),)))
        elif roll < 0.2:
            events.append(face.BackendList("failed", 0, ()))
        elif roll < 0.26:
            bad = set(rng.sample(ready, rng.randint(0, len(ready) // 2)))
        elif roll < 0.32 and len(w.proxies) > 1:
            events.append(face.ProxyLeft(sorted(w.proxies)[0]))
        elif roll < 0.4:
            events.append(face.ProxyJoined(rng.randint(0, 12), "west", 3.0, False))
        elif roll < 0.45 and w.tables:
            s = rng.choice(sorted(w.tables))
            events.append(face.SliceOwnership(s, False))
            if rng.random() < 0.8:
                events += [face.SliceOwnership(s, True)]
                if rng.random() < 0.7:
                    events.append(face.StoredRoute(s, rng.choice(sorted(w.listed) + ["stranger"]), 1.0))
        elif roll < 0.5 and w.tables:
            hot = {rng.choice(sorted(w.tables)): rng.uniform(5, 60)}
        if events:
            w.step(rng.randint(0, SECOND), *events)
        w.run(2 * SECOND, hot, bad)
    return w


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_after_every_step(seed):
    random_day(
        seed,
        messages_most=(0, 12)[seed % 2],
        discovery=("ask", "push")[seed % 2],
        pick=("two", "weighted", "round")[seed % 3],
        admission=("share", "none")[seed % 2],
    )


def test_same_events_same_orders():
    assert random_day(3).log == random_day(3).log
