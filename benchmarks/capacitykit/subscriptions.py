"""What scoped distribution costs for one update, one renewal, one subscriber that comes back: out of the
committed results of `make bench-distribution`, at the largest size.  Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence


class SubscriptionCosts:
    """`rows`: benchmarks/results/distribution_cost.json, a row for each number of subscribers."""

    def __init__(self, rows: Sequence[Mapping]) -> None:
        self.row = max(rows, key=lambda row: row["subscribers"])

    def of(self, event: str, figure: str) -> float:
        """`event`: "update", "renewal" or "join"; `figure`: "bytes", "subscriber_ms" or "distributor_ms", for
        one subscriber each time.  KeyError for anything else."""
        measured = self.row[{"update": "ordinary", "renewal": "renewal", "join": "all_join"}[event]]
        subscribers = self.row["subscribers"]
        times = measured["updates"] if event == "update" else subscribers
        if figure == "distributor_ms":
            return measured["distributor_ms"] / times
        total = measured[{"bytes": "bytes_each", "subscriber_ms": "subscriber_ms"}[figure]] * subscribers
        return total / times
