"""The interactive RPCs beside the batches: open loops at both sidecars, and the tail of their latency."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RATE, BURST = 30, 50  # a second, at each sidecar


class Interactive:
    """Open loops at both sidecars, with a burst of a second in every other one."""

    def __init__(self, field, seconds, seed):
        self.processes, self.lost = [], 0
        for place, name in enumerate(field.cars):
            bursts = [(BURST, wait, 1) for wait in range(1, seconds, 2)]
            for rate, wait, span in ((RATE, 0, seconds), *bursts):
                program = (
                    f"import sys, time; time.sleep({wait}); "
                    "from indigohitch.standins.load import main; main(sys.argv[1:])"
                )
                words = [
                    sys.executable,
                    "-c",
                    program,
                    field.fleet.listen[name],
                    "open",
                    str(rate),
                    str(span),
                    "20",
                    "0.1",
                    "0.2",
                    str(seed + place),
                ]
                self.processes.append(subprocess.Popen(words, cwd=ROOT, stdout=subprocess.PIPE))

    def answered(self):
        """Of each RPC that was: when it was due (Unix time) and its latency in ms."""
        found = []
        for process in self.processes:
            told = json.loads(process.communicate()[0])
            found += [
                (due / 10_000, took / 10) for due, took, status, *_ in told["results"] if 0 < status < 500
            ]
            self.lost += told["lost"]
        return found


def p99(latencies):
    return sorted(latencies)[len(latencies) * 99 // 100]
