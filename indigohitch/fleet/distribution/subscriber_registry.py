"""Who is connected to a distributor, who is served, and which subscribers reach a service.  No I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from .messages import Subscribe
from .subscription import Subscription
from .types import ServiceName, SubscriberName


@dataclass(slots=True, frozen=True)
class PendingClaim:
    """Of a newer version than the distributor has: either it lags, or that version never was."""

    message: Subscribe
    claimed_at: int


class SubscriberRegistry:
    def __init__(self) -> None:
        self.names: dict[int, SubscriberName] = {}  # by connection
        self.claims: dict[int, PendingClaim] = {}  # in doubt
        self.subscriptions: dict[int, Subscription] = {}
        self.by_name: dict[SubscriberName, int] = {}  # served ones
        self.by_service: dict[ServiceName, dict[int, None]] = {}
        self.indexed: dict[int, tuple[ServiceName, ...]] = {}

    def other_count(self, connection: int) -> int:
        """Connections that are served or in doubt, but for this one and the one that it replaces."""
        replaced = self.names[connection] in self.by_name
        return len(self.subscriptions) + len(self.claims) - replaced - (connection in self.claims)

    def subscribed(self) -> Collection[Subscription]:
        return self.subscriptions.values()

    def connection_of(self, name: SubscriberName) -> int | None:
        """The connection over which it is served."""
        return self.by_name.get(name)

    def add(self, connection: int, name: SubscriberName) -> None:
        self.names[connection] = name

    def remove(self, connection: int) -> Subscription | None:
        self.claims.pop(connection, None)
        subscription = self.subscriptions.pop(connection, None)
        name = self.names.pop(connection, "")
        if self.by_name.get(name) == connection:
            del self.by_name[name]
        self.reindex(connection, ())
        return subscription

    def hold_claim(self, connection: int, claim: PendingClaim) -> None:
        self.claims[connection] = claim

    def resolve_claim(self, connection: int) -> None:
        """Its claim, if there was one, is in doubt no more."""
        self.claims.pop(connection, None)

    def claims_before(self, time: int) -> list[int]:
        return [connection for connection, claim in self.claims.items() if claim.claimed_at <= time]

    def subscribe(self, connection: int, subscription: Subscription) -> None:
        self.subscriptions[connection] = subscription
        self.by_name[subscription.subscriber] = connection
        self.update_index(connection)

    def update_index(self, connection: int) -> None:
        """Its scope may be another one."""
        scope = self.subscriptions[connection].scope
        if self.indexed.get(connection) is not scope:
            self.reindex(connection, scope)

    def reindex(self, connection: int, scope: tuple[ServiceName, ...]) -> None:
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
        """Those to whom an update went before that time and is out still."""
        return [
            connection
            for connection, subscription in self.subscriptions.items()
            if subscription.in_flight is not None and subscription.in_flight.sent_at <= sent_before
        ]
