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
    def __init__(self, limits: SubscriberLimits, random_source: random.Random, now: int) -> None:
        self.limits = limits
        self.random_source = random_source
        self.last_message_at = now  # a word of any distributor; at first the start
        self.silent_at = NEVER
        self.stale_at = NEVER
        self.home_at = NEVER
        self.silent_count = 0
        self.stale_count = 0
        self.home_count = 0  # left for that reason in a row

    @property
    def due(self) -> int:
        return min(self.silent_at, self.stale_at, self.home_at)

    def await_message(self, now: int) -> None:
        """Twice the patience after each that was silent: whoever asks the next one too early only adds to the
        load that made the first one late."""
        doublings = (
            0
            if now - self.last_message_at > PARTITION_TIMEOUT
            else min(self.silent_count, MAX_SILENT_DOUBLINGS)
        )
        self.silent_at = now + (self.limits.response_timeout << doublings)

    def on_message(self, now: int) -> None:
        self.last_message_at = now
        self.await_message(now)

    def on_connected(self, now: int, is_preferred: bool) -> None:
        self.on_message(now)
        self.await_current(now)
        if is_preferred:
            self.home_at = NEVER
            self.home_count = 0
        else:
            away = self.limits.home_retry << min(self.home_count, MAX_DOUBLINGS)
            self.home_at = now + away + self.random_source.randrange(away + 1)

    def await_current(self, now: int) -> None:
        """It has a lease, doubled each time that all were left in vain, to bring the content up to date."""
        self.stale_at = now + (self.limits.lease << min(self.stale_count, MAX_DOUBLINGS))

    def on_current(self, lease_until: int) -> None:
        """Once it was brought up to date, it is left as soon as the lease runs out."""
        self.silent_count = 0
        self.stale_count = 0
        self.stale_at = lease_until

    def on_left_silent(self) -> None:
        self.silent_count += 1

    def on_left_stale(self) -> None:
        self.stale_count += 1

    def on_left_for_home(self) -> None:
        self.home_count += 1
