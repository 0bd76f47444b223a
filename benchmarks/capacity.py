"""What one process costs against each count alone, and how that grows:  make bench-capacity

    QUICK=1         a fourth of each size, once: under 50 s, and nothing is kept
    ONLY=a,b        only these groups of the catalogue; the results of the others stay as they are

Each cell runs in a process of its own, two at a time, three or seven times in turn; medians.  Processor time
is that of the process, memory the growth of its peak.  What is made up is seeded.  An exponent is a
least-squares fit on logarithms through four sizes, and is checked by a fifth, larger one, that it was not
made from.  Results go to benchmarks/results/capacity.json, the picture to docs/capacity.svg; the tables of
docs/CAPACITY.md are made from them (`capacitykit/page.py`).  The last line of output is JSON."""

import json
import os
import platform
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
PICTURE = ROOT / "docs" / "capacity.svg"
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "benchmarks")]

from capacitykit import catalogue, runner  # noqa: E402

QUICK = os.environ.get("QUICK") == "1"


def chosen_groups() -> tuple[str, ...]:
    named = tuple(filter(None, os.environ.get("ONLY", "").split(",")))
    if unknown := set(named) - set(catalogue.GROUPS):
        raise SystemExit(f"ONLY: no such group: {', '.join(sorted(unknown))}")
    return named or catalogue.GROUPS


def measured(group: str) -> list[dict]:
    """Rows of the series of a group."""
    series = [one.quick() if QUICK else one for one in catalogue.SERIES if one.group == group]
    began, load = time.monotonic(), os.getloadavg()[0]
    found, loop_ms = runner.runs(series)
    rows = []
    for one, by_size in found.items():
        conditions = {"load": round(load, 1), "reference_loop_ms": round(loop_ms, 1)}
        rows.append({"name": one.name, "group": group} | conditions | runner.row(one, by_size))
        show(rows[-1])
    print(f"{group}: {time.monotonic() - began:.0f} s, reference loop {loop_ms:.0f} ms", flush=True)
    return rows


def show(row: dict) -> None:
    for figure, found in row["figures"].items():
        name = runner.key(row["name"], figure, row["grows"])
        if found["exponent"] is None:
            print(f"{name}: {found['why']}")
        else:
            print(
                f"{name}: exponent {found['exponent']} +- {found['spread']} (last {found['last']}); "
                f"at {row['held_back']} predicted {found['predicted']}, measured {found['measured']}"
            )


def keep(rows: list[dict], group: str) -> list[dict]:
    """Into the results beside the other groups; all rows."""
    before = json.loads(RESULTS.read_text())["series"] if RESULTS.exists() else []
    by_group = {other: [row for row in before if row["group"] == other] for other in catalogue.GROUPS}
    by_group[group] = rows
    every = [row for some in by_group.values() for row in some]
    result = {
        "command": "make bench-capacity",
        "cores": os.cpu_count(),
        "python": platform.python_version(),
        "bases": runner.bases(),
        "series": every,
    }
    RESULTS.write_text(json.dumps(result, indent=1) + "\n")
    return every


def main() -> None:
    rows, kept = [], []
    for group in chosen_groups():
        found = measured(group)
        rows += found
        if not QUICK:
            kept = keep(found, group)
    if kept:
        from capacitykit.plot import draw

        draw(kept, PICTURE)
    print(json.dumps(runner.last_line(rows)))


if __name__ == "__main__":
    if sys.argv[1:2] == ["cell"]:
        print(json.dumps(runner.cell(sys.argv[2], json.loads(sys.argv[3]))))
    else:
        main()
