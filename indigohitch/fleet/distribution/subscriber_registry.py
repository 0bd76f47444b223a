"""The subscribers of a distributor: connections, subscriptions and an index by service.  No I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from .messages import Subscribe
from .subscription import Subscription
from .types import ServiceName, SubscriberName


@dataclass(slots=True, frozen=True)
class PendingClaim:
    """A subscription that claims a newer version than the distributor has.

    Either the distributor lags, or the ledger never committed that version.
    """

    message: Subscribe
    claimed_at: int


class SubscriberRegistry:
    """Indexes connections and subscriptions by connection, by name and by service."""

    def __init__(self) -> None:
        self.names: dict[int, SubscriberName] = {}  # by connection
        self.claims: dict[int, PendingClaim] = {}  # claims that wait until the distributor has caught up
        self.subscriptions: dict[int, Subscription] = {}
        self.by_name: dict[SubscriberName, int] = {}  # connections with a subscription
        self.by_service: dict[ServiceName, dict[int, None]] = {}
        self.indexed: dict[int, tuple[ServiceName, ...]] = {}

    def other_count(self, connection: int) -> int:
        """Returns the number of other subscribers, not counting a connection that this one replaces."""
        replaced = self.names[connection] in self.by_name
        return len(self.subscriptions) + len(self.claims) - replaced - (connection in self.claims)

    def subscribed(self) -> Collection[Subscription]:
        """Returns all subscriptions."""
        return self.subscriptions.values()

    def connection_of(self, name: SubscriberName) -> int | None:
        """Returns the connection over which a subscriber is served, if any."""
        return self.by_name.get(name)

    def add(self, connection: int, name: SubscriberName) -> None:
        """Adds a connection."""
        self.names[connection] = name

    def remove(self, connection: int) -> Subscription | None:
        """Removes a connection and returns its subscription."""
        self.claims.pop(connection, None)
        subscription = self.subscriptions.pop(connection, None)
        name = self.names.pop(connection, "")
        if self.by_name.get(name) == connection:
            del self.by_name[name]
        self.reindex(connection, ())
        return subscription

    def hold_claim(self, connection: int, claim: PendingClaim) -> None:
        """Keeps a claim until the distributor has caught up."""
        self.claims[connection] = claim

    def resolve_claim(self, connection: int) -> None:
        """Removes the claim of a connection, if any."""
        self.claims.pop(connection, None)

    def claims_before(self, time: int) -> list[int]:
        """Returns the connections whose claims were made up to that time."""
        return [connection for connection, claim in self.claims.items() if claim.claimed_at <= time]

    def subscribe(self, connection: int, subscription: Subscription) -> None:
        """Adds a subscription."""
        self.subscriptions[connection] = subscription
        self.by_name[subscription.subscriber] = connection
        self.update_index(connection)

    def update_index(self, connection: int) -> None:
        """Updates the index after the scope may have changed."""
        scope = self.subscriptions[connection].scope
        if self.indexed.get(connection) is not scope:
            self.reindex(connection, scope)

    def reindex(self, connection: int, scope: tuple[ServiceName, ...]) -> None:
        """Replaces the indexed services of a connection."""
        for service in self.indexed.pop(connection, ()):
            connections = self.by_service[service]
            del connections[connection]
            if not connections:
                del self.by_service[service]
        for service in scope:
            self.by_service.setdefault(service, {})[connection] = None
        if scope:
            self.indexed[connection] = scope

    def unacknowledged(self, sent_before: int) -> list[int]:
        """Returns the connections with an update in flight that was sent up to that time."""
        return [
            connection
            for connection, subscription in self.subscriptions.items()
            if subscription.in_flight is not None and subscription.in_flight.sent_at <= sent_before
        ]
