"""Deadlines after which a subscriber leaves a silent, stale or less preferred distributor.  No I/O."""

from __future__ import annotations

import random

from ...net.clock import SECOND
from .limits import SubscriberLimits

NEVER = 1 << 62
MAX_DOUBLINGS = 4
MAX_SILENT_DOUBLINGS = 2  # a timeout of 10 s: enough for overloaded distributors to work off their backlog
# If no distributor has sent anything for this long, the network is partitioned, not overloaded.  The response
# timeout is no longer doubled, so that content is in force within 6 s once the network is back.
PARTITION_TIMEOUT = 15 * SECOND


class ConnectionDeadlines:
    """Keeps the deadlines of one subscriber, each with its own exponential backoff."""

    def __init__(self, limits: SubscriberLimits, random_source: random.Random, now: int) -> None:
        self.limits = limits
        self.random_source = random_source
        self.last_message_at = now  # from any distributor; initially the time of the start
        self.silent_at = NEVER
        self.stale_at = NEVER
        self.preferred_retry_at = NEVER
        self.silent_count = 0
        self.stale_count = 0
        self.preferred_retry_count = 0  # times in a row that a distributor was left for the preferred one

    @property
    def due(self) -> int:
        """The time of the earliest deadline."""
        return min(self.silent_at, self.stale_at, self.preferred_retry_at)

    def await_message(self, now: int) -> None:
        """Sets the deadline for the next message.

        The timeout is doubled after each silent distributor, because more requests would only add to the load
        that delays the replies.
        """
        doublings = (
            0
            if now - self.last_message_at > PARTITION_TIMEOUT
            else min(self.silent_count, MAX_SILENT_DOUBLINGS)
        )
        self.silent_at = now + (self.limits.response_timeout << doublings)

    def on_message(self, now: int) -> None:
        """Restarts the response timeout after a message of the distributor."""
        self.last_message_at = now
        self.await_message(now)

    def on_connected(self, now: int, is_preferred: bool) -> None:
        """Starts the deadlines of a new connection."""
        self.on_message(now)
        self.await_current(now)
        if is_preferred:
            self.preferred_retry_at = NEVER
            self.preferred_retry_count = 0
        else:
            delay = self.limits.preferred_retry << min(self.preferred_retry_count, MAX_DOUBLINGS)
            self.preferred_retry_at = now + delay + self.random_source.randrange(delay + 1)

    def await_current(self, now: int) -> None:
        """Sets the deadline for bringing the content up to date.

        The timeout is one lease duration, doubled each time that a distributor was left for being stale.
        """
        self.stale_at = now + (self.limits.lease << min(self.stale_count, MAX_DOUBLINGS))

    def on_current(self, lease_until: int) -> None:
        """Records that the content is up to date until the lease expires, which is the new deadline."""
        self.silent_count = 0
        self.stale_count = 0
        self.stale_at = lease_until

    def on_left_silent(self) -> None:
        """Counts a distributor that was left because it was silent."""
        self.silent_count += 1

    def on_left_stale(self) -> None:
        """Counts a distributor that was left because it was stale."""
        self.stale_count += 1

    def on_left_for_preferred(self) -> None:
        """Counts a distributor that was left for the preferred one."""
        self.preferred_retry_count += 1
