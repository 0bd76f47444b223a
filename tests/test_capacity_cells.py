"""Every cell of `make bench-capacity` runs, at a small size in a process of its own, and returns the figures
that the committed results have of it."""

import json

import pytest

from benchmarks.capacitykit import runner
from benchmarks.capacitykit.catalogue import SERIES
from benchmarks.capacitykit.page import RESULTS

SMALL = 16
CELLS = {series.cell: series for series in SERIES}


@pytest.mark.parametrize("cell", sorted(CELLS))
def test_a_cell_returns_the_figures_of_the_results(cell):
    series = CELLS[cell]
    kept = next(row for row in json.loads(RESULTS.read_text())["series"] if row["name"] == series.name)
    found = runner.started(series, SMALL)
    assert found.keys() == kept["figures"].keys()
    assert all(value >= 0 for value in found.values())
