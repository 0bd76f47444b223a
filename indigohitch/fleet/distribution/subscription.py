"""One subscriber at a distributor: what it has acknowledged and what to send it next.  No I/O.

Pending changes are kept as a set of service names, not as a queue of updates: an update is composed from the
store at the time it can be sent.  One update is in flight at a time, so the subscriber holds either the
acknowledged version or the one in flight.
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
    """Keeps the state of one subscription and composes its updates."""

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
        self.void_version = NO_VERSION  # claimed by the subscriber, but never committed
        # Services that changed after the version that was acknowledged or is in flight.
        self.changed_services: dict[ServiceName, MissingChange] = {}
        # Services to send in full; None: the subscriber holds no content of it that could be outdated.
        self.full_resend: dict[ServiceName, MissingChange | None] = {}
        self.in_flight: InFlightUpdate | None = None
        self.pending_scope: Subscribe | None = None  # requested while an update was in flight
        self.has_response = False  # an update for the current request has been acknowledged
        self.update_number = 0
        self.rejections = 0
        self.not_before = 0  # time before which no further update is sent
        self.lease_until = 0  # upper bound, by the local clock, of the subscriber's lease

    # ---- requests for a scope ----------------------------------------------------------------------

    def resume(self, now: int, claim: Subscribe) -> None:
        """Resumes from what the subscriber holds; raises ScopeTooLargeError.

        Services with an equal digest are not sent.  Others are sent as a delta from the held version if the
        store changed them after that, else in full.
        """
        self.start_request(claim)
        self.acknowledged = claim.held
        if claim.held != NO_VERSION:  # another distributor may have just renewed its lease
            self.lease_until = now + grantor_span(self.limits.lease, self.limits.drift)
        lacking = MissingChange(Version(claim.held.term, claim.held.index + 1), now, 0)
        for claimed in claim.services:
            can_resume = bool(claimed.digest) and self.limits.resume
            if can_resume and claimed.digest == self.store.digest(claimed.service):
                continue
            if can_resume and self.store.changed_at(claimed.service) > claim.held:
                self.changed_services[claimed.service] = lacking
            else:
                self.full_resend[claimed.service] = lacking if claimed.digest else None

    def change_subscription(self, claim: Subscribe) -> None:
        """Changes the scope once no update is in flight; raises ScopeTooLargeError."""
        self.check_scope(claim)
        if self.in_flight is not None:
            self.pending_scope = claim
        else:
            self.change_scope(claim)

    def change_scope(self, claim: Subscribe) -> None:
        """Changes the scope: services that stay keep their pending changes, added ones are sent in full."""
        previous_scope = set(self.scope)
        full_resend = self.full_resend
        changed_services = self.changed_services
        self.start_request(claim)
        added = [name for name in self.scope if name not in previous_scope]
        self.full_resend = {name: full_resend[name] for name in self.scope if name in full_resend}
        self.full_resend.update(dict.fromkeys(added))
        self.changed_services = {
            name: changed_services[name] for name in self.scope if name in changed_services
        }

    def check_scope(self, claim: Subscribe) -> None:
        """Raises ScopeTooLargeError if a requested scope has too many services."""
        if len(claim.services) > self.limits.services:
            raise ScopeTooLargeError(f"{len(claim.services)} services", self.subscriber)

    def start_request(self, claim: Subscribe) -> None:
        """Starts the scope of a request; raises ScopeTooLargeError."""
        self.check_scope(claim)
        self.request_number = claim.request
        self.has_response = False
        self.scope = tuple(sorted({claimed.service for claimed in claim.services}))

    def reject_claimed_version(self, now: int, void: Version) -> None:
        """Starts over with a subscriber whose claimed version was never committed."""
        self.void_version = void
        self.acknowledged = NO_VERSION
        self.changed_services.clear()
        self.full_resend = dict.fromkeys(self.scope, MissingChange(Version(0, 1), now, 0))

    def resend_all(self, missing: MissingChange | None = None) -> None:
        """Marks the whole scope to be sent in full.

        `missing`: the oldest change in an update that the subscriber has not applied.
        """
        oldest = oldest_missing([missing, self.missing])
        self.full_resend = dict.fromkeys(self.scope, oldest)
        self.changed_services.clear()

    # ---- store changes and replies -----------------------------------------------------------------

    def on_service_changed(self, service: ServiceName, missing: MissingChange) -> None:
        """Marks a service as changed; its oldest unsent change determines the age."""
        sent_version = self.in_flight.version if self.in_flight is not None else self.acknowledged
        if service not in self.full_resend and self.store.changed_at(service) > sent_version:
            self.changed_services.setdefault(service, missing)

    def on_store_replaced(self, missing: MissingChange) -> None:
        """Checks all services: any may have changed, and their removals may no longer be remembered."""
        for service in self.scope:
            self.on_service_changed(service, missing)

    def acknowledge(self, message: Acknowledge) -> InFlightUpdate | None:
        """Returns the acknowledged update, or None if it is not in flight.

        Raises DigestMismatchError if the subscriber states another version or digest than was sent.
        """
        in_flight = self.in_flight
        if in_flight is None or message.number != in_flight.number:
            return None
        if message.version != in_flight.version or message.digest != in_flight.digest:
            raise DigestMismatchError(
                "the acknowledged version or digest differs from the update", self.subscriber
            )
        self.in_flight = None
        self.rejections = 0
        self.void_version = NO_VERSION
        self.acknowledged = in_flight.version
        self.has_response = self.has_response or in_flight.request == self.request_number
        self.apply_pending_scope()
        return in_flight

    def reject(self, message: Reject) -> InFlightUpdate | None:
        """Returns the rejected update, or None if it is not in flight.

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
            self.full_resend.update(dict.fromkeys(in_flight.whole_services, missing))
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

    # ---- outgoing updates --------------------------------------------------------------------------

    @property
    def has_pending_update(self) -> bool:
        """Whether an update is to be sent, and none is in flight."""
        return self.in_flight is None and (
            not self.has_response or bool(self.changed_services) or bool(self.full_resend)
        )

    def compose(self) -> Update:
        """Returns one update with all pending changes; raises ScopeTooLargeError."""
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
        """Records that the update is in flight."""
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

    # ---- missing changes ---------------------------------------------------------------------------

    @property
    def missing(self) -> MissingChange | None:
        """The oldest change that is not acknowledged, or None."""
        if self.in_flight is not None and self.in_flight.missing is not None:
            return self.in_flight.missing
        return oldest_missing([*self.changed_services.values(), *self.full_resend.values()])

    @property
    def is_confirmed(self) -> bool:
        """Whether the whole scope was acknowledged at some version of this distributor."""
        return self.has_response and not self.full_resend
