"""Random versions, rollbacks, drains, pins and restarts, with stand-in relays on loopback behind a relay of
faults; after quiet every relay must hold the exact intended table.

    python proofs/versions.py           1,000 steps; QUICK=1: 200, under 50 s; SEED=7
    BROKEN=1 ...                        old lines are removed before new ones are there: must fail

The last line is JSON.  Exit code 1 on a breach."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from indigohitch.versions import cost, delta  # noqa: E402
from proofs.versions_world import World  # noqa: E402

STEPS = 200 if os.environ.get("QUICK") == "1" else 1000


def removals_first(froms, to, guard):
    return [
        update
        for updates in delta.changes(froms, to).values()
        for update in sorted(updates, key=lambda p: p.weight)
    ]


def main() -> int:
    if os.environ.get("BROKEN") == "1":
        cost.delta.ordered = removals_first
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(World(folder, int(os.environ.get("SEED", "1"))).run(STEPS))
    bad = [
        name
        for name in ("mismatched", "messages_over", "bare_ms_max", "drain_over", "cold_over", "lost_versions")
        if found[name]
    ]
    bad += ["lines_sent"] if found["lines_sent"] * 5 >= found["lines_naive"] else []
    print(json.dumps(found | {"breaches": bad}))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
