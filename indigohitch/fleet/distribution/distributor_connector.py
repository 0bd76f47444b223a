"""A subscriber's way to a distributor: which one is dialled when, and when it is left.  No I/O."""

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
    WAITING = "waiting"  # until the next distributor is dialled
    DIALLING = "dialling"
    SUBSCRIBING = "subscribing"  # connected, and no update for this subscription yet
    SERVED = "served"


class DistributorConnector:
    def __init__(
        self,
        name: SubscriberName,
        distributors: Mapping[DistributorName, float],
        limits: SubscriberLimits,
        chance: random.Random,
        now: int,
    ) -> None:
        self.limits, self.chance = limits, chance
        self.choice = DistributorChoice(name, distributors, limits, chance)
        self.patience = ConnectionDeadlines(limits, chance, now)
        self.phase = ConnectionPhase.WAITING
        self.distributor: DistributorName = ""
        self.dial_at = now

    @property
    def is_connected(self) -> bool:
        return self.phase in (ConnectionPhase.SUBSCRIBING, ConnectionPhase.SERVED)

    @property
    def due(self) -> int:
        if self.phase is ConnectionPhase.WAITING:
            return self.dial_at
        return self.patience.silent_at if self.phase is ConnectionPhase.DIALLING else self.patience.due

    def dial(self, now: int) -> Dial | None:
        """None: all have failed or refused a moment ago; `dial_at` says when one may be asked."""
        chosen = self.choice.next(now)
        if chosen is None:
            self.dial_at = max(self.choice.next_at(), now + 1)
            return None
        self.phase, self.distributor = ConnectionPhase.DIALLING, chosen
        self.patience.await_word(now)
        return Dial(chosen)

    def connected(self, now: int, distributor: DistributorName) -> bool:
        """False: it is not the one that was dialled last."""
        if self.phase is not ConnectionPhase.DIALLING or distributor != self.distributor:
            return False
        self.phase = ConnectionPhase.SUBSCRIBING
        self.patience.connected(now, distributor == self.choice.first)
        return True

    def served(self) -> None:
        self.phase = ConnectionPhase.SERVED
        self.choice.served(self.distributor)

    def lost(self, now: int, distributor: DistributorName) -> None:
        if self.phase is not ConnectionPhase.WAITING and distributor == self.distributor:
            self.choice.failed(now, distributor)
            self.wait(now)

    def leave_impatiently(self, now: int, lease_until: int) -> Disconnect | None:
        """None: there is no cause to leave."""
        patience = self.patience
        if now >= patience.silent_at:
            patience.left_silent()
            return self.leave(now, "no answer", failed=True)
        if self.phase is ConnectionPhase.DIALLING:
            return None
        if now >= max(patience.stale_at, lease_until):
            patience.left_stale()
            return self.leave(now, "lags behind the ledger", again=self.limits.lease)
        if now >= patience.home_at:
            patience.left_for_home()
            return self.leave(now, "the first choice is tried again")
        return None

    def leave(self, now: int, why: str, failed: bool = False, again: int = 0) -> Disconnect:
        """`again`: not there before so long."""
        left = self.distributor
        if failed:
            self.choice.failed(now, left)
        elif again:
            self.choice.refused(now, left, again)
        self.wait(now)
        return Disconnect(left, why)

    def wait(self, now: int) -> None:
        """Subscribers that lose one distributor together don't come to the next one together."""
        self.phase, self.distributor = ConnectionPhase.WAITING, ""
        self.dial_at = now + self.chance.randrange(self.limits.first_delay + 1)
