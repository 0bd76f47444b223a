"""The lease, renewed by distributors, during which a subscriber's content counts as current.  No I/O."""

from __future__ import annotations

from ..membership.leases import LeaseHolder
from ..membership.messages import LeaseRenewed
from .limits import SubscriberLimits
from .messages import Current, Renew

LEASE_INCARNATION = 1  # renewal numbers grow across connections, so one incarnation is enough


class ContentLease:
    """Tracks the lease of the held content, and the part that the current connection has renewed."""

    def __init__(self, limits: SubscriberLimits) -> None:
        self.holder = LeaseHolder(limits.lease, limits.drift)
        self.holder.start(LEASE_INCARNATION)
        self.connection_until = 0

    @property
    def due(self) -> int:
        """The time at which the next renewal is to be sent."""
        return self.holder.renewal_due_at

    @property
    def until(self) -> int:
        """The time, by the local clock, until which the content counts as current."""
        return self.holder.valid_until

    def age(self, now: int) -> int | None:
        """Returns the age of the last confirmation, or None if the content was never confirmed."""
        return now - (self.until - self.holder.duration) if self.until else None

    def on_connected(self) -> None:
        """Resets what the connection has renewed."""
        self.connection_until = 0

    def renewal(self, now: int) -> Renew | None:
        """Returns the renewal to send if one is due."""
        number = self.holder.next_renewal(now)
        return Renew(number) if number is not None else None

    def renewal_now(self, now: int) -> Renew | None:
        """Returns a renewal to send now, ahead of schedule."""
        self.holder.renewal_due_at = now
        return self.renewal(now)

    def on_renewed(self, message: Current) -> None:
        """Extends the lease by a reply that states an age."""
        until = self.holder.on_renewed(LeaseRenewed(message.number, LEASE_INCARNATION), message.age)
        self.connection_until = max(self.connection_until, until)

    def drop(self) -> None:
        """Ends the lease, which was granted for a version that the ledger never committed."""
        self.holder.drop()

    def on_services_added(self) -> None:
        """Shortens the lease to what this connection has renewed.

        A renewal by an earlier distributor that was ahead of this one does not cover the added services.
        """
        self.holder.valid_until = min(self.holder.valid_until, self.connection_until)
