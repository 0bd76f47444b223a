"""The cost of any count, out of the committed results: measured where it was measured, else carried on from
the nearest measured size.  Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from . import fits
from .subscriptions import SubscriptionCosts


class NotMeasured(KeyError):
    """No such series or figure in the results."""


class Costs:
    """`rows`: the series of benchmarks/results/capacity.json; `bases`: memory of a process without state."""

    def __init__(
        self,
        rows: Sequence[Mapping],
        bases: Mapping[str, float],
        subscriptions: SubscriptionCosts | None = None,
    ) -> None:
        self.rows = {row["name"]: row for row in rows}
        self.bases = bases
        self.subscriptions = subscriptions

    def figure(self, series: str, name: str) -> Mapping:
        try:
            return self.rows[series]["figures"][name]
        except KeyError:
            raise NotMeasured(f"{series}: {name}") from None

    def of(self, series: str, name: str, count: float) -> float:
        """Between two sizes by the power law through both; outside them by the fitted exponent, from the
        nearest."""
        found = self.figure(series, name)
        points = sorted((int(size), cost) for size, cost in found["points"].items())
        if count <= points[0][0]:
            return self.outside(found, points[0], count)
        if count > points[-1][0]:
            return self.outside(found, points[-1], count)
        upper = next(n for n, (size, _) in enumerate(points) if size >= count)
        low, high = points[upper - 1], points[upper]
        if low[1] <= 0 or high[1] <= 0:
            return low[1] + (high[1] - low[1]) * (count - low[0]) / (high[0] - low[0])
        return fits.carried_on(high[1], high[0], fits.exponent_between(low, high), count)

    @staticmethod
    def outside(found: Mapping, nearest: tuple[int, float], count: float) -> float:
        exponent = found["exponent"] if found["exponent"] is not None else 0.0
        return fits.carried_on(nearest[1], nearest[0], exponent, count)

    def base(self, program: str) -> float:
        if program not in self.bases:
            raise NotMeasured(program)
        return self.bases[program]

    def subscription(self, event: str, figure: str) -> float:
        """Of scoped distribution, for one subscriber (`subscriptions.py`)."""
        if self.subscriptions is None:
            raise NotMeasured(f"subscriptions: {event}, {figure}")
        return self.subscriptions.of(event, figure)
