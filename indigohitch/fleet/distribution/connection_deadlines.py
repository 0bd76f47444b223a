"""When a subscriber leaves a distributor that is silent, stale or not its preferred one.  No I/O."""

from __future__ import annotations

import random

from ...net.clock import SECOND
from .limits import SubscriberLimits

NEVER = 1 << 62
MAX_DOUBLINGS = 4
MAX_SILENT_DOUBLINGS = 2  # 10 s: enough for overloaded distributors to work off their backlog
# Silence of all distributors for longer than that is a network that is cut, not load: patience doubles no
# more, so that content is in force within 6 s once the network is back.
PARTITION_TIMEOUT = 15 * SECOND


class ConnectionDeadlines:
    """The deadlines of one subscriber, with exponential backoff of each kind."""

    def __init__(self, limits: SubscriberLimits, random_source: random.Random, now: int) -> None:
        self.limits = limits
        self.random_source = random_source
        self.last_message_at = now  # from any distributor; initially the start
        self.silent_at = NEVER
        self.stale_at = NEVER
        self.home_at = NEVER
        self.silent_count = 0
        self.stale_count = 0
        self.home_count = 0  # left for that reason in a row

    @property
    def due(self) -> int:
        """The earliest of the deadlines."""
        return min(self.silent_at, self.stale_at, self.home_at)

    def await_message(self, now: int) -> None:
        """Sets the deadline for the next message.

        It is doubled after each distributor that was silent: more requests would only add to the load that
        delays the answers.
        """
        doublings = (
            0
            if now - self.last_message_at > PARTITION_TIMEOUT
            else min(self.silent_count, MAX_SILENT_DOUBLINGS)
        )
        self.silent_at = now + (self.limits.response_timeout << doublings)

    def on_message(self, now: int) -> None:
        """Notes a message of the distributor."""
        self.last_message_at = now
        self.await_message(now)

    def on_connected(self, now: int, is_preferred: bool) -> None:
        """Starts the deadlines of a new connection."""
        self.on_message(now)
        self.await_current(now)
        if is_preferred:
            self.home_at = NEVER
            self.home_count = 0
        else:
            away = self.limits.home_retry << min(self.home_count, MAX_DOUBLINGS)
            self.home_at = now + away + self.random_source.randrange(away + 1)

    def await_current(self, now: int) -> None:
        """Sets the deadline for bringing the content up to date.

        It is one lease, doubled each time that a distributor was left for being stale.
        """
        self.stale_at = now + (self.limits.lease << min(self.stale_count, MAX_DOUBLINGS))

    def on_current(self, lease_until: int) -> None:
        """Notes that the content is up to date; the deadline is now the end of the lease."""
        self.silent_count = 0
        self.stale_count = 0
        self.stale_at = lease_until

    def on_left_silent(self) -> None:
        """Counts a distributor that was left because it was silent."""
        self.silent_count += 1

    def on_left_stale(self) -> None:
        """Counts a distributor that was left because it was stale."""
        self.stale_count += 1

    def on_left_for_home(self) -> None:
        """Counts a distributor that was left for the preferred one."""
        self.home_count += 1
