"""Real coordinators under random faults that overlap: relay and discovery cut off, slow, lying or moved,
answers lost, processes stopped, killed and restarted, system calls that fail, wall clocks that step; and
drains all along.

    python proofs/platform_soak.py      SEED=7; ROUNDS=3 runs of a minute, each with 24 coordinators
    QUICK=1 ...                         one run of 20 s, under 50 s in all
    BROKEN=repeats ...                  without what keeps drains in time (soakkit/broken.py): must fail

Judged by the rules, on what the proxies would have done, and by the coordinators' own counts of
violations.  The last line is JSON; exit code 1 on a broken promise.
docs/incidents/drain-behind-held-calls.md says why."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from proofs.soakkit import settings  # noqa: E402
from proofs.soakkit.verdict import Verdict  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
QUICK = os.environ.get("QUICK") == "1"
BROKEN = os.environ.get("BROKEN", "")
ROUNDS = 1 if QUICK else int(os.environ.get("ROUNDS", "3"))
SECONDS = 20.0 if QUICK else float(os.environ.get("SECONDS", "60"))
WORKERS, CELLS = 6, 4
PATIENCE = 75.0  # s that a worker may take beyond the faults
WORKER = Path(__file__).parent / "soakkit" / "worker.py"


def say(what: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {what}", file=sys.stderr, flush=True)


def start(folder: Path, seed: int) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, str(WORKER), str(folder), str(seed), str(CELLS), str(SECONDS), BROKEN],
        stdout=subprocess.PIPE,
        text=True,
    )


def play(folder: Path, seed: int, verdict: Verdict) -> None:
    """One run: all workers side by side."""
    folder.mkdir()
    workers = [start(folder, seed + number * CELLS) for number in range(WORKERS)]
    for worker in workers:
        try:
            told, _ = worker.communicate(timeout=SECONDS + PATIENCE)
        except subprocess.TimeoutExpired:
            worker.kill()
            verdict.wrong.append(f"a worker of seeds from {seed} did not end")
            continue
        if worker.returncode or not told.strip():
            verdict.wrong.append(f"a worker of seeds from {seed} ended with {worker.returncode}")
        else:
            verdict.take(json.loads(told.strip().splitlines()[-1]))


def main() -> int:
    folder, verdict = Path(tempfile.mkdtemp(prefix="platform-soak-")), Verdict()
    for number in range(ROUNDS):
        seed = SEED * 1000 + number * WORKERS * CELLS
        play(folder / f"run{number}", seed, verdict)
        say(f"{verdict.coordinators} coordinators played, {len(verdict.wrong)} broken promises")
    result = verdict.result() | {"seed": SEED, "seconds": SECONDS, "backends": settings.BACKENDS}
    for line in verdict.wrong[:20]:
        say(line)
    if verdict.wrong:
        say(f"logs are kept in {folder}")
    else:
        shutil.rmtree(folder)
    print(json.dumps(result), flush=True)
    return 1 if verdict.wrong else 0


if __name__ == "__main__":
    sys.exit(main())
