"""Which distributor a subscriber dials when, and when it leaves it.  No I/O."""

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
    """The state of the connection to a distributor."""

    WAITING = "waiting"  # until the next distributor is dialled
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # connected, and no update for this subscription yet
    SERVED = "served"


class DistributorConnector:
    """Connects one subscriber to one distributor at a time."""

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
        """When the next action is due."""
        if self.phase is ConnectionPhase.WAITING:
            return self.dial_at
        return self.deadlines.silent_at if self.phase is ConnectionPhase.DIALLING else self.deadlines.due

    def dial(self, now: int) -> Dial | None:
        """Returns whom to dial; None: all are in backoff, and `dial_at` is the next attempt."""
        chosen = self.choice.next_available(now)
        if chosen is None:
            self.dial_at = max(self.choice.next_attempt_at(), now + 1)
            return None
        self.phase = ConnectionPhase.DIALLING
        self.distributor = chosen
        self.deadlines.await_message(now)
        return Dial(chosen)

    def on_connected(self, now: int, distributor: DistributorName) -> bool:
        """Returns whether the connection is to the distributor dialled last."""
        if self.phase is not ConnectionPhase.DIALLING or distributor != self.distributor:
            return False
        self.phase = ConnectionPhase.SUBSCRIBING
        self.deadlines.on_connected(now, distributor == self.choice.preferred)
        return True

    def on_served(self) -> None:
        """Notes the first update of the subscription."""
        self.phase = ConnectionPhase.SERVED
        self.choice.on_served(self.distributor)

    def on_lost(self, now: int, distributor: DistributorName) -> None:
        """Schedules the next attempt after a lost connection."""
        if self.phase is not ConnectionPhase.WAITING and distributor == self.distributor:
            self.choice.on_failed(now, distributor)
            self.schedule_dial(now)

    def leave_if_overdue(self, now: int, lease_until: int) -> Disconnect | None:
        """Leaves a silent, stale or less preferred distributor; None: there is no cause."""
        deadlines = self.deadlines
        if now >= deadlines.silent_at:
            deadlines.on_left_silent()
            return self.leave(now, "no answer", failed=True)
        if self.phase is ConnectionPhase.DIALLING:
            return None
        if now >= max(deadlines.stale_at, lease_until):
            deadlines.on_left_stale()
            return self.leave(now, "lags behind the ledger", retry_after=self.limits.lease)
        if now >= deadlines.home_at:
            deadlines.on_left_for_home()
            return self.leave(now, "the first choice is tried again")
        return None

    def leave(self, now: int, reason: str, failed: bool = False, retry_after: int = 0) -> Disconnect:
        """Leaves the distributor, not to return before `retry_after`."""
        distributor = self.distributor
        if failed:
            self.choice.on_failed(now, distributor)
        elif retry_after:
            self.choice.on_refused(now, distributor, retry_after)
        self.schedule_dial(now)
        return Disconnect(distributor, reason)

    def schedule_dial(self, now: int) -> None:
        """Schedules the next attempt at random, so that subscribers do not reconnect all at once."""
        self.phase = ConnectionPhase.WAITING
        self.distributor = ""
        self.dial_at = now + self.random_source.randrange(self.limits.first_delay + 1)
