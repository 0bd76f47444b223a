"""The state machine of one subscriber: its scope, content, lease and connection.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from ...errors import InvalidDataError
from .content_lease import ContentLease
from .distributor_connector import ConnectionPhase, DistributorConnector
from .errors import DigestMismatchError, NoDistributorError, OlderVersionError, UnknownBaseError
from .interfaces import (
    ConnectionEstablished,
    ConnectionLost,
    DistributorMessageReceived,
    Note,
    ScopeChanged,
    SendToDistributor,
    SubscriberInput,
    SubscriberOutput,
    Tick,
    UpdateApplied,
)
from .limits import SubscriberLimits
from .messages import Acknowledge, Current, Refused, Reject, RejectReason, Renew, Subscribe, Update
from .scope_request import ScopeRequest
from .subscriber_scope import REJECT_REASONS, SubscriberScope
from .types import DistributorName, ServiceName, SubscriberName, Version


class Subscriber:
    """Keeps the content of a scope up to date.

    `distributors`: weights by name; 1.0, or the share of an ordinary distributor's load that one takes.
    """

    def __init__(
        self,
        name: SubscriberName,
        services: Collection[ServiceName],
        distributors: Mapping[DistributorName, float],
        limits: SubscriberLimits,
        random_source: random.Random,
        now: int,
    ) -> None:
        self.name = name
        self.limits = limits
        self.scope = SubscriberScope(limits.guard_versions)
        self.services = frozenset(services)
        self.request = ScopeRequest()
        self.connector = DistributorConnector(name, distributors, limits, random_source, now)
        self.lease = ContentLease(limits)
        self.no_distributor_logged = False  # that no distributor can be reached
        self.now = now
        self.outputs: list[SubscriberOutput] = []

    def step(self, now: int, event: SubscriberInput) -> list[SubscriberOutput]:
        """Handles one event and returns the outputs in order."""
        self.now = now
        self.outputs = []
        match event:
            case ConnectionEstablished():
                self.on_connected(event)
            case ConnectionLost():
                self.on_connection_lost(event)
            case DistributorMessageReceived():
                self.on_message(event)
            case ScopeChanged():
                self.on_scope_changed(event)
            case Tick():
                self.on_tick()
        outputs = self.outputs
        self.outputs = []
        return outputs

    @property
    def due(self) -> int:
        """The time at which `Tick` is due at the latest."""
        connector = self.connector
        return min(connector.due, self.lease.due) if connector.is_connected else connector.due

    @property
    def version(self) -> Version:
        """The held version; NO_VERSION before the first update."""
        return self.scope.version

    @property
    def digest(self) -> bytes:
        """The digest of the whole held content."""
        return self.scope.digest

    def resources(self, service: ServiceName) -> Mapping[str, bytes]:
        """Returns the held resources of a service: bodies by key."""
        content = self.scope.services.get(service)
        return content.bodies if content is not None else {}

    def lease_until(self, now: int) -> int:
        """Returns the time, by the local clock, until which the content counts as current."""
        return self.lease.until

    def age(self, now: int) -> int | None:
        """Returns how long ago the content was last confirmed as up to date, or None if it never was."""
        return self.lease.age(now)

    def on_tick(self) -> None:
        """Dials or leaves a distributor, or renews the lease, whichever is due."""
        if self.connector.phase is ConnectionPhase.WAITING:
            if self.now >= self.connector.dial_at:
                self.dial()
            return
        disconnect = self.connector.leave_if_overdue(self.now, self.lease.until)
        if disconnect is not None:
            self.outputs.append(disconnect)
        elif self.connector.is_connected:
            self.renew()

    def dial(self) -> None:
        """Dials the next distributor; logs once that none can be reached."""
        dial = self.connector.dial(self.now)
        if dial is not None:
            self.outputs.append(dial)
        elif not self.no_distributor_logged and self.connector.choice.have_all_failed():
            self.no_distributor_logged = True
            error = NoDistributorError("no distributor answers", self.name)
            fields = {"version": self.version.text(), "age": self.age(self.now)}
            self.outputs.append(Note("no_distributor", error.log_fields() | fields))

    def on_connected(self, event: ConnectionEstablished) -> None:
        """Subscribes over the new connection."""
        if self.connector.on_connected(self.now, event.distributor):
            self.lease.on_connected()
            self.subscribe()
            self.renew_now()

    def on_connection_lost(self, event: ConnectionLost) -> None:
        """Schedules the next attempt to connect."""
        self.connector.on_lost(self.now, event.distributor)

    def leave_distributor(self, reason: str, failed: bool = False, retry_after: int = 0) -> None:
        """Leaves the distributor; it is not dialled again before `retry_after` has passed."""
        self.outputs.append(self.connector.leave(self.now, reason, failed, retry_after))

    def on_scope_changed(self, event: ScopeChanged) -> None:
        """Requests the new scope; the old content stays until the first update for it."""
        self.services = event.services
        if self.connector.phase is ConnectionPhase.SERVED:
            self.subscribe_if_changed()

    def subscribe(self) -> None:
        """Requests the scope, stating what is held of it."""
        self.request.start(self.services)
        claim = self.scope.claim(self.services)
        self.outputs.append(SendToDistributor(Subscribe(self.request.number, self.version, claim)))

    def subscribe_if_changed(self) -> None:
        """Requests the scope again if it has changed and no request is open."""
        if not self.request.is_open and self.services != self.request.services:
            self.subscribe()

    def on_message(self, event: DistributorMessageReceived) -> None:
        """Handles a message of the connected distributor."""
        connector = self.connector
        if not connector.is_connected or event.distributor != connector.distributor:
            return  # from a connection that is already closed
        connector.deadlines.on_message(self.now)
        match event.message:
            case Update() as update:
                self.on_update(update)
            case Current() as current:
                self.on_current(current)
            case Refused() as refused:
                self.on_refused(refused)
            case unexpected:
                name = type(unexpected).__name__
                self.leave_distributor(f"unexpected message {name}", failed=True)

    def on_update(self, update: Update) -> None:
        """Applies an update and acknowledges it, or rejects it."""
        is_for_request = self.request.is_answered_by(update)
        scope = self.request.services if is_for_request else frozenset(self.scope.services)
        added = scope - self.scope.services.keys()
        is_rollback = update.version < self.version
        try:
            changed = self.scope.apply(update, scope)
        except (OlderVersionError, UnknownBaseError, DigestMismatchError, InvalidDataError) as error:
            self.reject(update, error)
            return
        if is_rollback:
            self.lease.drop()
        elif added:
            self.lease.on_services_added()
        self.outputs.append(SendToDistributor(Acknowledge(update.number, update.version, update.digest)))
        self.outputs.append(UpdateApplied(update.version, changed))
        if is_for_request:
            self.on_request_answered()

    def on_request_answered(self) -> None:
        """Handles the completion of a request; sends another if the scope has changed meanwhile."""
        self.request.is_open = False
        self.no_distributor_logged = False
        if self.connector.phase is ConnectionPhase.SUBSCRIBING:
            self.connector.on_served()
        self.renew_now()
        self.subscribe_if_changed()

    def reject(
        self,
        update: Update,
        error: OlderVersionError | UnknownBaseError | DigestMismatchError | InvalidDataError,
    ) -> None:
        """Rejects an update; leaves the distributor if that lags."""
        reason = REJECT_REASONS[type(error)]
        self.outputs.append(SendToDistributor(Reject(update.number, reason, self.version, error.problem)))
        fields = {"distributor": self.connector.distributor, "reason": reason.name}
        self.outputs.append(Note("update_rejected", error.log_fields() | fields))
        if reason is RejectReason.OLDER:
            self.leave_distributor("the distributor sent an older version", retry_after=self.limits.backoff)

    def on_refused(self, message: Refused) -> None:
        """Leaves a distributor that has refused the subscription."""
        fields = {
            "distributor": self.connector.distributor,
            "reason": message.reason.name,
            "why": message.why,
        }
        self.outputs.append(Note("subscription_refused", fields))
        self.leave_distributor(message.why, retry_after=max(message.retry_after, 1))

    def renew_now(self) -> None:
        """Sends a renewal ahead of schedule."""
        self.send_renewal(self.lease.renewal_now(self.now))

    def renew(self) -> None:
        """Sends a renewal if one is due."""
        self.send_renewal(self.lease.renewal(self.now))

    def send_renewal(self, renewal: Renew | None) -> None:
        """Sends a renewal if there is one."""
        if renewal is not None:
            self.outputs.append(SendToDistributor(renewal))

    def on_current(self, message: Current) -> None:
        """Extends the lease if the distributor has confirmed the content."""
        if message.age is None:
            return
        self.lease.on_renewed(message)
        if self.now < self.lease.until:
            self.connector.deadlines.on_current(self.lease.until)
