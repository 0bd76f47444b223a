"""One subscriber: what it holds, what it takes, and which distributor it asks.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from .limits import SubscriberLimits
from .ports import SubscriberInput, SubscriberOutput
from .terms import DistributorName, ServiceName, SubscriberName, Version


class Subscriber:
    """`distributors`: by name the weight of each (1.0, or its part of what an ordinary one takes)."""

    version: Version  # that it holds; NO_VERSION before the first update

    def __init__(
        self,
        name: SubscriberName,
        services: Collection[ServiceName],
        distributors: Mapping[DistributorName, float],
        limits: SubscriberLimits,
        chance: random.Random,
        now: int,
    ) -> None:
        raise NotImplementedError

    def step(self, now: int, input: SubscriberInput) -> list[SubscriberOutput]:
        """What to do, in order."""
        raise NotImplementedError

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        raise NotImplementedError

    def resources(self, service: ServiceName) -> Mapping[str, bytes]:
        """Bodies by key, as held; empty for a service that is not held."""
        raise NotImplementedError

    @property
    def digest(self) -> bytes:
        """Of the whole scope, as held."""
        raise NotImplementedError

    def acting_until(self, now: int) -> int:
        """The content counts as current before this (own clock); it stands after that, but is stale."""
        raise NotImplementedError

    def age(self, now: int) -> int | None:
        """The content has all that was committed so long ago; None: never confirmed."""
        raise NotImplementedError

    def figures(self, now: int) -> dict:
        """For `status`, as plain JSON."""
        raise NotImplementedError
