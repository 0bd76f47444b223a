"""Seeded schedules of ledgers of 3 and 5 members, checked after every step.

`run(count, seed, broken)` is for tests and for the proof; `python proofs/ledger_schedules.py SEED` plays one
schedule and shows what breaks."""

from __future__ import annotations

import multiprocessing
import os
import sys
from collections import Counter
from pathlib import Path

if str(Path(__file__).parent.parent) not in sys.path:
    sys.path.insert(0, str(Path(__file__).parent.parent))

from proofs.ledger_faults import Schedule  # noqa: E402
from proofs.ledger_guards import taken_away  # noqa: E402

BATCH = 25  # schedules that a process takes at a time


def play(seed: int) -> tuple[dict, str]:
    """Tally, and what broke (empty: nothing)."""
    schedule = Schedule(seed)
    try:
        return schedule.run(), ""
    except Exception as broken:
        return schedule.world.tally, f"seed {seed}: {type(broken).__name__}: {broken}"


def batch(seeds: range, broken: str | None) -> tuple[Counter, list[str]]:
    tally, breaches = Counter(), []
    with taken_away(broken):
        for seed in seeds:
            counts, breach = play(seed)
            tally.update(counts)
            breaches += [breach] if breach else []
    return tally, breaches


def run(count: int, seed: int = 1, broken: str | None = None, processes: int | None = None) -> dict:
    """`schedules` played, `violations` among them and the first ten in `breaches`, and what happened in all.
    `broken`: a guard of the machine that is taken away (`ledger_guards.GUARDS`)."""
    batches = [
        (range(first, min(first + BATCH, seed + count)), broken) for first in range(seed, seed + count, BATCH)
    ]
    processes = min(processes or os.cpu_count() or 1, len(batches))
    if processes == 1:
        results = [batch(*one) for one in batches]
    else:
        with multiprocessing.get_context("fork").Pool(processes) as pool:
            results = pool.starmap(batch, batches, chunksize=1)
    tally, breaches = Counter(), []
    for counts, found in results:
        tally.update(counts)
        breaches += found
    return {"schedules": count, "violations": len(breaches), "breaches": breaches[:10], **tally}


if __name__ == "__main__":
    with taken_away(sys.argv[2] if len(sys.argv) > 2 else None):
        Schedule(int(sys.argv[1])).run()
