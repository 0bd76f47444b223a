"""A worker of the soak: some coordinators, each with its platform, on one loop.

    python proofs/soakkit/worker.py FOLDER SEED CELLS SECONDS BROKEN

Writes one line of JSON, a list with what became of each."""

from __future__ import annotations

import json
import random
import signal
import sys
import traceback
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent.parent))

from indigohitch.net.clock import SECOND, Clock  # noqa: E402
from indigohitch.net.loop import EventLoop  # noqa: E402
from proofs.soakkit import settings  # noqa: E402
from proofs.soakkit.cell import Cell  # noqa: E402
from proofs.soakkit.faults import Faults  # noqa: E402

QUIET = 8 * SECOND  # after the last fault, until all must have come to rest
START = 30 * SECOND  # for the first start of all
LAST = SECOND * 3 // 2  # for the ends of the processes


def told_of(cell: Cell, faults: Faults, converged: bool) -> dict:
    """What became of one coordinator."""
    log = cell.coordinator.log()
    events = Counter(line.get("event", "") for line in log)
    counted: Counter[str] = Counter()
    for line in log:
        if line.get("event") == "counters":
            counted.update({name: n for name, n in line.items() if name.startswith("invariant_")})
    broken = [
        line
        for line in log
        if line.get("event") in ("invariant_violated", "defect", "no_json", "drain_overdue")
    ]
    return {
        "cell": cell.coordinator.folder.name,
        "seed": cell.seed,
        "violations": [violation.told() for violation in cell.truth.violations],
        "converged": converged,
        "crashes": cell.coordinator.crashes,
        "ready_after": [round(span, 2) for span in cell.coordinator.ready_after],
        "starts": cell.coordinator.starts,
        "messages_most": cell.relay.channel.most_written,
        "lines_most": cell.relay.channel.most_lines,
        "drains": [round(span, 2) for span in cell.truth.drains],
        "calls": cell.relay.calls,
        "calls_broken": cell.relay.broken,
        "faults": dict(faults.counts),
        "invariants": dict(counted),
        "events": {
            name: events[name] for name in ("defect", "invariant_violated", "drain_overdue", "no_json")
        },
        "first_broken": broken[:3],
    }


class Worker:
    def __init__(self, folder: Path, seed: int, cells: int, seconds: float, broken: str) -> None:
        self.errors: list[str] = []
        self.loop = EventLoop(Clock(), self.failed)
        self.cells = [Cell(self.loop, folder / f"c{seed + n}", seed + n, broken) for n in range(cells)]
        self.span = int(seconds * SECOND)

    def failed(self, error: BaseException) -> None:
        """A defect of the soak itself: its verdict is worth nothing then."""
        self.errors.append("".join(traceback.format_exception(error))[-1500:])

    def turn_until(self, holds, within: int) -> bool:
        end = self.loop.clock.now() + within
        self.loop.call_at(end, lambda: None)
        while self.loop.clock.now() < end:
            if holds():
                return True
            self.loop.call_after(SECOND // 50, lambda: None)
            self.loop.turn()
        return bool(holds())

    def play(self) -> list[dict]:
        for cell in self.cells:
            cell.start()
        self.turn_until(lambda: all(cell.is_ready for cell in self.cells), START)
        until = self.loop.clock.now() + self.span
        played = [Faults(cell, random.Random(cell.seed * 7919), until) for cell in self.cells]
        for faults in played:
            faults.begin()
        self.turn_until(lambda: False, self.span)
        self.turn_until(lambda: not any(faults.busy for faults in played), QUIET)
        self.turn_until(lambda: False, QUIET)
        at_rest = [cell.converged() for cell in self.cells]
        for cell in self.cells:
            cell.end(signal.SIGTERM)
        self.turn_until(lambda: not any(cell.coordinator.runs() for cell in self.cells), LAST)
        return [told_of(*told) for told in zip(self.cells, played, at_rest)]


def main(folder: str, seed: str, cells: str, seconds: str, broken: str = "") -> int:
    worker = Worker(Path(folder), int(seed), int(cells), float(seconds), broken)
    found = {"cells": worker.play(), "errors": worker.errors, "messages": settings.MESSAGES}
    print(json.dumps(found), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
