"""Shapes of traces: what is fitted to made-up traces is what they were made with."""

import random
from collections import Counter

import numpy as np
import pytest

from indigohitch.load.entry import SECOND, Request
from indigohitch.load.shape.fit import best, dispersion, gaps_to_rate, shape, zipf
from indigohitch.load.shape.scale import compared, scaled
from indigohitch.load.shape.sketch import Frequent


def bursty(seed=1, seconds=120, rate=60):
    """Every tenth second is a burst of five times the rate; a lull in the middle; Zipf keys."""
    rng, found, at = random.Random(seed), [], 0.0
    keys = [1 / (n + 1) ** 0.8 for n in range(300)]
    while at < seconds:
        now = rate * (5 if int(at) % 10 == 3 else 0.2 if 50 < at < 60 else 1)
        at += rng.expovariate(now)
        key = rng.choices(range(300), keys)[0]
        found.append(
            Request(
                int(at * SECOND),
                "GET",
                f"/v/{key}",
                "search",
                False,
                rng.randrange(50),
                0,
                len(found),
                size=int(rng.lognormvariate(7, 1)),
            )
        )
    return found


@pytest.mark.parametrize("times", [0.3, 1.0, 2.5, 7.0])
def test_a_scaled_trace_is_as_bursty_as_its_source(times):
    source = bursty()
    made = list(scaled(source, times, 3))
    told = compared(source, made, times)
    assert [r.at for r in made] == sorted(r.at for r in made)
    assert abs(told["times"] / times - 1) < 0.03 and told["ks_over_time"] < 0.02
    assert told["ks_gaps"] < 0.1 and 0.8 < told["burst_kept"] < 1.2
    assert told["keys_moved"] < (0.25 if times < 1 else 0.1)
    assert made == list(scaled(source, times, 3))
    assert (made == list(scaled(source, times, 4))) == (times == 1)


def test_the_comparison_can_fail():
    """The same number spread evenly is not like it."""
    source = bursty()
    even = [Request(n * 120 * SECOND // len(source), *list(vars_of(r))[1:]) for n, r in enumerate(source)]
    told = compared(source, even, 1.0)
    assert told["ks_gaps"] > 0.3 and told["burst_kept"] < 0.2


def vars_of(r):
    return [getattr(r, name) for name in r.__struct_fields__]


@pytest.mark.parametrize("exponent", [0.0, 0.6, 1.1])
def test_zipf_is_found_again(exponent):
    weights = [1 / (n + 1) ** exponent for n in range(200)]
    counts = Counter(random.Random(2).choices(range(200), weights, k=40_000))
    assert abs(zipf(counts.values()) - exponent) < 0.08


@pytest.mark.parametrize(
    "kind,draw",
    [
        ("exponential", lambda g: g.exponential(3, 5000)),
        ("lognormal", lambda g: g.lognormal(1, 0.9, 5000)),
        ("gamma", lambda g: g.gamma(0.4, 2, 5000)),
    ],
)
def test_the_law_is_found_again_and_samples_like_it(kind, draw):
    values = draw(np.random.default_rng(1))
    fit = best(values)
    assert fit.ks < 0.03 and (fit.kind == kind or kind == "exponential")
    sample = fit.sample(np.random.default_rng(2), 5000)
    assert abs(np.median(sample) / np.median(values) - 1) < 0.1
    assert best(values[:10]) is None


def test_dispersion_tells_bursts_from_chance():
    rng = random.Random(1)
    even = np.array(sorted(rng.randrange(100 * SECOND) for _ in range(5000)))
    assert 0.7 < dispersion(even) < 1.3 and dispersion(np.array([r.at for r in bursty()])) > 10
    assert abs(gaps_to_rate(even).mean() - 1) < 0.1 and not dispersion(np.array([]))


def test_the_shape_of_a_trace():
    told = shape(bursty())["search"]
    assert told["requests"] == len(bursty()) and abs(told["zipf"] - 0.8) < 0.15
    assert told["top_keys"][0][0] == "/v/0" and told["sizes"]["kind"] == "lognormal"


@pytest.mark.parametrize("seed", range(4))
def test_the_sketch_keeps_its_bounds(seed):
    rng, sketch, plain = random.Random(seed), Frequent(64), Counter()
    weights = [1 / (n + 1) for n in range(3000)]
    for n, key in enumerate(rng.choices(range(3000), weights, k=20_000)):
        sketch.add(key)
        plain[key] += 1
        if n % 500 == 0:
            assert len(sketch.counts) <= 64 and sum(sketch.counts.values()) == sketch.total == n + 1
            assert all(
                plain[k] <= c <= plain[k] + sketch.over[k] and sketch.over[k] <= sketch.bound()
                for k, c in sketch.counts.items()
            )
            assert all(k in sketch.counts for k, c in plain.items() if c > sketch.bound())
    assert [k for k, _, _ in sketch.most(3)] == [k for k, _ in plain.most_common(3)]
    with pytest.raises(ValueError):
        Frequent(0)
