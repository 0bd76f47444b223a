"""Time of a module turn and of a burst of joins, and memory, at two sizes of the fleet, against the module of
the starting commit in the same run:  make bench-fleet-size  (needs the repository's history).

Each cell runs in a process of its own, seven times in turn; medians.  Milliseconds are of process time; the
fleet is made up, seeded."""

import json
import random
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

from variant import variant

ROOT = Path(__file__).resolve().parent.parent
START = "0e0778a"  # the text before many coordinators at once
SIZES = ((640, 120), (1600, 200))
TIMES = 7  # runs of each cell, of which the median counts
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]


def module(which: str):
    """The decision module of now, or of the starting commit, as a module of the same package."""
    if which == "now":
        from indigohitch import logic

        return logic
    text = subprocess.run(
        ["git", "show", f"{START}:indigohitch/logic.py"], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout
    return variant("logic_before", text)


def cell(which: str, proxies: int, backends: int) -> dict:
    from indigohitch import interface as face
    from world import BOOT, entry

    logic, rng = module(which), random.Random(7)
    second, slices = logic.SECOND, backends * 29 // 25  # a fifth of 5.8 for each backend
    boot = BOOT | {
        "coordinators": 5,
        "own_number": 0,
        "lines_per_s": slices * 5 * proxies / 6,
        "queue_cap": slices * 5 * proxies / 4,
    }
    c, now = logic.Coordinator(1, boot), 1000 * second
    rates = [rng.lognormvariate(1, 0.7) for _ in range(slices)]
    ids = [f"b{n}" for n in range(backends)]

    def turn(*events, span=100):
        nonlocal now
        now += span
        began = time.process_time()
        orders = c.handle(now, list(events))
        return (time.process_time() - began) * 1000, orders

    def sums():
        lines = [
            face.SliceDemand(s, "search", round(rng.gauss(r, r**0.5)), 0, 2 * second)
            for s, r in enumerate(rates)
            if r > 0.5
        ]
        return lines + [
            face.BackendTraffic("east", b, 9, 0, 2500, 2 * second, {"service_time": 2500, "queued": 0})
            for b in ids
        ]

    first, _ = turn(
        face.BackendList("full", 1, tuple(map(entry, ids))),
        *(
            e
            for s in range(slices)
            for e in (face.SliceOwnership(s, True), face.StoredRoute(s, ids[s % backends], 1.0))
        ),
    )
    joins = [face.ProxyJoined(p, "east", 5.0, False) for p in range(proxies)]
    parts = [turn(*joins[at : at + 64])[0] for at in range(0, proxies, 64)]
    steady, acked = [], []
    for _ in range(40):
        spent, orders = turn(face.TimerFired("beat"), *sums(), span=second // 2)
        steady.append(spent)
        mark = next((o.marker for o in orders if isinstance(o, face.UpdateMarker)), None)
        if mark is not None:
            acked.append(turn(*(face.UpdateAcknowledged(p, mark, 3000) for p in range(proxies)))[0])
    drains = tuple(entry(b, "draining") for b in ids[: backends * 3 // 10])
    drained, _ = turn(face.BackendList("changes", 2, drains))
    return {
        "text": which,
        "proxies": proxies,
        "backends": backends,
        "slices": slices,
        "start_ms": round(first, 2),
        "joins_ms": round(sum(parts), 2),
        "join_turn_ms_worst": round(max(parts), 2),
        "turn_ms": round(statistics.median(steady), 2),
        "turn_ms_worst": round(max(steady), 2),
        "answers_ms": round(statistics.median(acked), 2) if acked else None,
        "drain_of_three_in_ten_ms": round(drained, 2),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }


def main() -> None:
    rows = []
    for proxies, backends in SIZES:
        runs = {"before": [], "now": []}
        for which in ("before", "now") * TIMES:  # in turn: the machine's speed drifts
            out = subprocess.run(
                [sys.executable, __file__, which, str(proxies), str(backends)],
                check=True,
                capture_output=True,
                text=True,
            ).stdout
            runs[which].append(json.loads(out))
        for found in runs.values():
            rows.append(
                {
                    key: value
                    if isinstance(value, (str, int))
                    else statistics.median(run[key] for run in found)
                    for key, value in found[0].items()
                }
            )
            print(json.dumps(rows[-1]))
    (ROOT / "benchmarks/results/fleet_size.json").write_text(
        json.dumps({"command": "make bench-fleet-size", "before": START, "cells": rows}, indent=1) + "\n"
    )


if len(sys.argv) > 1:
    print(json.dumps(cell(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))))
elif __name__ == "__main__":
    main()
