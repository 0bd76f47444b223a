"""Distributions fitted to a trace, with how far each is off (Kolmogorov-Smirnov).  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np
from scipy import optimize, stats

from ..entry import SECOND, Request
from .sketch import Frequent

# Of times between requests, by what makes them: chance alone, bursts, sessions, retries.
KINDS = {
    "exponential": stats.expon,
    "gamma": stats.gamma,
    "weibull": stats.weibull_min,
    "lognormal": stats.lognorm,
}
FITTED = 20_000  # samples that a fit looks at: more move a parameter by under 1 %
KEYS = 4096  # counters of the sketch: a key with a 4,000th of all is found


@dataclass(frozen=True)
class Fit:
    kind: str
    parameters: tuple[float, ...]
    ks: float  # distance from what was fitted, 0 to 1

    def sample(self, draw: np.random.Generator, many: int) -> np.ndarray:
        return KINDS[self.kind].rvs(*self.parameters, size=many, random_state=draw)


def best(values: np.ndarray, seed: int = 1) -> Fit | None:
    """Of the kinds the one nearest to the values, which are above 0; None for under 20 of them."""
    values = values[values > 0]
    if len(values) < 20:
        return None
    if len(values) > FITTED:
        values = np.random.default_rng(seed).choice(values, FITTED, replace=False)
    found = []
    for kind, law in KINDS.items():
        parameters = law.fit(values, floc=0)
        found.append(
            Fit(
                kind,
                tuple(map(float, parameters)),
                float(stats.kstest(values, law.cdf, args=parameters).statistic),
            )
        )
    return min(found, key=lambda fit: fit.ks)


def zipf(counts: Iterable[int]) -> float:
    """The exponent of Zipf's law for counts by rank, by maximum likelihood; 0: all alike."""
    ordered = np.sort(np.array([c for c in counts if c > 0], float))[::-1]
    if len(ordered) < 3:
        return 0.0
    ranks = np.log(np.arange(1, len(ordered) + 1))
    total, weighted = ordered.sum(), float((ordered * ranks).sum())

    def unlikely(s: float) -> float:
        return s * weighted + total * float(np.log(np.exp(-s * ranks).sum()))

    return float(optimize.minimize_scalar(unlikely, bounds=(0, 4), method="bounded").x)


def dispersion(at: np.ndarray, window: int = SECOND) -> float:
    """Variance of the counts a window over their mean: 1 for chance alone, more for bursts."""
    if not len(at):
        return 0.0
    counts = np.bincount((at // window).astype(int))
    return float(counts.var() / counts.mean())


def gaps_to_rate(at: np.ndarray, window: int = 10 * SECOND) -> np.ndarray:
    """Times between requests in units of the mean around them: what is left once the rate is taken out."""
    if len(at) < 2:
        return np.array([])
    counts = np.bincount((at // window).astype(int))
    rate = counts[(at[1:] // window).astype(int)] / window
    return np.diff(at) * rate


def key_of(request: Request) -> str:
    return request.target.partition("?")[0]


def shape(requests: Iterable[Request]) -> dict:
    """For people and scripts."""
    at: dict[str, list[int]] = {}
    sizes: dict[str, list[int]] = {}
    keys: dict[str, Frequent[str]] = {}
    for request in requests:
        at.setdefault(request.rpc, []).append(request.at)
        keys.setdefault(request.rpc, Frequent(KEYS)).add(key_of(request))
        if request.size > 0:
            sizes.setdefault(request.rpc, []).append(request.size)
    told = {}
    for rpc, times in sorted(at.items()):
        times = np.array(times)
        span = max(int(times[-1] - times[0]), 1)
        gaps, size = best(gaps_to_rate(times)), best(np.array(sizes.get(rpc, ()), float))
        sketch = keys[rpc]
        told[rpc] = {
            "requests": len(times),
            "a_second": round(len(times) * SECOND / span, 3),
            "dispersion_1s": round(dispersion(times), 3),
            "zipf": round(zipf(sketch.counts.values()), 3),
            "top_keys": [[key, count, over] for key, count, over in sketch.most(5)],
            "between": gaps and {"kind": gaps.kind, "parameters": gaps.parameters, "ks": round(gaps.ks, 4)},
            "sizes": size and {"kind": size.kind, "parameters": size.parameters, "ks": round(size.ks, 4)},
        }
    return told
