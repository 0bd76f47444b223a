"""Decides when a subscriber connects to which distributor and when it leaves it.  No I/O."""

from __future__ import annotations

import enum
import random
from collections.abc import Mapping

from .connection_deadlines import ConnectionDeadlines
from .distributor_choice import DistributorChoice
from .interfaces import Dial, Disconnect
from .limits import SubscriberLimits
from .types import DistributorName, SubscriberName


class ConnectionPhase(enum.Enum):
    """States of the connection to a distributor."""

    WAITING = "waiting"  # until it is time to dial the next distributor
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # connected, but the first update of the subscription has not arrived
    SERVED = "served"


class DistributorConnector:
    """Manages the connection of one subscriber, to one distributor at a time."""

    def __init__(
        self,
        name: SubscriberName,
        distributors: Mapping[DistributorName, float],
        limits: SubscriberLimits,
        random_source: random.Random,
        now: int,
    ) -> None:
        self.limits = limits
        self.random_source = random_source
        self.choice = DistributorChoice(name, distributors, limits, random_source)
        self.deadlines = ConnectionDeadlines(limits, random_source, now)
        self.phase = ConnectionPhase.WAITING
        self.distributor: DistributorName = ""
        self.dial_at = now

    @property
    def is_connected(self) -> bool:
        """Whether a distributor has accepted the connection."""
        return self.phase in (ConnectionPhase.SUBSCRIBING, ConnectionPhase.SERVED)

    @property
    def due(self) -> int:
        """The time at which the next action is due."""
        if self.phase is ConnectionPhase.WAITING:
            return self.dial_at
        return self.deadlines.silent_at if self.phase is ConnectionPhase.DIALLING else self.deadlines.due

    def dial(self, now: int) -> Dial | None:
        """Returns the distributor to dial, or None if all are in backoff until `dial_at`."""
        chosen = self.choice.next_available(now)
        if chosen is None:
            self.dial_at = max(self.choice.next_attempt_at(), now + 1)
            return None
        self.phase = ConnectionPhase.DIALLING
        self.distributor = chosen
        self.deadlines.await_message(now)
        return Dial(chosen)

    def on_connected(self, now: int, distributor: DistributorName) -> bool:
        """Starts the subscription; returns False if another distributor was dialled meanwhile."""
        if self.phase is not ConnectionPhase.DIALLING or distributor != self.distributor:
            return False
        self.phase = ConnectionPhase.SUBSCRIBING
        self.deadlines.on_connected(now, distributor == self.choice.preferred)
        return True

    def on_served(self) -> None:
        """Handles the first update of the subscription."""
        self.phase = ConnectionPhase.SERVED
        self.choice.on_served(self.distributor)

    def on_lost(self, now: int, distributor: DistributorName) -> None:
        """Schedules the next attempt after a lost connection."""
        if self.phase is not ConnectionPhase.WAITING and distributor == self.distributor:
            self.choice.on_failed(now, distributor)
            self.schedule_dial(now)

    def leave_if_overdue(self, now: int, lease_until: int) -> Disconnect | None:
        """Leaves a silent, stale or less preferred distributor when its deadline is reached."""
        deadlines = self.deadlines
        if now >= deadlines.silent_at:
            deadlines.on_left_silent()
            return self.leave(now, "no message within the response timeout", failed=True)
        if self.phase is ConnectionPhase.DIALLING:
            return None
        if now >= max(deadlines.stale_at, lease_until):
            deadlines.on_left_stale()
            return self.leave(now, "lags behind the ledger", retry_after=self.limits.lease)
        if now >= deadlines.preferred_retry_at:
            deadlines.on_left_for_preferred()
            return self.leave(now, "trying the preferred distributor again")
        return None

    def leave(self, now: int, reason: str, failed: bool = False, retry_after: int = 0) -> Disconnect:
        """Leaves the distributor; it is not dialled again before `retry_after` has passed."""
        distributor = self.distributor
        if failed:
            self.choice.on_failed(now, distributor)
        elif retry_after:
            self.choice.on_refused(now, distributor, retry_after)
        self.schedule_dial(now)
        return Disconnect(distributor, reason)

    def schedule_dial(self, now: int) -> None:
        """Schedules the next attempt with jitter, so that subscribers do not all reconnect at once."""
        self.phase = ConnectionPhase.WAITING
        self.distributor = ""
        self.dial_at = now + self.random_source.randrange(self.limits.reconnect_jitter + 1)
