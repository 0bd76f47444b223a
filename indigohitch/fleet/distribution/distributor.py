"""The state machine of one distributor: subscriptions, sending order and convergence.  No I/O."""

from __future__ import annotations

from collections.abc import Collection

from ...net.clock import SECOND
from .convergence import ConvergenceReport, ConvergenceTracker, FleetConvergence
from .errors import DistributorClosingError
from .interfaces import (
    CaughtUp,
    DistributorInput,
    DistributorOutput,
    MessageReceived,
    Note,
    ReportReceived,
    ResourcesChanged,
    ResourcesReplaced,
    ShutdownStarted,
    SubscriberConnected,
    SubscriberDisconnected,
    Tick,
)
from .limits import Limits
from .messages import Report
from .pending_updates import MissingChange
from .resource_store import ResourceStore
from .subscription_server import SubscriptionServer
from .types import DistributorName

SWEEP_INTERVAL = SECOND // 2  # between checks for overdue acknowledgements and claims


class Distributor:
    """Serves the resources of `store`, which the replicated part of this process owns.

    The driver reports changes of the store by `ResourcesChanged` and `ResourcesReplaced`, and by `CaughtUp`
    each confirmed read that shows the store to have caught up with the ledger.  `expected_distributors`: the
    distributors whose reports are expected.
    """

    def __init__(
        self,
        name: DistributorName,
        store: ResourceStore,
        limits: Limits,
        now: int,
        expected_distributors: Collection[DistributorName] = (),
    ) -> None:
        self.name = name
        self.store = store
        self.limits = limits
        self.tracker = ConvergenceTracker(name, limits)
        self.fleet_convergence = FleetConvergence(name, expected_distributors, limits)
        self.server = SubscriptionServer(store, limits, self.tracker, now)
        self.announced_version = store.version  # subscriptions know of the changes up to it
        self.sweep_at = now + SWEEP_INTERVAL
        self.handlers = {
            SubscriberConnected: self.on_subscriber_connected,
            MessageReceived: self.on_message,
            SubscriberDisconnected: self.on_subscriber_disconnected,
            ResourcesChanged: self.on_resources_changed,
            ResourcesReplaced: self.on_resources_replaced,
            CaughtUp: self.on_caught_up,
            ReportReceived: self.on_report,
            ShutdownStarted: self.on_shutdown,
            Tick: self.on_tick,
        }

    # ---- interface ---------------------------------------------------------------------------------

    def step(self, now: int, event: DistributorInput) -> list[DistributorOutput]:
        """Handles one event and returns the outputs in order."""
        self.server.now = now
        self.handlers[type(event)](event)
        return self.server.take_outputs()

    @property
    def due(self) -> int:
        """The time at which `Tick` is due at the latest."""
        next_update = self.server.admission.next_due(self.server.now)
        return self.sweep_at if next_update is None else min(self.sweep_at, next_update)

    def report(self, now: int) -> Report:
        """Returns the report for the other distributors."""
        caught_up_at = self.server.caught_up_at
        served = self.server.subscribers.subscribed()
        ledger_age = now - caught_up_at if caught_up_at else None
        return self.tracker.report(now, self.announced_version, self.store, served, ledger_age)

    def in_force(self, now: int) -> ConvergenceReport:
        """Returns the convergence of the fleet, from local subscribers and received reports."""
        return self.fleet_convergence.in_force(now, self.report(now))

    def status(self, now: int) -> dict:
        """Returns JSON values for the `status` command."""
        report = self.report(now)
        admission = self.server.admission
        return {
            "version": self.store.version.text(),
            "ledger_age": report.ledger_age,
            "subscribers": report.subscribers,
            "in_force": report.in_force.text(),
            "in_force_age": report.in_force_age,
            "behind": report.behind_count,
            "lost": len(self.tracker.departed),
            "large_bytes": admission.large_bytes,
            "large_waiting": len(admission.waiting_large),
        }

    # ---- inputs ------------------------------------------------------------------------------------

    def on_subscriber_connected(self, event: SubscriberConnected) -> None:
        """Registers a connection."""
        self.server.subscribers.add(event.connection, event.subscriber)

    def on_message(self, event: MessageReceived) -> None:
        """Handles a message of a subscriber."""
        self.server.on_message(event)

    def on_subscriber_disconnected(self, event: SubscriberDisconnected) -> None:
        """Removes a connection."""
        self.server.forget(event.connection)

    def on_shutdown(self, event: ShutdownStarted) -> None:
        """Refuses all subscribers, so that they connect to other distributors."""
        self.server.is_shutting_down = True
        for connection in list(self.server.subscribers.names):
            self.server.refuse(connection, DistributorClosingError("this distributor is about to end"))

    def on_resources_changed(self, event: ResourcesChanged) -> None:
        """Marks changed services as pending for the subscribers that have them in scope."""
        missing = self.announce()
        subscribers = self.server.subscribers
        for service in event.services:
            for connection in subscribers.by_service.get(service, ()):
                subscribers.subscriptions[connection].on_service_changed(service, missing)
                self.server.admission.enqueue(connection)

    def on_resources_replaced(self, event: ResourcesReplaced) -> None:
        """Marks all services as pending, because any of them may have changed."""
        missing = self.announce()
        for connection, subscription in self.server.subscribers.subscriptions.items():
            subscription.on_store_replaced(missing)
            self.server.admission.enqueue(connection)

    def announce(self) -> MissingChange:
        """Returns the oldest change that was not yet announced, and marks all changes as announced."""
        oldest = self.store.after(self.announced_version)
        self.announced_version = self.store.version
        return MissingChange(oldest, self.server.now, self.server.caught_up_at)

    def on_caught_up(self, event: CaughtUp) -> None:
        """Records that the store has caught up with the ledger, and logs the first time."""
        if not self.server.caught_up_at:
            fields = {"version": self.store.version.text()}
            self.server.outputs.append(Note("distributor_level", fields))
        self.server.on_caught_up(event.confirmed_at)

    def on_report(self, event: ReportReceived) -> None:
        """Merges the report of another distributor."""
        self.fleet_convergence.on_report(self.server.now, event.report)
        self.tracker.forget_connected_elsewhere(event.report)

    def on_tick(self, event: Tick) -> None:
        """Runs the periodic checks when they are due."""
        now = self.server.now
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL
            self.server.close_overdue()
            self.tracker.forget_expired(now)
