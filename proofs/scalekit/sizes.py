"""How large a run is."""

from __future__ import annotations

from dataclasses import dataclass

PROMISED = 6.0  # s in which a change is in force everywhere
ORDINARY = 29_000 / 86_400  # changes a second on an ordinary day


@dataclass(frozen=True)
class Size:
    hollow: int
    workers: int
    real: int
    distributors: int
    voters: int
    services: int
    backends: int
    routes: int
    rate: float  # changes a second, beside bursts
    burst: int  # backends that drain within a second
    span: float  # s that a fault lasts, and that it is given afterwards
    region_cut: float  # s for which the region is cut off


FULL = Size(6_500, 30, 8, 6, 5, 1_600, 28_000, 7_500, 10 * ORDINARY, 700, 9.0, 120.0)
QUICK = Size(1_300, 8, 8, 6, 3, 1_600, 28_000, 7_500, 10 * ORDINARY, 700, 2.0, 3.0)
TINY = Size(100, 2, 2, 3, 3, 160, 2_800, 750, 10 * ORDINARY, 70, 2.0, 3.0)
SIZES = {"full": FULL, "quick": QUICK, "tiny": TINY}

REACHED = 20  # services that the routes of one coordinator reach
