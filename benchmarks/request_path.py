"""What the sidecar costs: RPCs a second on one core, and the latency added to direct traffic in the same run.

    make bench-request-path        (SECONDS=4: of each measurement)

The sidecar is pinned to a core of its own, stand-in servers and clients to others.  Connections: 10, 100,
1,000.  Table lines: one a slice; the servers that no request goes to are only listed.  Figures are of our
stand-ins on loopback; the median of three rounds."""

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from field import Field  # noqa: E402

SECONDS, ROUNDS = float(os.environ.get("SECONDS", "3")), int(os.environ.get("ROUNDS", "3"))


def pin(process, core):
    os.sched_setaffinity(process.pid, {core})


def load(at, how, *words, core=5):
    process = subprocess.Popen(
        [sys.executable, "-m", "indigohitch.standins.load", at, how, *map(str, words)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    pin(process, core)
    return json.loads(process.communicate()[0])


def field(slices, servers):
    """All servers beyond two are further addresses of one stand-in, so that every line is used."""
    path = Path(tempfile.mkdtemp(prefix="bench-"))
    found = Field(path, servers=2, service=0.0, slices=slices, also=servers - 2, report="1s").start(60)
    pin(found.process, 2)
    for core, process in zip((3, 4), found.standins):
        pin(process, core)
    time.sleep(0.5)
    return found


def median(rows):
    return {name: round(statistics.median(row[name] for row in rows), 2) for name in rows[0]}


def main():
    result = {"seconds_each": SECONDS, "rounds": ROUNDS, "by_connections": {}, "by_lines": {}}
    found = field(64, 2)
    try:
        for connections in (10, 100, 1000):
            rows = []
            for _ in range(ROUNDS):
                direct = load(found.servers[0], "closed", connections, SECONDS)
                through = load(found.listen, "closed", connections, SECONDS)
                rows.append(
                    {
                        "per_second": through["per_second"],
                        "per_second_direct": direct["per_second"],
                        "lost": through["lost"],
                        "p50_ms": through["p50_ms"],
                        "p99_ms": through["p99_ms"],
                    }
                )
            result["by_connections"][connections] = median(rows)
            print(connections, result["by_connections"][connections], flush=True)
    finally:
        found.close()
    for slices, servers in ((2, 2), (200, 50), (2000, 1000)):
        found = field(slices, servers)
        try:
            rows = []
            for _ in range(ROUNDS):
                direct = load(found.servers[0], "open", 500, SECONDS, 50, 0.0, 0.0)
                through = load(found.listen, "open", 500, SECONDS, 50, 0.0, 0.0)
                full = load(found.listen, "closed", 100, SECONDS)
                rows.append(
                    {
                        "added_p50_ms": through["p50_ms"] - direct["p50_ms"],
                        "lost": through["lost"],
                        "added_p99_ms": through["p99_ms"] - direct["p99_ms"],
                        "p50_ms": through["p50_ms"],
                        "p50_ms_direct": direct["p50_ms"],
                        "p99_ms": through["p99_ms"],
                        "p99_ms_direct": direct["p99_ms"],
                        "per_second": full["per_second"],
                    }
                )
            result["by_lines"][f"{slices} lines, {servers} servers"] = median(rows)
            print(slices, servers, median(rows), flush=True)
        finally:
            found.close()
    print(json.dumps(result))


if __name__ == "__main__":
    main()
