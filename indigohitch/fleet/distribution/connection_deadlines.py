"""How long a subscriber stays with a distributor that is silent, stale or not its first choice.  No I/O."""

from __future__ import annotations

import random

from ...net.clock import SECOND
from .limits import SubscriberLimits

NEVER = 1 << 62
MAX_DOUBLINGS = 4
MAX_SILENT_DOUBLINGS = 2  # 10 s: distributors that are all late work off what was asked of them by then
# Silence of all distributors for longer than that is a network that is cut, not load: patience doubles no
# more, so that content is in force within 6 s once the network is back.
PARTITION_TIMEOUT = 15 * SECOND


class ConnectionDeadlines:
    def __init__(self, limits: SubscriberLimits, chance: random.Random, now: int) -> None:
        self.limits, self.chance = limits, chance
        self.heard_at = now  # a word of any distributor; at first the start
        self.silent_at = self.stale_at = self.home_at = NEVER
        self.silent_times = self.stale_times = self.home_times = 0  # left for that reason in a row

    @property
    def due(self) -> int:
        return min(self.silent_at, self.stale_at, self.home_at)

    def await_word(self, now: int) -> None:
        """Twice the patience after each that was silent: whoever asks the next one too early only adds to the
        load that made the first one late."""
        doublings = (
            0 if now - self.heard_at > PARTITION_TIMEOUT else min(self.silent_times, MAX_SILENT_DOUBLINGS)
        )
        self.silent_at = now + (self.limits.answer << doublings)

    def heard(self, now: int) -> None:
        self.heard_at = now
        self.await_word(now)

    def connected(self, now: int, first_choice: bool) -> None:
        self.heard(now)
        self.await_current(now)
        if first_choice:
            self.home_at, self.home_times = NEVER, 0
        else:
            span = self.limits.home << min(self.home_times, MAX_DOUBLINGS)
            self.home_at = now + span + self.chance.randrange(span + 1)

    def await_current(self, now: int) -> None:
        """It has a lease, doubled each time that all were left in vain, to bring the content up to date."""
        self.stale_at = now + (self.limits.lease << min(self.stale_times, MAX_DOUBLINGS))

    def current(self, until: int) -> None:
        """Once it was brought up to date, it is left as soon as the lease runs out."""
        self.silent_times = self.stale_times = 0
        self.stale_at = until

    def left_silent(self) -> None:
        self.silent_times += 1

    def left_stale(self) -> None:
        self.stale_times += 1

    def left_for_home(self) -> None:
        self.home_times += 1
