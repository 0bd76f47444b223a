"""A staged push stops where it harms: relays that got it against the rest.  No I/O.

The test is Fisher's exact one (Fisher 1922), one-sided: with the failures of both together as given, how
likely is it that so many fell on those with the new version, if it made no difference.  Python's integers
give the hypergeometric sum exactly; the tests hold it against scipy's."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from math import comb

# Looked at once a second: at 1 in 1,000 a look, a push of half a minute would stop by chance once in some 30.
# Two looks in a row (HYSTERESIS) make it rarer by far, since each look has its own counts.
ALPHA, HYSTERESIS = 0.001, 2
LEAST = 20  # RPCs on either side; fewer say nothing
MOST = 2000  # counts above are scaled down: the sum stays short, the test gets milder
STAGES = (0.02, 0.1, 0.3, 1.0)  # shares of the relays
CALM = 3  # looks without harm before the next stage, and before a new push after a halt


def likelihood(bad: int, all: int, other_bad: int, other_all: int) -> float:
    """P(at least `bad` of the failures fall on those `all`)."""
    if (most := max(all, other_all)) > MOST:
        bad, all, other_bad, other_all = (n * MOST // most for n in (bad, all, other_bad, other_all))
    failures, total = bad + other_bad, all + other_all
    ways = sum(
        comb(failures, n) * comb(total - failures, all - n)
        for n in range(bad, min(failures, all) + 1)
        if all - n <= total - failures
    )
    return ways / comb(total, all)


class Course(enum.Enum):
    STAGED = "staged"
    DONE = "done"
    HALTED = "halted"


@dataclass(slots=True)
class Staged:
    """`look` with the counts since the last look (of RPCs: failed and all).  A failing that both sides share,
    as when a backend dies, is no reason: it is the difference that counts."""

    relays: list[str]  # in the order in which they get it
    stage: int = 0
    calm: int = 0
    harmed: int = 0
    course: Course = Course.STAGED
    seen: list[float] = field(default_factory=list)

    def got(self) -> list[str]:
        if self.course is Course.HALTED:
            return []
        return self.relays[: max(1, round(STAGES[self.stage] * len(self.relays)))]

    def look(self, bad: int, all: int, other_bad: int, other_all: int) -> Course:
        if self.course is not Course.STAGED:
            return self.course
        if min(all, other_all) < LEAST:
            return self.course
        self.seen = [*self.seen[-9:], likelihood(bad, all, other_bad, other_all)]
        if self.seen[-1] < ALPHA:
            self.harmed, self.calm = self.harmed + 1, 0
            if self.harmed >= HYSTERESIS:
                self.course = Course.HALTED
            return self.course
        self.harmed, self.calm = 0, self.calm + 1
        if self.calm >= CALM:
            self.calm, self.stage = 0, self.stage + 1
            if STAGES[self.stage] >= 1.0:
                self.course = Course.DONE
        return self.course


@dataclass(slots=True)
class Flapping:
    """After a halt the same content is not pushed again by itself, another only after a wait that doubles."""

    wait: int
    most: int
    halted: set[bytes] = field(default_factory=set)
    until: int = 0

    def halt(self, now: int, digest: bytes) -> None:
        if len(self.halted) >= 64:
            self.halted.clear()  # long ago; their wait has passed
        self.halted.add(digest)
        self.until, self.wait = now + self.wait, min(2 * self.wait, self.most)
