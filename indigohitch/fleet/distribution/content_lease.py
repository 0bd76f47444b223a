"""How long a subscriber's content counts as current: the lease that distributors renew.  No I/O."""

from __future__ import annotations

from ..membership.leases import LeaseHolder
from ..membership.messages import LeaseRenewed
from .limits import SubscriberLimits
from .messages import Current, Renew

LEASE_INCARNATION = 1  # numbers of renewals grow over all connections, so there is one incarnation


class ContentLease:
    """The lease of the content held, and what the present connection alone has renewed of it."""

    def __init__(self, limits: SubscriberLimits) -> None:
        self.holder = LeaseHolder(limits.lease, limits.drift)
        self.holder.start(LEASE_INCARNATION)
        self.connection_until = 0

    @property
    def due(self) -> int:
        """When the next renewal is to be sent."""
        return self.holder.renewal_due_at

    @property
    def until(self) -> int:
        """The content counts as current before this time of the own clock."""
        return self.holder.valid_until

    def age(self, now: int) -> int | None:
        """Returns the age of the last confirmation; None: the content was never confirmed."""
        return now - (self.until - self.holder.duration) if self.until else None

    def on_connected(self) -> None:
        """Starts a connection that has renewed nothing yet."""
        self.connection_until = 0

    def renewal(self, now: int) -> Renew | None:
        """Returns the request to send if one is due."""
        number = self.holder.next_renewal(now)
        return Renew(number) if number is not None else None

    def renewal_now(self, now: int) -> Renew | None:
        """Returns the request to send before the next one is due."""
        self.holder.renewal_due_at = now
        return self.renewal(now)

    def on_renewed(self, message: Current) -> None:
        """Extends the lease by an answer that states an age."""
        until = self.holder.on_renewed(LeaseRenewed(message.number, LEASE_INCARNATION), message.age)
        self.connection_until = max(self.connection_until, until)

    def drop(self) -> None:
        """Ends the lease: it was granted for a version that the ledger never had."""
        self.holder.drop()

    def on_services_added(self) -> None:
        """Shortens the lease to what this connection has renewed.

        A distributor that was ahead of this one has confirmed nothing about the added services.
        """
        self.holder.valid_until = min(self.holder.valid_until, self.connection_until)
