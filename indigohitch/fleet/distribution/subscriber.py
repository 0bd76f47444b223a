"""One subscriber: what it holds, what it takes, and which distributor it asks.  No I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from ...errors import InvalidDataError
from ..membership.leases import LeaseHolder
from ..membership.messages import LeaseRenewed
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
from .messages import (
    Acknowledge,
    Current,
    Refused,
    Reject,
    RejectReason,
    Renew,
    Subscribe,
    Update,
)
from .subscriber_scope import REJECT_REASONS, SubscriberScope
from .types import DistributorName, ServiceName, SubscriberName, Version

LEASE_INCARNATION = 1  # of the lease: numbers of its renewals grow over all connections


class Subscriber:
    """`distributors`: by name the weight of each (1.0, or its part of what an ordinary one takes)."""

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
        self.requested_services: frozenset[ServiceName] = frozenset()  # the scope of the last Subscribe
        self.request_number = 0
        self.has_open_request = False  # the last Subscribe is not answered yet
        self.connector = DistributorConnector(name, distributors, limits, random_source, now)
        self.lease = LeaseHolder(limits.lease, limits.drift)
        self.lease.begin(LEASE_INCARNATION)
        self.connection_lease_until = (
            0  # until when answers over this connection alone let the content count as current
        )
        self.no_distributor_logged = False  # no distributor answers; logged once
        self.now = now
        self.outputs = []
        self.handlers = {
            ConnectionEstablished: self.on_connected,
            ConnectionLost: self.on_connection_lost,
            DistributorMessageReceived: self.on_message,
            ScopeChanged: self.on_scope_changed,
            Tick: self.on_tick,
        }
        self.message_handlers = {Update: self.on_update, Current: self.on_current, Refused: self.on_refused}

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, event: SubscriberInput) -> list[SubscriberOutput]:
        """What to do, in order."""
        self.now = now
        self.outputs = []
        self.handlers[type(event)](event)
        outputs = self.outputs
        self.outputs = []
        return outputs

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        connector = self.connector
        return min(connector.due, self.lease.due) if connector.is_connected else connector.due

    @property
    def version(self) -> Version:
        """That it holds; NO_VERSION before the first update."""
        return self.scope.version

    @property
    def digest(self) -> bytes:
        """Of the whole scope, as held."""
        return self.scope.digest

    def resources(self, service: ServiceName) -> Mapping[str, bytes]:
        """Bodies by key, as held; empty for a service that is not held."""
        content = self.scope.services.get(service)
        return content.bodies if content is not None else {}

    def acting_until(self, now: int) -> int:
        """The content counts as current before this (own clock); it stands after that, but is stale."""
        return self.lease.until

    def age(self, now: int) -> int | None:
        """The content has all that was committed so long ago; None: never confirmed."""
        return now - (self.lease.until - self.lease.length) if self.lease.until else None

    def status(self, now: int) -> dict:
        """For `status`, as plain JSON."""
        return {
            "phase": self.connector.phase.value,
            "distributor": self.connector.distributor,
            "version": self.version.text(),
            "age": self.age(now),
            "current": now < self.acting_until(now),
            "services": len(self.scope.services),
            "resources": sum(len(content.bodies) for content in self.scope.services.values()),
        }

    def on_tick(self, event: Tick) -> None:
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
        dial = self.connector.dial(self.now)
        if dial is not None:
            self.outputs.append(dial)
        elif not self.no_distributor_logged and self.connector.choice.have_all_failed():
            self.no_distributor_logged = True
            error = NoDistributorError("no distributor answers", self.name)
            fields = {"version": self.version.text(), "age": self.age(self.now)}
            self.outputs.append(Note("no_distributor", error.fields() | fields))

    def on_connected(self, event: ConnectionEstablished) -> None:
        if self.connector.on_connected(self.now, event.distributor):
            self.connection_lease_until = 0
            self.subscribe()
            self.renew_now()

    def on_connection_lost(self, event: ConnectionLost) -> None:
        self.connector.on_lost(self.now, event.distributor)

    def leave_distributor(self, why: str, failed: bool = False, retry_after: int = 0) -> None:
        """`again`: not there before so long."""
        self.outputs.append(self.connector.leave(self.now, why, failed, retry_after))

    # ---- the subscription --------------------------------------------------------------------------

    def on_scope_changed(self, event: ScopeChanged) -> None:
        """What is held stays until the first update for the new scope."""
        self.services = event.services
        if self.connector.phase is ConnectionPhase.SERVED:
            self.subscribe_if_changed()

    def subscribe(self) -> None:
        self.request_number += 1
        self.requested_services = self.services
        self.has_open_request = True
        claim = self.scope.claim(self.requested_services)
        self.outputs.append(SendToDistributor(Subscribe(self.request_number, self.version, claim)))

    def subscribe_if_changed(self) -> None:
        """One subscription is out at a time."""
        if not self.has_open_request and self.services != self.requested_services:
            self.subscribe()

    def on_message(self, event: DistributorMessageReceived) -> None:
        connector = self.connector
        if not connector.is_connected or event.distributor != connector.distributor:
            return  # of a connection that is over
        connector.deadlines.on_message(self.now)
        handler = self.message_handlers.get(type(event.message))
        if handler is None:
            self.leave_distributor(f"a distributor doesn't say {type(event.message).__name__}", failed=True)
        else:
            handler(event.message)

    def on_update(self, update: Update) -> None:
        is_for_request = update.request == self.request_number and self.has_open_request
        scope = self.requested_services if is_for_request else frozenset(self.scope.services)
        added = scope - self.scope.services.keys()
        is_rollback = update.version < self.version
        try:
            changed = self.scope.apply(update, scope)
        except (OlderVersionError, UnknownBaseError, DigestMismatchError, InvalidDataError) as error:
            self.reject(update, error)
            return
        if is_rollback:
            self.lease.drop()  # it was given for what never was
        elif added:
            # Another distributor that was ahead of this one knew nothing of what has been added.
            self.lease.until = min(self.lease.until, self.connection_lease_until)
        self.outputs.append(SendToDistributor(Acknowledge(update.number, update.version, update.digest)))
        self.outputs.append(UpdateApplied(update.version, changed))
        if is_for_request:
            self.on_request_answered()

    def on_request_answered(self) -> None:
        self.has_open_request = False
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
        reason = REJECT_REASONS[type(error)]
        self.outputs.append(SendToDistributor(Reject(update.number, reason, self.version, error.what)))
        fields = {"distributor": self.connector.distributor, "reason": reason.name}
        self.outputs.append(Note("update_rejected", error.fields() | fields))
        if reason is RejectReason.OLDER:
            self.leave_distributor("it tells an older version", retry_after=self.limits.backoff)

    def on_refused(self, message: Refused) -> None:
        fields = {
            "distributor": self.connector.distributor,
            "reason": message.reason.name,
            "why": message.why,
        }
        self.outputs.append(Note("subscription_refused", fields))
        self.leave_distributor(message.why, retry_after=max(message.again, 1))

    # ---- the lease ---------------------------------------------------------------------------------

    def renew_now(self) -> None:
        self.lease.due = self.now
        self.renew()

    def renew(self) -> None:
        number = self.lease.ask(self.now)
        if number is not None:
            self.outputs.append(SendToDistributor(Renew(number)))

    def on_current(self, message: Current) -> None:
        if message.age is None:
            return
        until = self.lease.heard(LeaseRenewed(message.number, LEASE_INCARNATION), message.age)
        self.connection_lease_until = max(self.connection_lease_until, until)
        if self.now < self.lease.until:
            self.connector.deadlines.on_current(self.lease.until)
