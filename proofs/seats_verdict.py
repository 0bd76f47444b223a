"""What proofs/seats.py found, as one JSON object, and which of its promises are broken."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from seats_clients import Clients, p99
from seats_truth import NS, Truth


@dataclass(slots=True, frozen=True)
class Promise:
    """What was contracted, and how long anyone may wait."""

    contract: int
    cut: int
    longest_wait_ms: float


@dataclass(slots=True, frozen=True)
class Observed:
    window: tuple[int, int]  # ns, of the skewed wanting
    in_force: int  # ns, when the cut was
    cut_took: float  # s
    waits: list[float]  # ms
    counts: dict[str, int]
    leaked: int
    noise: int


def use_shares(promise: Promise, truth: Truth, window: tuple[int, int]) -> tuple[float, float]:
    """Of the contract, in the window: what was in use, and what a static split would have had in use, which
    gives the first its third, always in use, and leaves the others as they were."""
    third = promise.contract / 3
    others = sum(min(third, truth.mean(*window, name)) for name in ("s2", "s3"))
    return truth.mean(*window) / promise.contract, (third + others) / promise.contract


def result(promise: Promise, seen: Observed, truth: Truth, clients: Sequence[Clients]) -> dict:
    use, static = use_shares(promise, truth, seen.window)
    return {
        "contract": promise.contract,
        "peak_in_use": truth.peak(),
        "contract_cut": promise.cut,
        "peak_after_cut": truth.peak(seen.in_force + NS // 1000),
        "doubled": truth.doubled,
        "given": truth.given,
        "refused": sum(one.refused for one in clients),
        **seen.counts,
        "leaked": seen.leaked,
        "use_share": round(use, 3),
        "static_use_share": round(static, 3),
        "wait_ms_p99": p99(seen.waits),
        "cut_in_force_s": round(seen.cut_took, 2),
        "without_return": sum(one.without_return for one in clients),
        "noise": seen.noise,
    }


def broken(promise: Promise, seen: Observed, truth: Truth, found: dict) -> list[str]:
    """Names of the figures that break a promise."""
    use, static = use_shares(promise, truth, seen.window)
    bad = {
        "peak_in_use": found["peak_in_use"] > promise.contract,
        "peak_after_cut": found["peak_after_cut"] > promise.cut,
        "doubled": found["doubled"],
        "leaked": found["leaked"],
        "use_share": use < 0.9 or use <= static,
        "wait_ms_p99": found["wait_ms_p99"] > promise.longest_wait_ms,
        "without_return": found["without_return"],
        "given": found["given"] < 200,
        "noise": found["noise"],
    }
    return [name for name, breaks in bad.items() if breaks]
