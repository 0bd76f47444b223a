"""Which distributor a subscriber asks next.  No I/O.

Each subscriber has its own order of the distributors by weighted rendezvous hashing (Thaler and Ravishankar
1998): where one is lost, its subscribers spread evenly over the others, and all others stay where they are.
The bound on the largest load is the distributor's: who is refused there goes on to the next of its order
(as consistent hashing with bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018)."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

import xxhash

from .limits import SubscriberLimits
from .types import DistributorName, SubscriberName

MAX_DOUBLINGS = 16


def rendezvous_order(
    subscriber: SubscriberName, distributors: Mapping[DistributorName, float]
) -> list[DistributorName]:
    """By preference; a distributor of twice the weight comes first twice as often."""

    def cost(name: DistributorName) -> float:
        drawn = xxhash.xxh3_64_intdigest(f"{subscriber}\0{name}".encode())
        return -math.log((drawn + 1) / (1 << 64)) / distributors[name]

    return sorted(distributors, key=lambda name: (cost(name), name))


class DistributorChoice:
    """`distributors`: weights above 0 by name."""

    def __init__(
        self,
        subscriber: SubscriberName,
        distributors: Mapping[DistributorName, float],
        limits: SubscriberLimits,
        random_source: random.Random,
    ) -> None:
        self.order = rendezvous_order(subscriber, distributors)
        self.limits = limits
        self.random_source = random_source
        self.not_before = dict.fromkeys(self.order, 0)
        self.failures = dict.fromkeys(self.order, 0)  # in a row

    @property
    def preferred(self) -> DistributorName:
        return self.order[0]

    def next_available(self, now: int) -> DistributorName | None:
        """The most preferred that may be asked now."""
        return next((name for name in self.order if self.not_before[name] <= now), None)

    def next_attempt_at(self) -> int:
        """When one may be asked."""
        return min(self.not_before.values())

    def on_failed(self, now: int, name: DistributorName) -> None:
        """It did not answer, or its connection ended: exponential backoff with jitter."""
        doublings = min(self.failures[name], MAX_DOUBLINGS)
        self.failures[name] += 1
        backoff = min(self.limits.backoff << doublings, self.limits.max_backoff)
        self.delay(now, name, backoff)

    def on_refused(self, now: int, name: DistributorName, retry_after: int) -> None:
        self.delay(now, name, retry_after)

    def on_served(self, name: DistributorName) -> None:
        self.failures[name] = 0

    def delay(self, now: int, name: DistributorName, duration: int) -> None:
        """Between one and two spans."""
        self.not_before[name] = now + duration + self.random_source.randrange(duration + 1)

    def have_all_failed(self) -> bool:
        """Each has failed since it was last of use."""
        return all(self.failures.values())
