"""Chooses the distributor that a subscriber connects to next.  No I/O.

Each subscriber orders the distributors by weighted rendezvous hashing (Thaler and Ravishankar 1998): when a
distributor fails, its subscribers spread evenly over the others, and all other subscribers stay.
Distributors bound their load: a refused subscriber tries the next in its order (consistent hashing with
bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018).
"""

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
    """Returns the distributors in the subscriber's order of preference.

    A distributor of twice the weight is preferred by twice as many subscribers.
    """

    def cost(name: DistributorName) -> float:
        hash_value = xxhash.xxh3_64_intdigest(f"{subscriber}\0{name}".encode())
        return -math.log((hash_value + 1) / (1 << 64)) / distributors[name]

    return sorted(distributors, key=lambda name: (cost(name), name))


class DistributorChoice:
    """Keeps the preferences of one subscriber, with a backoff for each distributor.

    `distributors`: positive weights by name.
    """

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
        self.failures = dict.fromkeys(self.order, 0)  # consecutive failures

    @property
    def preferred(self) -> DistributorName:
        """The most preferred distributor."""
        return self.order[0]

    def next_available(self, now: int) -> DistributorName | None:
        """Returns the most preferred distributor that is not in backoff, if any."""
        return next((name for name in self.order if self.not_before[name] <= now), None)

    def next_attempt_at(self) -> int:
        """Returns the time at which the first backoff ends."""
        return min(self.not_before.values())

    def on_failed(self, now: int, name: DistributorName) -> None:
        """Starts an exponential backoff with jitter after a failed connection."""
        doublings = min(self.failures[name], MAX_DOUBLINGS)
        self.failures[name] += 1
        backoff = min(self.limits.backoff << doublings, self.limits.max_backoff)
        self.delay(now, name, backoff)

    def on_refused(self, now: int, name: DistributorName, retry_after: int) -> None:
        """Starts the backoff that the distributor has requested, with jitter."""
        self.delay(now, name, retry_after)

    def on_served(self, name: DistributorName) -> None:
        """Resets the failure count."""
        self.failures[name] = 0

    def delay(self, now: int, name: DistributorName, duration: int) -> None:
        """Excludes a distributor for a random time between one and two times `duration`."""
        self.not_before[name] = now + duration + self.random_source.randrange(duration + 1)

    def have_all_failed(self) -> bool:
        """Returns whether each distributor has failed since it last served this subscriber."""
        return all(self.failures.values())
