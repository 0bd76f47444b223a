"""The tables of docs/CAPACITY.md, made from the committed results:  python benchmarks/capacitykit/page.py

They stand between two markers in the page; the rest is written by hand.  tests/test_capacity_page.py holds
the page against what comes out here."""

from __future__ import annotations

import json
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "benchmarks")]

from capacitykit import findings, givens, roles, tables  # noqa: E402
from capacitykit.costs import Costs  # noqa: E402
from capacitykit.subscriptions import SubscriptionCosts  # noqa: E402

PAGE = ROOT / "docs" / "CAPACITY.md"
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
SUBSCRIPTIONS = ROOT / "benchmarks" / "results" / "distribution_cost.json"
BEGIN, END = "<!-- tables: begin -->", "<!-- tables: end -->"


def read_results() -> dict:
    """Those of `make bench-capacity`, and of `make bench-distribution` under "subscriptions"."""
    return json.loads(RESULTS.read_text()) | {"subscriptions": json.loads(SUBSCRIPTIONS.read_text())}


def costs_of(results: dict) -> Costs:
    return Costs(results["series"], results["bases"], SubscriptionCosts(results["subscriptions"]))


def made(results: dict) -> str:
    """All tables."""
    costs, page = costs_of(results), roles.read()
    values = roles.Values(costs, page)
    lines = ["## Over the budget, the furthest first", "", *findings.over_table(values)]
    lines += ["## What one process takes", "", *findings.bound_table(values)]
    lines += ["## The first look", "", *findings.first_look_table(values)]
    lines += ["## Conditions", "", *tables.condition_table(values)]
    lines += [f"`entries`, what the ledger takes a second: `{page.entries}`.", ""]
    lines += ["## Roles", ""]
    for role in page.roles:
        lines += tables.role_table(role, values)
    lines += ["## The size", "", *tables.given_table(givens.SIZE)]
    lines += ["## Assumptions", "", *tables.given_table(givens.ASSUMED)]
    lines += ["## Constants of the program", "", *tables.given_table(givens.CONSTANTS)]
    lines += ["## How the answer moves with each assumption", "", *findings.moved_table(costs, page)]
    lines += ["## Slopes", "", *findings.slope_table(results["series"])]
    return "\n".join(lines)


def with_tables(text: str, results: dict) -> str:
    before, rest = text.split(BEGIN)
    after = rest.split(END)[1]
    return f"{before}{BEGIN}\n\n{made(results)}\n{END}{after}"


if __name__ == "__main__":
    PAGE.write_text(with_tables(PAGE.read_text(), read_results()))
