"""Power laws through measured costs: `cost = coefficient * count ** exponent`, by least squares on
logarithms, and what they say of a size that they were not made from.  Pure."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy
from scipy import stats

LEAST_POINTS = 3  # below it a line through the logarithms has no spread
CONFIDENCE = 0.95


class Unfittable(ValueError):
    """Too few sizes, or costs that are not above 0."""


@dataclass(slots=True, frozen=True)
class Fit:
    """`spread`: half of the exponent's interval at 95 in 100.  `last`: the exponent between the two largest
    sizes alone; where it lies far above `exponent`, a fixed part hides the growth."""

    exponent: float
    coefficient: float
    spread: float
    last: float

    def predict(self, count: float) -> float:
        return self.coefficient * count**self.exponent


def fit(points: Mapping[int, float]) -> Fit:
    """Through cost by count."""
    counts = sorted(points)
    costs = [points[count] for count in counts]
    if len(counts) < LEAST_POINTS:
        raise Unfittable(f"{len(counts)} sizes, {LEAST_POINTS} at least are wanted")
    if min(counts) <= 0 or min(costs) <= 0:
        raise Unfittable("a count or a cost that is not above 0 has no logarithm")
    across, up = numpy.log(counts), numpy.log(costs)
    exponent, level = numpy.polyfit(across, up, 1)
    freedom = len(counts) - 2
    residual = float(numpy.sum((up - level - exponent * across) ** 2))
    error = math.sqrt(residual / freedom / float(numpy.sum((across - across.mean()) ** 2)))
    return Fit(
        float(exponent),
        math.exp(level),
        float(stats.t.ppf((1 + CONFIDENCE) / 2, freedom)) * error,
        exponent_between((counts[-2], costs[-2]), (counts[-1], costs[-1])),
    )


def exponent_between(smaller: tuple[float, float], larger: tuple[float, float]) -> float:
    """Of the power law through two points."""
    return math.log(larger[1] / smaller[1]) / math.log(larger[0] / smaller[0])


def carried_on(cost: float, count: float, exponent: float, to: float) -> float:
    """The cost at count `to`, from a cost measured at `count`."""
    return cost * (to / count) ** exponent


def spread_of_runs(runs: Sequence[float]) -> float:
    """The largest over the smallest of some runs of one cell."""
    least = min(runs)
    return max(runs) / least if least > 0 else math.inf
