"""Canary analysis: stops a staged rollout that harms, by comparing the canary relays with the rest. No I/O.

It uses Fisher's exact test (Fisher 1922), one-sided: given the failures of both groups together, how likely
is it that so many fell on the relays with the new version if the version made no difference? Python's
integers give the hypergeometric sum exactly; the tests compare it with scipy's.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from math import comb

# With one look a second and 1 in 1,000 for each, about one in 30 rollouts of half a minute would halt by
# chance. Requiring two looks in a row (HYSTERESIS) makes that far rarer, since each look has its own counts.
SIGNIFICANCE, HYSTERESIS = 0.001, 2
LEAST_REQUESTS = 20  # on either side; fewer are not significant
MOST_REQUESTS = 2000  # larger counts are scaled down: a shorter sum, a less sensitive test
STAGES = (0.02, 0.1, 0.3, 1.0)  # shares of the relays
HEALTHY_LOOKS = 3  # without harm before the next stage
P_VALUES_KEPT = 10
HALTED_CONTENTS = 64


@dataclass(slots=True, frozen=True)
class RequestCounts:
    """Failed and all RPCs since the last look."""

    failed: int
    total: int

    def __add__(self, other: RequestCounts) -> RequestCounts:
        return RequestCounts(self.failed + other.failed, self.total + other.total)

    def scaled(self, most: int) -> RequestCounts:
        """Returns the counts scaled so that `most` requests become MOST_REQUESTS."""
        return RequestCounts(self.failed * MOST_REQUESTS // most, self.total * MOST_REQUESTS // most)


def p_value(canary: RequestCounts, baseline: RequestCounts) -> float:
    """Returns the probability that at least `canary.failed` of all failures fall on the canary's requests."""
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
    """Whether a staged rollout goes on, has reached all relays, or was stopped."""

    CONTINUE = "continue"
    DONE = "done"
    HALTED = "halted"


@dataclass(slots=True)
class CanaryAnalysis:
    """The state of one staged rollout; `look` takes the counts since the last look.

    Failures that both groups share, as when a backend dies, are no reason to halt: only the difference
    counts.
    """

    relays: list[str]  # in the order in which they get the new version
    stage: int = 0
    healthy_looks: int = 0
    harmful_looks: int = 0
    verdict: Verdict = Verdict.CONTINUE
    p_values: list[float] = field(default_factory=list)  # of the last looks

    def updated_relays(self) -> list[str]:
        """Returns the relays that are to have the new version in this stage."""
        if self.verdict is Verdict.HALTED:
            return []
        return self.relays[: max(1, round(STAGES[self.stage] * len(self.relays)))]

    def look(self, canary: RequestCounts, baseline: RequestCounts) -> Verdict:
        """Compares the groups and returns the verdict; too few requests on either side change nothing."""
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
        """Counts a look that found harm; enough of them in a row halt the rollout."""
        self.harmful_looks, self.healthy_looks = self.harmful_looks + 1, 0
        if self.harmful_looks >= HYSTERESIS:
            self.verdict = Verdict.HALTED

    def healthy(self) -> None:
        """Counts a look without harm; enough of them in a row begin the next stage."""
        self.harmful_looks, self.healthy_looks = 0, self.healthy_looks + 1
        if self.healthy_looks < HEALTHY_LOOKS:
            return
        self.healthy_looks, self.stage = 0, self.stage + 1
        if STAGES[self.stage] >= 1.0:
            self.verdict = Verdict.DONE


@dataclass(slots=True)
class HaltBackoff:
    """Delays rollouts after a halt.

    The halted content does not go out again by itself, and another one only after a wait that doubles each
    time.
    """

    wait: int
    most: int
    until: int = 0
    halted: set[bytes] = field(default_factory=set)  # digests of contents that were halted

    def halt(self, now: int, digest: bytes) -> None:
        """Records a halted content and begins the next wait."""
        if len(self.halted) >= HALTED_CONTENTS:
            self.halted.clear()  # most were halted long ago, and their wait has passed
        self.halted.add(digest)
        self.until, self.wait = now + self.wait, min(2 * self.wait, self.most)
