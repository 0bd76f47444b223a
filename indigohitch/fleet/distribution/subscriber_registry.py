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

    word: Subscribe
    since: int


class SubscriberRegistry:
    def __init__(self) -> None:
        self.names: dict[int, SubscriberName] = {}  # by connection
        self.claims: dict[int, PendingClaim] = {}  # in doubt
        self.subscriptions: dict[int, Subscription] = {}
        self.by_name: dict[SubscriberName, int] = {}  # served ones
        self.by_service: dict[ServiceName, dict[int, None]] = {}
        self.indexed: dict[int, tuple[ServiceName, ...]] = {}

    def count_besides(self, connection: int) -> int:
        """Connections that are served or in doubt, but for this one and the one that it replaces."""
        replaced = self.names[connection] in self.by_name
        return len(self.subscriptions) + len(self.claims) - replaced - (connection in self.claims)

    def served(self) -> Collection[Subscription]:
        return self.subscriptions.values()

    def connection_of(self, name: SubscriberName) -> int | None:
        """The connection over which it is served."""
        return self.by_name.get(name)

    def join(self, connection: int, name: SubscriberName) -> None:
        self.names[connection] = name

    def leave(self, connection: int) -> Subscription | None:
        self.claims.pop(connection, None)
        subscription = self.subscriptions.pop(connection, None)
        name = self.names.pop(connection, "")
        if self.by_name.get(name) == connection:
            del self.by_name[name]
        self.reindex(connection, ())
        return subscription

    def doubt(self, connection: int, claim: PendingClaim) -> None:
        self.claims[connection] = claim

    def decided(self, connection: int) -> None:
        """Its claim, if there was one, is in doubt no more."""
        self.claims.pop(connection, None)

    def doubts_before(self, time: int) -> list[int]:
        return [connection for connection, claim in self.claims.items() if claim.since <= time]

    def serve(self, connection: int, subscription: Subscription) -> None:
        self.subscriptions[connection] = subscription
        self.by_name[subscription.subscriber] = connection
        self.index(connection)

    def index(self, connection: int) -> None:
        """Its scope may be another one."""
        scope = self.subscriptions[connection].scope
        if self.indexed.get(connection) is not scope:
            self.reindex(connection, scope)

    def reindex(self, connection: int, scope: tuple[ServiceName, ...]) -> None:
        for service in self.indexed.pop(connection, ()):
            those = self.by_service[service]
            del those[connection]
            if not those:
                del self.by_service[service]
        for service in scope:
            self.by_service.setdefault(service, {})[connection] = None
        if scope:
            self.indexed[connection] = scope

    def unanswered(self, since: int) -> list[int]:
        """Those to whom an update went before that time and is out still."""
        return [
            connection
            for connection, subscription in self.subscriptions.items()
            if subscription.flight is not None and subscription.flight.sent <= since
        ]
