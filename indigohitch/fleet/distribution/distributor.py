"""All subscriptions of one distributor: who is served, in which order, and what is in force.  No I/O."""

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

SWEEP_INTERVAL = SECOND // 2  # updates without an answer and claims in doubt are looked at so often


class Distributor:
    """`catalogue`: of the replicated part in this process; the driver tells by `Changed` and `Replaced` what
    became of it, and by `Level` each time that a confirmed read shows it to be level with the ledger.
    `others`: distributors whose reports are expected."""

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
        self.announced_version = store.version  # the subscriptions were told of all changes up to it
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

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, event: DistributorInput) -> list[DistributorOutput]:
        """What to do, in order."""
        self.server.now = now
        self.handlers[type(event)](event)
        return self.server.take_outputs()

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        next_update = self.server.admission.next_due(self.server.now)
        return self.sweep_at if next_update is None else min(self.sweep_at, next_update)

    def report(self, now: int) -> Report:
        """For the other distributors, once a second or so."""
        caught_up_at = self.server.caught_up_at
        served = self.server.subscribers.subscribed()
        ledger_age = now - caught_up_at if caught_up_at else None
        return self.tracker.report(now, self.announced_version, self.store, served, ledger_age)

    def in_force(self, now: int) -> ConvergenceReport:
        """Fleet-wide, from the own subscribers and the reports heard."""
        return self.fleet_convergence.in_force(now, self.report(now))

    def status(self, now: int) -> dict:
        """For `status`, as plain JSON."""
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
        self.server.subscribers.add(event.connection, event.subscriber)

    def on_message(self, event: MessageReceived) -> None:
        self.server.on_message(event)

    def on_subscriber_disconnected(self, event: SubscriberDisconnected) -> None:
        self.server.forget(event.connection)

    def on_shutdown(self, event: ShutdownStarted) -> None:
        self.server.is_shutting_down = True
        for connection in list(self.server.subscribers.names):
            self.server.refuse(connection, DistributorClosingError("this distributor is about to end"))

    def on_resources_changed(self, event: ResourcesChanged) -> None:
        missing = self.announce()
        subscribers = self.server.subscribers
        for service in event.services:
            for connection in subscribers.by_service.get(service, ()):
                subscribers.subscriptions[connection].on_service_changed(service, missing)
                self.server.admission.enqueue(connection)

    def on_resources_replaced(self, event: ResourcesReplaced) -> None:
        missing = self.announce()
        for connection, subscription in self.server.subscribers.subscriptions.items():
            subscription.on_store_replaced(missing)
            self.server.admission.enqueue(connection)

    def announce(self) -> MissingChange:
        """The oldest change since the last that the subscriptions were told of."""
        oldest = self.store.after(self.announced_version)
        self.announced_version = self.store.version
        return MissingChange(oldest, self.server.now, self.server.caught_up_at)

    def on_caught_up(self, event: CaughtUp) -> None:
        if not self.server.caught_up_at:
            fields = {"version": self.store.version.text()}
            self.server.outputs.append(Note("distributor_level", fields))
        self.server.on_caught_up(event.confirmed_at)

    def on_report(self, event: ReportReceived) -> None:
        self.fleet_convergence.on_report(self.server.now, event.report)
        self.tracker.forget_connected_elsewhere(event.report)

    def on_tick(self, event: Tick) -> None:
        now = self.server.now
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL
            self.server.close_overdue()
            self.tracker.forget_expired(now)
