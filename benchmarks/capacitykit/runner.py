"""Runs cells, each in a process of its own, and makes fits of what they return."""

from __future__ import annotations

import json
import statistics
import subprocess
import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from importlib import import_module
from pathlib import Path

from .base_cell import PROGRAMS
from .catalogue import Series

AT_ONCE = 2  # cells: more would measure each other's caches
LIMIT_SECONDS = 120.0  # of one cell
REFERENCE = Series("reference", "", "reference_cell:measure", "turn", (), 0)
REFERENCES = 12  # runs of it among the cells of a group
PROGRAM = Path(__file__).resolve().parent.parent / "capacity.py"
BASE = Path(__file__).with_name("base_cell.py")


class CellFailed(RuntimeError):
    """A cell ended with an error, or not in time."""


def cell(where: str, counts: dict[str, int]) -> dict[str, float]:
    """In the process that was started for it."""
    module, function = where.split(":")
    return getattr(import_module(f"capacitykit.{module}"), function)(**counts)


def started(series: Series, size: int) -> dict[str, float]:
    """One run of one cell, from outside."""
    command = [sys.executable, str(PROGRAM), "cell", series.cell, json.dumps(series.counts(size))]
    try:
        done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_SECONDS)
    except subprocess.TimeoutExpired:
        raise CellFailed(f"{series.name}, {size} {series.grows}: over {LIMIT_SECONDS:g} s") from None
    if done.returncode:
        raise CellFailed(f"{series.name}, {size} {series.grows}: {done.stderr[-2000:]}")
    return json.loads(done.stdout.splitlines()[-1])


def bases() -> dict[str, float]:
    """Memory in MB of each program without state."""
    found = {}
    for name in PROGRAMS:
        done = subprocess.run([sys.executable, str(BASE), name], capture_output=True, text=True, check=True)
        found[name] = float(done.stdout)
    return found


def runs(chosen: Sequence[Series]) -> tuple[dict[Series, dict[int, list[dict[str, float]]]], float]:
    """All sizes of each series, as often as it says, in turn, as the machine's speed drifts; and the median
    of the reference loop, run now and then among them."""
    wanted = [
        (series, size)
        for turn in range(max(series.times for series in chosen))
        for series in chosen
        if turn < series.times
        for size in sorted((*series.sizes, series.held_back), reverse=True)
    ]
    mixed = with_references(wanted)
    with ThreadPoolExecutor(AT_ONCE) as pool:
        found = list(pool.map(lambda one: started(*one), mixed))
    results: dict[Series, dict[int, list[dict[str, float]]]] = {}
    for (series, size), result in zip(mixed, found):
        results.setdefault(series, {}).setdefault(size, []).append(result)
    loops = [result["loop_ms"] for some in results.pop(REFERENCE).values() for result in some]
    return results, statistics.median(loops)


def with_references(wanted: list[tuple[Series, int]]) -> list[tuple[Series, int]]:
    """The reference loop among the cells, `REFERENCES` times or so."""
    every = max(1, len(wanted) // REFERENCES)
    mixed = []
    for number, one in enumerate(wanted):
        if number % every == 0:
            mixed.append((REFERENCE, number))
        mixed.append(one)
    return mixed


def row(series: Series, by_size: dict[int, list[dict[str, float]]]) -> dict:
    """What is kept of a series: medians and the fit of each figure."""
    from . import fits

    figures = {}
    for name in by_size[series.held_back][0]:
        medians = {size: statistics.median(run[name] for run in found) for size, found in by_size.items()}
        spread = max(fits.spread_of_runs([run[name] for run in found]) for found in by_size.values())
        figures[name] = {
            "points": {str(size): rounded(medians[size]) for size in sorted(medians)},
            "spread_of_runs": rounded(spread),
            **fitted(series, medians),
        }
    return {
        "cell": series.cell,
        "grows": series.grows,
        "fixed": dict(series.fixed),
        "held_back": series.held_back,
        "runs": len(by_size[series.held_back]),
        "figures": figures,
    }


def fitted(series: Series, medians: dict[int, float]) -> dict:
    """The fit through all sizes but the one held back; None for what is 0 at some size."""
    from . import fits

    try:
        line = fits.fit({size: medians[size] for size in series.sizes})
    except fits.Unfittable as bad:
        return {"exponent": None, "why": str(bad)}
    predicted, measured = line.predict(series.held_back), medians[series.held_back]
    return {
        "exponent": round(line.exponent, 3),
        "spread": round(line.spread, 3),
        "last": round(line.last, 3),
        "coefficient": rounded(line.coefficient),
        "predicted": rounded(predicted),
        "measured": rounded(measured),
        "off": round(measured / predicted, 3),
    }


def rounded(value: float) -> float:
    """To four digits that count."""
    return float(f"{value:.4g}")


def key(series_name: str, figure: str, grows: str) -> str:
    """The name of a slope in the last line of output."""
    return f"{series_name}: {figure} / {grows}"


def last_line(rows: Iterable[dict]) -> dict:
    """Slopes by name, and what was predicted and measured at the size held back."""
    found: dict[str, dict] = {"slopes": {}, "predicted": {}, "measured": {}, "spread": {}}
    for one in rows:
        for figure, fit in one["figures"].items():
            if fit["exponent"] is None:
                continue
            name = key(one["name"], figure, one["grows"])
            found["slopes"][name] = fit["exponent"]
            found["spread"][name] = fit["spread"]
            found["predicted"][name] = fit["predicted"]
            found["measured"][name] = fit["measured"]
    return found
