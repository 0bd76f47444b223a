"""The fits of `make bench-capacity`: exponents, their spread, and what they say of a larger size."""

import math
import random

import pytest

from benchmarks.capacitykit import fits
from benchmarks.capacitykit.catalogue import SERIES
from benchmarks.capacitykit.runner import fitted, key, last_line


@pytest.mark.parametrize("exponent", [0.0, 0.5, 1.0, 1.5, 2.0])
def test_an_exact_power_law_is_found_and_carried_on(exponent):
    found = fits.fit({size: 3.0 * size**exponent for size in (100, 200, 400, 800)})
    assert found.exponent == pytest.approx(exponent, abs=1e-9)
    assert found.coefficient == pytest.approx(3.0)
    assert found.spread == pytest.approx(0.0, abs=1e-6)
    assert found.predict(6500) == pytest.approx(3.0 * 6500**exponent)
    assert found.last == pytest.approx(exponent, abs=1e-9)


def test_the_interval_holds_the_exponent_of_noisy_costs_as_often_as_it_says():
    chance, held = random.Random(7), 0
    for _ in range(400):
        points = {size: 0.01 * size**1.3 * chance.lognormvariate(0, 0.1) for size in (100, 200, 400, 800)}
        found = fits.fit(points)
        held += abs(found.exponent - 1.3) <= found.spread
    assert 0.92 <= held / 400 <= 0.98


def test_a_fixed_part_shows_in_the_last_exponent():
    """A cost that is mostly fixed looks flat over all; between the largest sizes it grows faster."""
    found = fits.fit({size: 50.0 + 0.001 * size**2 for size in (50, 100, 200, 400)})
    assert found.last > found.exponent + 0.3
    assert found.predict(6500) < 0.1 * (50.0 + 0.001 * 6500**2)


@pytest.mark.parametrize("points", [{}, {1: 1.0, 2: 2.0}, {1: 0.0, 2: 1.0, 3: 2.0}, {0: 1.0, 2: 1.0, 3: 2.0}])
def test_what_has_no_logarithm_or_no_spread_is_refused(points):
    with pytest.raises(fits.Unfittable):
        fits.fit(points)


def test_a_cost_is_carried_on_from_a_measured_point():
    assert fits.carried_on(40.0, 1600, 1.0, 6400) == pytest.approx(160.0)
    assert fits.carried_on(40.0, 1600, 2.0, 6400) == pytest.approx(640.0)
    assert fits.carried_on(40.0, 1600, 0.0, 6400) == 40.0


def test_the_spread_of_runs():
    assert fits.spread_of_runs([2.0, 3.0, 2.5]) == 1.5
    assert fits.spread_of_runs([0.0, 1.0]) == math.inf


def test_the_size_held_back_makes_no_part_of_the_fit():
    series = SERIES[0]
    straight = {size: 2.0 * size for size in series.sizes}
    row = fitted(series, straight | {series.held_back: 10**9})
    assert row["exponent"] == 1.0
    assert row["predicted"] == 2.0 * series.held_back
    assert row["measured"] == 10**9


def test_a_figure_that_is_nothing_at_some_size_has_no_slope():
    series = SERIES[0]
    costs = {size: float(size) for size in (*series.sizes, series.held_back)}
    row = fitted(series, costs | {series.sizes[0]: 0.0})
    assert row["exponent"] is None
    whole = fitted(series, costs)
    line = last_line([{"name": "a", "grows": "n", "figures": {"x": row, "y": whole}}])
    assert list(line["slopes"]) == [key("a", "y", "n")]
    assert line["predicted"].keys() == line["measured"].keys() == line["slopes"].keys()


def test_the_catalogue_has_four_sizes_or_more_and_a_larger_one_held_back():
    names = [series.name for series in SERIES]
    assert len(set(names)) == len(names)
    for series in (*SERIES, *(one.quick() for one in SERIES)):
        assert len(series.sizes) >= 4
        assert series.held_back > max(series.sizes)
