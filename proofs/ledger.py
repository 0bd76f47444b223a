"""The ledger: seeded schedules of 3 and 5 members in simulated time, a small model explored whole, and five
processes with kills, stops and cuts between them.

QUICK=1: under 50 s.  BROKEN=1 takes guards away (what is asked of the disk counts as written), and the proof
has to fail.  SEED=N: other schedules and another plan of faults.  The last line is one JSON object; the exit
code is 1 where a promise is broken."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "proofs")]

import ledger_model  # noqa: E402
import ledger_processes  # noqa: E402
import ledger_schedules  # noqa: E402
import ledger_verdict  # noqa: E402

QUICK, BROKEN = os.environ.get("QUICK") == "1", os.environ.get("BROKEN") == "1"
SEED = int(os.environ.get("SEED", "1"))
SCHEDULES = 500 if QUICK or BROKEN else 10_000
GUARD = "written"


def main() -> int:
    begun, broken = time.monotonic(), []
    schedules = ledger_schedules.run(SCHEDULES, SEED, GUARD if BROKEN else None)
    print(f"{time.monotonic() - begun:6.1f} s  {schedules}", flush=True)
    model = ledger_model.run(quick=QUICK, broken=GUARD if BROKEN else None)
    print(f"{time.monotonic() - begun:6.1f} s  {model}", flush=True)
    try:
        processes = ledger_processes.run(SEED, QUICK or BROKEN, BROKEN)
        broken += ledger_verdict.bad(processes)
    except AssertionError as vain:
        processes = {"stuck": str(vain)}
        broken.append("stuck")
    result = {
        "schedules": schedules["schedules"],
        "states": model["states"],
        "violations": schedules["violations"] + model["violations"],
    } | processes
    if result["violations"]:
        broken.append("violations")
    print(json.dumps(result | {"seconds": round(time.monotonic() - begun), "broken": broken}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
