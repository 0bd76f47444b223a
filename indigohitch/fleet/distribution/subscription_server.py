"""Answers subscribers of a distributor and sends them updates.  No I/O."""

from __future__ import annotations

from ...errors import DirectorError
from ..membership.leases import grantor_span
from .admission import Admission
from .convergence import ConvergenceTracker
from .errors import (
    DistributorBehindError,
    DistributorClosingError,
    DistributorFullError,
    DistributorStartingError,
    ScopeTooLargeError,
    SubscriberReplacedError,
    SubscriberTimeoutError,
    SubscriptionRefusedError,
    UnknownVersionError,
)
from .interfaces import CloseConnection, DistributorOutput, MessageReceived, Note, SendToSubscriber
from .limits import Limits
from .messages import (
    Acknowledge,
    Current,
    Refused,
    Reject,
    RejectReason,
    Renew,
    Subscribe,
)
from .pending_updates import encoded_size
from .resource_store import ResourceStore
from .subscriber_registry import PendingClaim, SubscriberRegistry
from .subscription import Subscription
from .types import NO_VERSION, Version


class SubscriptionServer:
    """Handles messages of subscribers and collects the outputs."""

    def __init__(self, store: ResourceStore, limits: Limits, tracker: ConvergenceTracker, now: int) -> None:
        self.store = store
        self.limits = limits
        self.tracker = tracker
        self.subscribers = SubscriberRegistry()
        self.admission = Admission(limits)
        # Latest time at which the store had certainly caught up with the ledger; 0: not since the start.
        self.caught_up_at = 0
        self.is_shutting_down = False
        self.now = now
        self.outputs: list[DistributorOutput] = []
        self.handlers = {
            Subscribe: self.subscribe,
            Acknowledge: self.acknowledge,
            Reject: self.reject,
            Renew: self.renew,
        }

    def take_outputs(self) -> list[DistributorOutput]:
        """Sends pending updates as far as the limits allow, and returns all outputs."""
        self.admission.serve_ready(self.now, self.serve)
        outputs = self.outputs
        self.outputs = []
        return outputs

    def forget(self, connection: int) -> None:
        """Removes a connection and its subscription."""
        self.admission.remove(connection)
        subscription = self.subscribers.remove(connection)
        if subscription is not None:
            self.tracker.on_disconnected(self.now, subscription)

    def close(self, connection: int, reason: str) -> None:
        """Closes a connection if it is open."""
        if connection in self.subscribers.names:
            self.forget(connection)
            self.outputs.append(CloseConnection(connection, reason))

    def refuse(self, connection: int, cause: SubscriptionRefusedError | ScopeTooLargeError) -> None:
        """Refuses a subscription and closes the connection."""
        message = Refused(cause.reason, self.store.version, self.limits.retry_after, str(cause))
        self.outputs.append(SendToSubscriber(connection, message))
        self.close(connection, cause.problem)

    def log_error(self, event: str, error: DirectorError) -> None:
        """Adds an error to the log."""
        self.outputs.append(Note(event, error.log_fields()))

    # ---- messages ----------------------------------------------------------------------------------

    def on_message(self, event: MessageReceived) -> None:
        """Handles a message of a subscriber; errors close the connection."""
        if event.connection not in self.subscribers.names:
            return  # already closed by this distributor
        handler = self.handlers.get(type(event.message))
        if handler is None:
            self.close(event.connection, f"unexpected message {type(event.message).__name__}")
            return
        try:
            handler(event.connection, event.message)
        except (SubscriptionRefusedError, ScopeTooLargeError) as cause:
            self.refuse(event.connection, cause)
        except DirectorError as error:
            self.log_error("subscriber_closed", error)
            self.close(event.connection, str(error))

    def subscribe(self, connection: int, claim: Subscribe) -> None:
        """Accepts, changes, postpones or refuses a subscription."""
        if connection in self.subscribers.subscriptions:
            self.subscribers.subscriptions[connection].change_subscription(claim)
            self.subscribers.update_index(connection)
            self.admission.enqueue(connection)
        elif self.is_shutting_down:
            raise DistributorClosingError("this distributor is about to end")
        elif not self.caught_up_at:
            raise DistributorStartingError("not level with the ledger since it started")
        elif self.subscribers.other_count(connection) >= self.limits.subscribers:
            raise DistributorFullError(f"serves {self.limits.subscribers} subscribers")
        elif self.limits.guard_versions and claim.held > self.store.version:
            self.subscribers.hold_claim(connection, PendingClaim(claim, self.now))
        else:
            self.accept(connection, claim)

    def accept(self, connection: int, claim: Subscribe, void: Version = NO_VERSION) -> None:
        """Starts a subscription that resumes from what the subscriber holds."""
        name = self.subscribers.names[connection]
        subscription = Subscription(connection, name, self.store, self.limits)
        subscription.resume(self.now, claim)
        self.subscribers.resolve_claim(connection)
        if void != NO_VERSION:
            subscription.reject_claimed_version(self.now, void)
            self.log_error(
                "version_void",
                UnknownVersionError(f"claimed version {void.text()} was never committed", name),
            )
        previous = self.subscribers.connection_of(name)
        if previous is not None:
            replaced = SubscriberReplacedError("subscriber connected again", name)
            self.log_error("subscriber_replaced", replaced)
            self.close(previous, replaced.text())
        self.subscribers.subscribe(connection, subscription)
        self.tracker.on_connected(name)
        self.admission.enqueue(connection)

    def acknowledge(self, connection: int, message: Acknowledge) -> None:
        """Handles the ACK of an update."""
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is not None and subscription.acknowledge(message) is not None:
            self.on_update_completed(connection)

    def reject(self, connection: int, message: Reject) -> None:
        """Handles the NACK of an update."""
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is None:
            return
        self.outputs.append(
            Note(
                "update_rejected",
                {"subscriber": subscription.subscriber, "reason": message.reason.name, "why": message.why},
            )
        )
        is_behind = message.reason is RejectReason.OLDER or message.held > self.store.version
        if is_behind and self.limits.guard_versions:
            raise DistributorBehindError(f"the subscriber holds {message.held.text()}")
        if subscription.reject(message) is not None:
            self.on_update_completed(connection)

    def on_update_completed(self, connection: int) -> None:
        """Frees the update's capacity after an ACK or NACK, and queues the next update if one is pending."""
        self.admission.on_acknowledged(connection)
        self.subscribers.update_index(connection)
        if self.subscribers.subscriptions[connection].has_pending_update:
            self.admission.enqueue(connection)

    def renew(self, connection: int, message: Renew) -> None:
        """Answers a lease renewal."""
        subscription = self.subscribers.subscriptions.get(connection)
        age = self.confirmed_age(subscription) if subscription is not None else None
        if age is not None:
            lease_until = self.now - age + grantor_span(self.limits.lease, self.limits.drift)
            subscription.lease_until = max(subscription.lease_until, lease_until)
        self.outputs.append(SendToSubscriber(connection, Current(message.number, self.store.version, age)))

    def confirmed_age(self, subscription: Subscription) -> int | None:
        """Returns the age of the latest time up to which all commits are acknowledged; None if unknown."""
        missing = subscription.missing
        caught_up_at = self.caught_up_at if missing is None else missing.caught_up_at
        return self.now - caught_up_at if subscription.is_confirmed and caught_up_at else None

    # ---- updates -----------------------------------------------------------------------------------

    def serve(self, connection: int) -> bool:
        """Sends a connection's pending update if it may be sent now; returns whether it was sent."""
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is None or not subscription.has_pending_update:
            self.admission.waiting_large.pop(connection, None)
            return False
        if self.now < subscription.not_before:
            self.admission.delay(connection, subscription.not_before)
            return False
        try:
            update = subscription.compose()
        except ScopeTooLargeError as error:
            self.refuse(connection, error)
            return False
        if not self.admission.may_send(connection, encoded_size(update.changes)):
            return False
        subscription.on_sent(self.now, update)
        self.admission.on_sent(connection, subscription.in_flight.size)
        self.outputs.append(SendToSubscriber(connection, update))
        return True

    # ---- periodic work -----------------------------------------------------------------------------

    def on_caught_up(self, confirmed_at: int) -> None:
        """Resolves claims, as the store has all entries that were committed at `confirmed_at`."""
        self.caught_up_at = max(self.caught_up_at, confirmed_at)
        for connection, claim in list(self.subscribers.claims.items()):
            if claim.message.held <= self.store.version:
                self.accept_claim(connection, claim.message)
            elif confirmed_at >= claim.claimed_at:
                # If the claimed version had been committed, the store would have it by now.
                self.accept_claim(connection, claim.message, claim.message.held)

    def accept_claim(self, connection: int, message: Subscribe, void: Version = NO_VERSION) -> None:
        """Accepts a claim, or refuses a scope that is too large."""
        try:
            self.accept(connection, message, void)
        except ScopeTooLargeError as error:
            self.refuse(connection, error)

    def close_overdue(self) -> None:
        """Closes connections without an ACK, and refuses claims that could not be resolved."""
        for connection in self.subscribers.unacknowledged(self.now - self.limits.acknowledge_timeout):
            name = self.subscribers.names[connection]
            silent = SubscriberTimeoutError("update was not acknowledged in time", name)
            self.log_error("subscriber_silent", silent)
            self.close(connection, silent.text())
        for connection in self.subscribers.claims_before(self.now - self.limits.retry_after):
            self.refuse(connection, DistributorBehindError("the subscriber holds a newer version"))
