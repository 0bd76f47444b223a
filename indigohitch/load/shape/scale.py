"""A trace at another rate that keeps its burstiness.  No I/O.

In each window of the source as many requests as it has there times the factor are drawn from those of the
window itself, with their offsets, keys and kinds: waves, bursts and lulls stay, so do hot keys; a copy lies
near what it was drawn from, not on it.  Thinning by chance alone would make bursts look like noise."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec
import numpy as np
from scipy import stats

from ...errors import InvalidRequestError
from ..entry import SECOND, Request
from .fit import dispersion, gaps_to_rate

WINDOW = SECOND  # bursts that matter to a server are as long as its queue, about a second


def _window(held: list[Request], begin: int, times: float, draw: np.random.Generator) -> list[Request]:
    wanted = len(held) * times
    many = int(wanted) + (draw.random() < wanted - int(wanted))
    whole, more = divmod(many, len(held))
    chosen = [i for i in range(len(held)) for _ in range(whole)]
    chosen += list(draw.choice(len(held), more, replace=False))
    at = np.array([held[i].at for i in chosen], float)
    # A copy falls between its neighbours, so that clumps stay clumps; the first of each stays where it was.
    edges = np.array([begin, *(r.at for r in held), begin + WINDOW], float)
    low, high = edges[:-2], edges[2:]
    seen: set[int] = set()
    for place, i in enumerate(chosen):
        if i in seen:
            at[place] = draw.uniform(low[i], high[i])
        seen.add(i)
    order = np.argsort(at, kind="stable")
    copies: dict[int, int] = {}
    made = []
    for place in order:
        i = chosen[place]
        copies[i] = copies.get(i, -1) + 1
        # Copies go over connections of their own: one client does not ask more, there are more of them.
        made.append(
            msgspec.structs.replace(
                held[i], at=int(at[place]), connection=held[i].connection + copies[i] * 1_000_003
            )
        )
    return made


def scaled(requests: Iterable[Request], times: float, seed: int = 1) -> Iterator[Request]:
    """In order of time; `times` is above 0."""
    if not 0 < times <= 1000:
        raise InvalidRequestError(f"{times} times the rate", "--times", "above 0, 1000 at most")
    draw, held, begin = np.random.default_rng(seed), [], 0
    for request in requests:
        if held and request.at >= begin + WINDOW:
            yield from _window(held, begin, times, draw)
            held = []
        if not held:
            begin = request.at - request.at % WINDOW
        held.append(request)
    if held:
        yield from _window(held, begin, times, draw)


def compared(source: list[Request], made: list[Request], times: float) -> dict:
    """How near the two are: distances 0 to 1 (Kolmogorov-Smirnov), and burstiness."""
    one, two = (np.array([r.at for r in rs]) for rs in (source, made))
    keys = {key: n for n, key in enumerate(sorted({r.target for r in source}))}
    counts = [
        np.bincount([keys[r.target] for r in rs], minlength=len(keys)) / max(len(rs), 1)
        for rs in (source, made)
    ]
    # With chance alone the dispersion stays; what bursts add to it grows with the rate.
    beyond = [dispersion(at) - 1 for at in (one, two)]
    return {
        "requests": len(made),
        "times": round(len(made) / len(source), 4),
        "ks_gaps": round(float(stats.ks_2samp(gaps_to_rate(one), gaps_to_rate(two)).statistic), 4),
        "ks_over_time": round(float(stats.ks_2samp(one, two).statistic), 4),
        "keys_moved": round(float(np.abs(counts[0] - counts[1]).sum() / 2), 4),
        "dispersion": [round(b + 1, 3) for b in beyond],
        "burst_kept": round(beyond[1] / (beyond[0] * times), 3) if beyond[0] > 0.1 else None,
    }
