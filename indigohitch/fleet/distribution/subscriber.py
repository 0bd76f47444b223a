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
        chance: random.Random,
        now: int,
    ) -> None:
        self.name, self.limits = name, limits
        self.held = SubscriberScope(limits.guard_versions)
        self.wanted = frozenset(services)
        self.asked: frozenset[ServiceName] = frozenset()  # the scope of the last Subscribe
        self.request = 0
        self.open_request = False  # the last Subscribe is not answered yet
        self.connecting = DistributorConnector(name, distributors, limits, chance, now)
        self.holder = LeaseHolder(limits.lease, limits.drift)
        self.holder.start(LEASE_INCARNATION)
        self.lease_here = 0  # until when answers over this connection alone let the content count as current
        self.alone = False  # no distributor answers; logged once
        self.now, self.out = now, []
        self.steps = {
            ConnectionEstablished: self.connected,
            ConnectionLost: self.lost,
            DistributorMessageReceived: self.told,
            ScopeChanged: self.rescope,
            Tick: self.timed,
        }
        self.words = {Update: self.update, Current: self.current, Refused: self.refused}

    # ---- from outside ------------------------------------------------------------------------------

    def step(self, now: int, input: SubscriberInput) -> list[SubscriberOutput]:
        """What to do, in order."""
        self.now, self.out = now, []
        self.steps[type(input)](input)
        out, self.out = self.out, []
        return out

    @property
    def due(self) -> int:
        """When `Due` is to come at the latest."""
        connecting = self.connecting
        return min(connecting.due, self.holder.renewal_due_at) if connecting.is_connected else connecting.due

    @property
    def version(self) -> Version:
        """That it holds; NO_VERSION before the first update."""
        return self.held.version

    @property
    def digest(self) -> bytes:
        """Of the whole scope, as held."""
        return self.held.digest

    def resources(self, service: ServiceName) -> Mapping[str, bytes]:
        """Bodies by key, as held; empty for a service that is not held."""
        content = self.held.services.get(service)
        return content.bodies if content is not None else {}

    def acting_until(self, now: int) -> int:
        """The content counts as current before this (own clock); it stands after that, but is stale."""
        return self.holder.valid_until

    def age(self, now: int) -> int | None:
        """The content has all that was committed so long ago; None: never confirmed."""
        return now - (self.holder.valid_until - self.holder.duration) if self.holder.valid_until else None

    def figures(self, now: int) -> dict:
        """For `status`, as plain JSON."""
        return {
            "phase": self.connecting.phase.value,
            "distributor": self.connecting.distributor,
            "version": self.version.text(),
            "age": self.age(now),
            "current": now < self.acting_until(now),
            "services": len(self.held.services),
            "resources": sum(len(content.bodies) for content in self.held.services.values()),
        }

    def timed(self, input: Tick) -> None:
        if self.connecting.phase is ConnectionPhase.WAITING:
            if self.now >= self.connecting.dial_at:
                self.dial()
            return
        left = self.connecting.leave_impatiently(self.now, self.holder.valid_until)
        if left is not None:
            self.out.append(left)
        elif self.connecting.is_connected:
            self.renew()

    def dial(self) -> None:
        dial = self.connecting.dial(self.now)
        if dial is not None:
            self.out.append(dial)
        elif not self.alone and self.connecting.choice.none_answers():
            self.alone = True
            trouble = NoDistributorError("no distributor answers", self.name)
            fields = {"version": self.version.text(), "age": self.age(self.now)}
            self.out.append(Note("no_distributor", trouble.log_fields() | fields))

    def connected(self, input: ConnectionEstablished) -> None:
        if self.connecting.connected(self.now, input.distributor):
            self.lease_here = 0
            self.subscribe()
            self.renew_at_once()

    def lost(self, input: ConnectionLost) -> None:
        self.connecting.lost(self.now, input.distributor)

    def leave(self, why: str, failed: bool = False, again: int = 0) -> None:
        """`again`: not there before so long."""
        self.out.append(self.connecting.leave(self.now, why, failed, again))

    # ---- the subscription --------------------------------------------------------------------------

    def rescope(self, input: ScopeChanged) -> None:
        """What is held stays until the first update for the new scope."""
        self.wanted = input.services
        if self.connecting.phase is ConnectionPhase.SERVED:
            self.subscribe_anew()

    def subscribe(self) -> None:
        self.request += 1
        self.asked, self.open_request = self.wanted, True
        claim = self.held.claim(self.asked)
        self.out.append(SendToDistributor(Subscribe(self.request, self.version, claim)))

    def subscribe_anew(self) -> None:
        """One subscription is out at a time."""
        if not self.open_request and self.wanted != self.asked:
            self.subscribe()

    def told(self, input: DistributorMessageReceived) -> None:
        connecting = self.connecting
        if not connecting.is_connected or input.distributor != connecting.distributor:
            return  # of a connection that is over
        connecting.patience.heard(self.now)
        handle = self.words.get(type(input.message))
        if handle is None:
            self.leave(f"a distributor doesn't say {type(input.message).__name__}", failed=True)
        else:
            handle(input.message)

    def update(self, update: Update) -> None:
        answers = update.request == self.request and self.open_request
        scope = self.asked if answers else frozenset(self.held.services)
        added = scope - self.held.services.keys()
        back = update.version < self.version
        try:
            changed = self.held.apply(update, scope)
        except (OlderVersionError, UnknownBaseError, DigestMismatchError, InvalidDataError) as refused:
            self.reject(update, refused)
            return
        if back:
            self.holder.drop()  # it was given for what never was
        elif added:
            # Another distributor that was ahead of this one knew nothing of what has been added.
            self.holder.valid_until = min(self.holder.valid_until, self.lease_here)
        self.out.append(SendToDistributor(Acknowledge(update.number, update.version, update.digest)))
        self.out.append(UpdateApplied(update.version, changed))
        if answers:
            self.answered()

    def answered(self) -> None:
        self.open_request, self.alone = False, False
        if self.connecting.phase is ConnectionPhase.SUBSCRIBING:
            self.connecting.served()
        self.renew_at_once()
        self.subscribe_anew()

    def reject(
        self,
        update: Update,
        refused: OlderVersionError | UnknownBaseError | DigestMismatchError | InvalidDataError,
    ) -> None:
        reason = REJECT_REASONS[type(refused)]
        self.out.append(SendToDistributor(Reject(update.number, reason, self.version, refused.problem)))
        fields = {"distributor": self.connecting.distributor, "reason": reason.name}
        self.out.append(Note("update_rejected", refused.log_fields() | fields))
        if reason is RejectReason.OLDER:
            self.leave("it tells an older version", again=self.limits.backoff)

    def refused(self, word: Refused) -> None:
        fields = {"distributor": self.connecting.distributor, "reason": word.reason.name, "why": word.why}
        self.out.append(Note("subscription_refused", fields))
        self.leave(word.why, again=max(word.again, 1))

    # ---- the lease ---------------------------------------------------------------------------------

    def renew_at_once(self) -> None:
        self.holder.renewal_due_at = self.now
        self.renew()

    def renew(self) -> None:
        number = self.holder.next_renewal(self.now)
        if number is not None:
            self.out.append(SendToDistributor(Renew(number)))

    def current(self, word: Current) -> None:
        if word.age is None:
            return
        until = self.holder.on_renewed(LeaseRenewed(word.number, LEASE_INCARNATION), word.age)
        self.lease_here = max(self.lease_here, until)
        if self.now < self.holder.valid_until:
            self.connecting.patience.current(self.holder.valid_until)
