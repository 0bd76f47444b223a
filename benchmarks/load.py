"""Parsing, the ceiling of a replay, the sketch, each against a plain way in the same run:  make bench-load

Every parsing cell runs in a process of its own, for its memory; files are made up, seeded."""

import json
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

LINE = (
    '10.0.0.{n} - - [10/Oct/2026:13:{m:02}:{s:02} +0200] "GET /vacancies/{i}?q=1 HTTP/1.1" 200 512 '
    '"-" "app/1"\n'
)
PLAIN = r'(\S+) \S+ \S+ \[([^]]+)\] "(\S+) (\S+) [^"]*" (\d+) (\S+)'


def cell(kind: str, path: str) -> dict:
    began, count = time.process_time(), 0
    if kind == "log":
        from indigohitch.load.sources import logs, opened

        form = logs.Formatted("combined")
        for _ in logs.read(opened.opened(path), form, print, print):
            count += 1
    elif kind == "log_plain":
        import re
        from datetime import datetime

        pattern = re.compile(PLAIN)
        with open(path) as file:
            for line in file:
                found = pattern.match(line)
                datetime.strptime(found[2], "%d/%b/%Y:%H:%M:%S %z")
                count += 1
    elif kind == "json_lines":
        from indigohitch.load.sources import logs, opened

        for _ in logs.read(opened.opened(path), logs.JsonLines(), print, print):
            count += 1
    elif kind == "har":
        from indigohitch.load.sources import har, opened

        for _ in har.read(opened.opened(path), print, print):
            count += 1
    else:
        with open(path) as file:
            count = len(json.load(file)["log"]["entries"])
    spent, size = time.process_time() - began, Path(path).stat().st_size
    return {
        "kind": kind,
        "mb": round(size / 1e6, 1),
        "entries": count,
        "a_second": round(count / spent),
        "mb_a_second": round(size / 1e6 / spent, 1),
        "memory_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
    }


def parsing(path: Path) -> list[dict]:
    rng = random.Random(1)
    with open(path / "a.log", "w") as file:
        for i in range(300_000):
            file.write(LINE.format(n=i % 250, m=i // 5000 % 60, s=i // 90 % 60, i=i))
    with open(path / "a.jsonl", "w") as file:
        for i in range(300_000):
            file.write(
                json.dumps(
                    {
                        "ms": 1767225600000.0 + i,
                        "client": f"c{i % 99}",
                        "method": "GET",
                        "target": f"/vacancies/{i}",
                        "rpc": "search",
                        "status": 200,
                        "took_ms": 2.5,
                        "size": 512,
                        "id": "",
                    }
                )
                + "\n"
            )
    body = "x" * 20_000
    with open(path / "a.har", "w") as file:
        file.write('{"log":{"version":"1.2","entries":[')
        for i in range(20_000):
            file.write(
                ("," if i else "")
                + json.dumps(
                    {
                        "startedDateTime": f"2026-01-01T00:{i // 400:02}:{i // 10 % 60:02}.{i % 10}00Z",
                        "time": 5,
                        "request": {"method": "GET", "url": f"http://h/v/{rng.randrange(999)}"},
                        "response": {"status": 200, "content": {"text": body}},
                        "timings": {"wait": 5},
                    }
                )
            )
        file.write("]}}")
    rows = []
    for kind, name in (
        ("log", "a.log"),
        ("log_plain", "a.log"),
        ("json_lines", "a.jsonl"),
        ("har", "a.har"),
        ("har_plain", "a.har"),
    ):
        out = subprocess.run(
            [sys.executable, __file__, kind, str(path / name)], check=True, capture_output=True, text=True
        ).stdout
        rows.append(json.loads(out))
    return rows


def ceiling(path: Path) -> list[dict]:
    """Asked for more and more: the highest rate at which 99 % were sent less than 50 ms late."""
    from indigohitch.load import trace
    from indigohitch.load.entry import SECOND, Request
    from waiting import free_address

    rows = []
    for processes in (1, 2, 4):
        best = None
        for rate in (2000, 4000, 6000, 8000, 12000, 16000):
            at = free_address()
            standin = subprocess.Popen(
                [sys.executable, "-m", "indigohitch", "stand-in", at], cwd=ROOT, stdout=subprocess.PIPE
            )
            standin.stdout.readline()
            name = str(path / f"t{rate}")
            trace.write(
                name,
                (
                    Request(n * SECOND // rate, "GET", f"/v/{n % 500}", "search", False, n % 64, 0, n)
                    for n in range(rate * 4)
                ),
                0,
                ["made up"],
                {},
            )
            out = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "indigohitch",
                    "load",
                    "replay",
                    name,
                    at,
                    "--json",
                    "--processes",
                    str(processes),
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            standin.kill()
            standin.wait()
            if out.returncode:
                break
            told = json.loads(out.stdout)
            if told["lateness"]["p99_ms"] > 50 or set(told["outcomes"]) != {"200"}:
                break
            best = {
                "processes": processes,
                "a_second": rate,
                "late_p50_ms": told["lateness"]["p50_ms"],
                "late_p99_ms": told["lateness"]["p99_ms"],
                "p99_ms": told["rpcs"]["search"]["p99_ms"],
            }
        rows.append(best or {"processes": processes, "a_second": 0})
    return rows


def sketch() -> list[dict]:
    from indigohitch.load.shape.sketch import Frequent

    rng = random.Random(1)
    weights = [1 / (n + 1) ** 0.9 for n in range(400_000)]
    keys = [f"/v/{n}" for n in rng.choices(range(400_000), weights, k=1_000_000)]
    plain = Counter(keys)
    exact, rows = plain.most_common(100), []
    plain_mb = (sys.getsizeof(plain) + sum(map(sys.getsizeof, plain)) + 28 * len(plain)) / 1e6
    for size in (512, 4096, 16384):
        found = Frequent(size)
        began = time.process_time()
        for key in keys:
            found.add(key)
        spent = time.process_time() - began
        told = {key: count for key, count, _ in found.most(100)}
        memory = (
            sys.getsizeof(found.counts)
            + sys.getsizeof(found.over)
            + sys.getsizeof(found._heap)
            + sum(map(sys.getsizeof, found.counts))
            + 128 * len(found._heap)
        ) / 1e6
        rows.append(
            {
                "counters": size,
                "keys": len(plain),
                "a_second": round(len(keys) / spent),
                "of_the_top_100": sum(key in told for key, _ in exact),
                "largest_error": max((told[k] / c - 1 for k, c in exact if k in told), default=None),
                "memory_mb": round(memory, 2),
                "plain_memory_mb": round(plain_mb, 1),
            }
        )
    return rows


def main() -> None:
    with tempfile.TemporaryDirectory(prefix="bench-") as folder:
        found = {
            "command": "make bench-load",
            "parsing": parsing(Path(folder)),
            "ceiling": ceiling(Path(folder)),
            "sketch": sketch(),
        }
    (ROOT / "benchmarks/results/load.json").write_text(json.dumps(found, indent=1) + "\n")
    print(json.dumps(found, indent=1))


if len(sys.argv) > 2:
    print(json.dumps(cell(*sys.argv[1:])))
elif __name__ == "__main__":
    main()
