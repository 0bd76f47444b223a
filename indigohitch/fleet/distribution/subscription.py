"""One subscriber at a distributor: what it has acknowledged and what it is sent next.  No I/O.

Pending changes are a set of service names, never a queue: an update is composed from the store when it can be
sent.  One update is in flight at a time, so the subscriber holds what it acknowledged or what is in flight,
and nothing else.
"""

from __future__ import annotations

from ..membership.leases import grantor_span
from .content import scope_digest
from .errors import DigestMismatchError, ScopeTooLargeError
from .limits import Limits
from .messages import Acknowledge, Reject, RejectReason, Subscribe, Update
from .pending_updates import InFlightUpdate, MissingChange, encoded_size, oldest_missing
from .resource_store import ResourceStore
from .types import NO_VERSION, ServiceName, SubscriberName, Version, subscriber_mark


class Subscription:
    """The state of one subscription."""

    def __init__(
        self, connection: int, subscriber: SubscriberName, store: ResourceStore, limits: Limits
    ) -> None:
        self.connection = connection
        self.subscriber = subscriber
        self.mark = subscriber_mark(subscriber)
        self.store = store
        self.limits = limits
        self.request_number = 0
        self.scope: tuple[ServiceName, ...] = ()
        self.acknowledged = NO_VERSION
        self.void_version = NO_VERSION  # claimed, and never was
        self.changed_services: dict[
            ServiceName, MissingChange
        ] = {}  # changed since what was acknowledged or is out
        # To be sent whole; None: nothing is held of it, so nothing older is acted on.
        self.full_resend: dict[ServiceName, MissingChange | None] = {}
        self.in_flight: InFlightUpdate | None = None
        self.pending_scope: Subscribe | None = None  # came while an update was out
        self.has_response = False  # an update for this request has been acknowledged
        self.update_number = 0
        self.rejections = 0
        self.not_before = 0  # the pace
        self.acting_until = 0  # own clock: the last confirmation counts until then

    # ---- what it holds -----------------------------------------------------------------------------

    def resume(self, now: int, claim: Subscribe) -> None:
        """Starts from what the subscriber holds; raises ScopeTooLargeError.

        Services with an equal digest are not sent, others as a delta from the held version.
        """
        self.start_request(claim)
        self.acknowledged = claim.held
        if claim.held != NO_VERSION:  # another distributor may have renewed its lease a moment ago
            self.acting_until = now + grantor_span(self.limits.lease, self.limits.drift)
        lacking = MissingChange(Version(claim.held.term, claim.held.index + 1), now, 0)
        for claimed in claim.services:
            known = bool(claimed.digest) and self.limits.resume
            if known and claimed.digest == self.store.digest(claimed.service):
                continue
            if known and self.store.changed_at(claimed.service) > claim.held:
                self.changed_services[claimed.service] = lacking
            else:
                self.full_resend[claimed.service] = lacking if claimed.digest else None

    def change_subscription(self, claim: Subscribe) -> None:
        """Changes the scope, after the update in flight if any; raises ScopeTooLargeError."""
        self.check_scope(claim)
        if self.in_flight is not None:
            self.pending_scope = claim
        else:
            self.change_scope(claim)

    def change_scope(self, claim: Subscribe) -> None:
        """Keeps pending changes of services that stay; added services are sent whole."""
        before = set(self.scope)
        unknown = self.full_resend
        dirty = self.changed_services
        self.start_request(claim)
        added = [name for name in self.scope if name not in before]
        self.full_resend = {name: unknown[name] for name in self.scope if name in unknown}
        self.full_resend.update(dict.fromkeys(added))
        self.changed_services = {name: dirty[name] for name in self.scope if name in dirty}

    def check_scope(self, claim: Subscribe) -> None:
        """Raises ScopeTooLargeError for too many services."""
        if len(claim.services) > self.limits.services:
            raise ScopeTooLargeError(f"{len(claim.services)} services", self.subscriber)

    def start_request(self, claim: Subscribe) -> None:
        """Starts the scope of a request; raises ScopeTooLargeError."""
        self.check_scope(claim)
        self.request_number = claim.request
        self.has_response = False
        self.scope = tuple(sorted({claimed.service for claimed in claim.services}))

    def reject_claimed_version(self, now: int, void: Version) -> None:
        """Starts over for a subscriber whose claimed version never existed."""
        self.void_version = void
        self.acknowledged = NO_VERSION
        self.changed_services.clear()
        self.full_resend = dict.fromkeys(self.scope, MissingChange(Version(0, 1), now, 0))

    def resend_all(self, missing: MissingChange | None = None) -> None:
        """Marks the whole scope to be resent.

        `missing`: the oldest change in an update that was not applied.
        """
        oldest = oldest_missing([missing, self.missing])
        self.full_resend = dict.fromkeys(self.scope, oldest)
        self.changed_services.clear()

    # ---- what happens ------------------------------------------------------------------------------

    def on_service_changed(self, service: ServiceName, missing: MissingChange) -> None:
        """Marks a service as changed; of several changes the oldest counts for the age."""
        sent_version = self.in_flight.version if self.in_flight is not None else self.acknowledged
        if service not in self.full_resend and self.store.changed_at(service) > sent_version:
            self.changed_services.setdefault(service, missing)

    def on_store_replaced(self, missing: MissingChange) -> None:
        """Checks all services: any may have changed, and removals may be forgotten."""
        for service in self.scope:
            self.on_service_changed(service, missing)

    def acknowledge(self, message: Acknowledge) -> InFlightUpdate | None:
        """Returns the acknowledged update; None if it is not in flight.

        Raises DigestMismatchError if the subscriber claims to hold something other than it was sent.
        """
        in_flight = self.in_flight
        if in_flight is None or message.number != in_flight.number:
            return None
        if message.version != in_flight.version or message.digest != in_flight.digest:
            raise DigestMismatchError("an acknowledgement of something else than was sent", self.subscriber)
        self.in_flight = None
        self.rejections = 0
        self.void_version = NO_VERSION
        self.acknowledged = in_flight.version
        self.has_response = self.has_response or in_flight.request == self.request_number
        self.apply_pending_scope()
        return in_flight

    def reject(self, message: Reject) -> InFlightUpdate | None:
        """Returns the rejected update; None if it is not in flight.

        Raises DigestMismatchError after too many rejections in a row.
        """
        in_flight = self.in_flight
        if in_flight is None or message.number != in_flight.number:
            return None
        self.in_flight = None
        self.rejections += 1
        if self.rejections >= self.limits.max_rejections:
            raise DigestMismatchError(
                f"{self.rejections} updates rejected in a row: {message.why}", self.subscriber
            )
        if message.reason is RejectReason.BASE and self.rejections == 1:
            missing = in_flight.missing or MissingChange(in_flight.version, in_flight.sent_at, 0)
            self.acknowledged = message.held
            self.full_resend.update(dict.fromkeys(in_flight.unknown, missing))
            self.on_store_replaced(missing)
        else:
            self.resend_all(in_flight.missing)
        self.apply_pending_scope()
        return in_flight

    def apply_pending_scope(self) -> None:
        """Changes to a scope that was requested while an update was in flight."""
        if self.pending_scope is not None:
            claim = self.pending_scope
            self.pending_scope = None
            self.change_scope(claim)

    # ---- what goes out -----------------------------------------------------------------------------

    @property
    def has_pending_update(self) -> bool:
        """Whether an update is to be sent."""
        return self.in_flight is None and (
            not self.has_response or bool(self.changed_services) or bool(self.full_resend)
        )

    def compose(self) -> Update:
        """Returns one update with all that the subscriber lacks; raises ScopeTooLargeError."""
        store = self.store
        whole = len(self.full_resend) == len(self.scope)
        changes = [store.change(name, None) for name in sorted(self.full_resend)]
        changes += [store.change(name, self.acknowledged) for name in sorted(self.changed_services)]
        size = encoded_size(changes)
        if size > self.limits.update_bytes:
            raise ScopeTooLargeError(f"an update of {size} bytes", self.subscriber)
        return Update(
            self.request_number,
            self.update_number + 1,
            self.acknowledged,
            store.version,
            scope_digest([store.content(name) for name in self.scope]),
            tuple(changes),
            whole,
            self.void_version,
        )

    def on_sent(self, now: int, update: Update) -> None:
        """Notes that the update is in flight."""
        self.update_number = update.number
        self.in_flight = InFlightUpdate(
            update.number,
            update.request,
            update.version,
            update.digest,
            encoded_size(update.changes),
            now,
            frozenset(self.full_resend),
            self.missing,
        )
        self.changed_services.clear()
        self.full_resend.clear()
        self.not_before = now + self.limits.update_interval

    # ---- what it lacks -----------------------------------------------------------------------------

    @property
    def missing(self) -> MissingChange | None:
        """The oldest change that is not acknowledged; None if there is none."""
        if self.in_flight is not None and self.in_flight.missing is not None:
            return self.in_flight.missing
        return oldest_missing([*self.changed_services.values(), *self.full_resend.values()])

    @property
    def is_confirmed(self) -> bool:
        """Whether the whole scope was acknowledged at some version of this distributor."""
        return self.has_response and not self.full_resend
