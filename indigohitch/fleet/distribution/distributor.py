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
from .resource_store import ResourceStore
from .subscription import MissingChange
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
        catalogue: ResourceStore,
        limits: Limits,
        now: int,
        others: Collection[DistributorName] = (),
    ) -> None:
        self.name, self.catalogue, self.limits = name, catalogue, limits
        self.tally = ConvergenceTracker(name, limits)
        self.fleet = FleetConvergence(name, others, limits)
        self.serving = SubscriptionServer(catalogue, limits, self.tally, now)
        self.announced = catalogue.version  # the subscriptions were told of all changes up to it
        self.sweep_at = now + SWEEP_INTERVAL
        self.steps = {
            SubscriberConnected: self.joined,
            MessageReceived: self.heard,
            SubscriberDisconnected: self.left,
            ResourcesChanged: self.changed,
            ResourcesReplaced: self.replaced,
            CaughtUp: self.level_reached,
            ReportReceived: self.heard_report,
            ShutdownStarted: self.close_all,
            Tick: self.sweep,
        }

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, input: DistributorInput) -> list[DistributorOutput]:
        """What to do, in order."""
        self.serving.now = now
        self.steps[type(input)](input)
        return self.serving.take()

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        next_update = self.serving.admission.due(self.serving.now)
        return self.sweep_at if next_update is None else min(self.sweep_at, next_update)

    def report(self, now: int) -> Report:
        """For the other distributors, once a second or so."""
        level, served = self.serving.level, self.serving.subscribers.served()
        ledger_age = now - level if level else None
        return self.tally.report(now, self.announced, self.catalogue, served, ledger_age)

    def in_force(self, now: int) -> ConvergenceReport:
        """Fleet-wide, from the own subscribers and the reports heard."""
        return self.fleet.in_force(now, self.report(now))

    def figures(self, now: int) -> dict:
        """For `status`, as plain JSON."""
        report, admission = self.report(now), self.serving.admission
        return {
            "version": self.catalogue.version.text(),
            "ledger_age": report.ledger_age,
            "subscribers": report.subscribers,
            "in_force": report.in_force.text(),
            "in_force_age": report.in_force_age,
            "behind": report.behind_count,
            "lost": len(self.tally.departed),
            "large_bytes": admission.large_bytes,
            "large_waiting": len(admission.large),
        }

    # ---- inputs ------------------------------------------------------------------------------------

    def joined(self, input: SubscriberConnected) -> None:
        self.serving.subscribers.join(input.connection, input.subscriber)

    def heard(self, input: MessageReceived) -> None:
        self.serving.heard(input)

    def left(self, input: SubscriberDisconnected) -> None:
        self.serving.forget(input.connection)

    def close_all(self, input: ShutdownStarted) -> None:
        self.serving.closing = True
        for connection in list(self.serving.subscribers.names):
            self.serving.refuse(connection, DistributorClosingError("this distributor is about to end"))

    def changed(self, input: ResourcesChanged) -> None:
        missing = self.announce()
        subscribers = self.serving.subscribers
        for service in input.services:
            for connection in subscribers.by_service.get(service, ()):
                subscribers.subscriptions[connection].changed(service, missing)
                self.serving.admission.want(connection)

    def replaced(self, input: ResourcesReplaced) -> None:
        missing = self.announce()
        for connection, subscription in self.serving.subscribers.subscriptions.items():
            subscription.catalogue_replaced(missing)
            self.serving.admission.want(connection)

    def announce(self) -> MissingChange:
        """The oldest change since the last that the subscriptions were told of."""
        oldest = self.catalogue.after(self.announced)
        self.announced = self.catalogue.version
        return MissingChange(oldest, self.serving.now, self.serving.level)

    def level_reached(self, input: CaughtUp) -> None:
        if not self.serving.level:
            fields = {"version": self.catalogue.version.text()}
            self.serving.out.append(Note("distributor_level", fields))
        self.serving.level_reached(input.asked)

    def heard_report(self, input: ReportReceived) -> None:
        self.fleet.heard(self.serving.now, input.report)
        self.tally.seen_elsewhere(input.report)

    def sweep(self, input: Tick) -> None:
        now = self.serving.now
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP_INTERVAL
            self.serving.sweep()
            self.tally.sweep(now)
