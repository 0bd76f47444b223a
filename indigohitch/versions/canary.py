"""Canary analysis: a staged rollout stops where it harms, the canary relays against the rest.  No I/O.

The test is Fisher's exact one (Fisher 1922), one-sided: with the failures of both together as given, how
likely is it that so many fell on those with the new version, if it made no difference.  Python's integers
give the hypergeometric sum exactly; the tests hold it against scipy's."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from math import comb

# Looked at once a second: at 1 in 1,000 a look, a rollout of half a minute would stop by chance once in some
# 30. Two looks in a row (HYSTERESIS) make it rarer by far, since each look has its own counts.
SIGNIFICANCE, HYSTERESIS = 0.001, 2
LEAST_REQUESTS = 20  # on either side; fewer say nothing
MOST_REQUESTS = 2000  # counts above are scaled down: the sum stays short, the test gets milder
STAGES = (0.02, 0.1, 0.3, 1.0)  # shares of the relays
HEALTHY_LOOKS = 3  # without harm before the next stage
P_VALUES_KEPT = 10
HALTED_CONTENTS = 64


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """RPCs since the last look."""

    failed: int
    total: int

    def __add__(self, other: RequestCounts) -> RequestCounts:
        return RequestCounts(self.failed + other.failed, self.total + other.total)

    def scaled(self, most: int) -> RequestCounts:
        return RequestCounts(self.failed * MOST_REQUESTS // most, self.total * MOST_REQUESTS // most)


def p_value(canary: RequestCounts, baseline: RequestCounts) -> float:
    """P(at least `canary.failed` of all failures fall on the canary's requests)."""
    most = max(canary.total, baseline.total)
    if most > MOST_REQUESTS:
        canary, baseline = canary.scaled(most), baseline.scaled(most)
    both = canary + baseline
    ways = sum(
        comb(both.failed, failed) * comb(both.total - both.failed, canary.total - failed)
        for failed in range(canary.failed, min(both.failed, canary.total) + 1)
        if canary.total - failed <= both.total - both.failed
    )
    return ways / comb(both.total, canary.total)


class Verdict(enum.Enum):
    CONTINUE = "continue"
    DONE = "done"
    HALTED = "halted"


@dataclass(slots=True)
class CanaryAnalysis:
    """`look` with the counts since the last look.  A failing that both sides share, as when a backend dies,
    is no reason: it is the difference that counts."""

    relays: list[str]  # in the order in which they get the new version
    stage: int = 0
    healthy_looks: int = 0
    harmful_looks: int = 0
    verdict: Verdict = Verdict.CONTINUE
    p_values: list[float] = field(default_factory=list)  # of the last looks

    def updated_relays(self) -> list[str]:
        """Those that are to have the new version in this stage."""
        if self.verdict is Verdict.HALTED:
            return []
        return self.relays[: max(1, round(STAGES[self.stage] * len(self.relays)))]

    def look(self, canary: RequestCounts, baseline: RequestCounts) -> Verdict:
        if self.verdict is not Verdict.CONTINUE:
            return self.verdict
        if min(canary.total, baseline.total) < LEAST_REQUESTS:
            return self.verdict
        self.p_values = [*self.p_values[1 - P_VALUES_KEPT :], p_value(canary, baseline)]
        if self.p_values[-1] < SIGNIFICANCE:
            self.harmful()
        else:
            self.healthy()
        return self.verdict

    def harmful(self) -> None:
        self.harmful_looks, self.healthy_looks = self.harmful_looks + 1, 0
        if self.harmful_looks >= HYSTERESIS:
            self.verdict = Verdict.HALTED

    def healthy(self) -> None:
        self.harmful_looks, self.healthy_looks = 0, self.healthy_looks + 1
        if self.healthy_looks < HEALTHY_LOOKS:
            return
        self.healthy_looks, self.stage = 0, self.stage + 1
        if STAGES[self.stage] >= 1.0:
            self.verdict = Verdict.DONE


@dataclass(slots=True)
class HaltBackoff:
    """After a halt the same content does not go out again by itself, another only after a wait that doubles
    each time."""

    wait: int
    most: int
    until: int = 0
    halted: set[bytes] = field(default_factory=set)  # digests of contents that were halted

    def halt(self, now: int, digest: bytes) -> None:
        if len(self.halted) >= HALTED_CONTENTS:
            self.halted.clear()  # long ago; their wait has passed
        self.halted.add(digest)
        self.until, self.wait = now + self.wait, min(2 * self.wait, self.most)
