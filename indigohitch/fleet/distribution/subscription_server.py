"""What a distributor answers to its subscribers, and what it sends them.  No I/O."""

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
from .resource_store import ResourceStore
from .subscriber_registry import PendingClaim, SubscriberRegistry
from .subscription import Subscription, encoded_size
from .types import NO_VERSION, Version


class SubscriptionServer:
    def __init__(self, catalogue: ResourceStore, limits: Limits, tally: ConvergenceTracker, now: int) -> None:
        self.catalogue, self.limits, self.tally = catalogue, limits, tally
        self.subscribers = SubscriberRegistry()
        self.admission = Admission(limits)
        self.level = 0  # when the distributor was last surely level with the ledger; 0: not since it started
        self.closing = False
        self.now = now
        self.out: list[DistributorOutput] = []
        self.words = {
            Subscribe: self.subscribe,
            Acknowledge: self.acknowledge,
            Reject: self.reject,
            Renew: self.renew,
        }

    def take(self) -> list[DistributorOutput]:
        """What is to be done after all that waits and may go has gone."""
        self.admission.turn(self.now, self.serve)
        out, self.out = self.out, []
        return out

    def forget(self, connection: int) -> None:
        self.admission.left(connection)
        subscription = self.subscribers.leave(connection)
        if subscription is not None:
            self.tally.departs(self.now, subscription)

    def close(self, connection: int, why: str) -> None:
        if connection in self.subscribers.names:
            self.forget(connection)
            self.out.append(CloseConnection(connection, why))

    def refuse(self, connection: int, cause: SubscriptionRefusedError | ScopeTooLargeError) -> None:
        word = Refused(cause.reason, self.catalogue.version, self.limits.again, str(cause))
        self.out.append(SendToSubscriber(connection, word))
        self.close(connection, cause.problem)

    def note(self, event: str, trouble: DirectorError) -> None:
        self.out.append(Note(event, trouble.log_fields()))

    # ---- what subscribers say ----------------------------------------------------------------------

    def heard(self, input: MessageReceived) -> None:
        if input.connection not in self.subscribers.names:
            return  # closed here meanwhile
        handle = self.words.get(type(input.message))
        if handle is None:
            self.close(input.connection, f"a subscriber doesn't say {type(input.message).__name__}")
            return
        try:
            handle(input.connection, input.message)
        except (SubscriptionRefusedError, ScopeTooLargeError) as cause:
            self.refuse(input.connection, cause)
        except DirectorError as trouble:
            self.note("subscriber_closed", trouble)
            self.close(input.connection, str(trouble))

    def subscribe(self, connection: int, claim: Subscribe) -> None:
        if connection in self.subscribers.subscriptions:
            self.subscribers.subscriptions[connection].subscribe_anew(claim)
            self.subscribers.index(connection)
            self.admission.want(connection)
        elif self.closing:
            raise DistributorClosingError("this distributor is about to end")
        elif not self.level:
            raise DistributorStartingError("not level with the ledger since it started")
        elif self.subscribers.count_besides(connection) >= self.limits.subscribers:
            raise DistributorFullError(f"serves {self.limits.subscribers} subscribers")
        elif self.limits.guard_versions and claim.held > self.catalogue.version:
            self.subscribers.doubt(connection, PendingClaim(claim, self.now))
        else:
            self.accept(connection, claim)

    def accept(self, connection: int, claim: Subscribe, void: Version = NO_VERSION) -> None:
        name = self.subscribers.names[connection]
        subscription = Subscription(connection, name, self.catalogue, self.limits)
        subscription.resume(self.now, claim)
        self.subscribers.decided(connection)
        if void != NO_VERSION:
            subscription.forget_claim(self.now, void)
            self.note("version_void", UnknownVersionError(f"version {void.text()} is claimed", name))
        earlier = self.subscribers.connection_of(name)
        if earlier is not None:
            replaced = SubscriberReplacedError("connected again", name)
            self.note("subscriber_replaced", replaced)
            self.close(earlier, replaced.text())
        self.subscribers.serve(connection, subscription)
        self.tally.arrives(name)
        self.admission.want(connection)

    def acknowledge(self, connection: int, word: Acknowledge) -> None:
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is not None and subscription.acknowledge(word) is not None:
            self.update_answered(connection)

    def reject(self, connection: int, word: Reject) -> None:
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is None:
            return
        self.out.append(
            Note(
                "update_rejected",
                {"subscriber": subscription.subscriber, "reason": word.reason.name, "why": word.why},
            )
        )
        older = word.reason is RejectReason.OLDER or word.held > self.catalogue.version
        if older and self.limits.guard_versions:
            raise DistributorBehindError(f"the subscriber holds {word.held.text()}")
        elif subscription.reject(word) is not None:
            self.update_answered(connection)

    def update_answered(self, connection: int) -> None:
        """A scope that came while the update was out begins now."""
        self.admission.answered(connection)
        self.subscribers.index(connection)
        if self.subscribers.subscriptions[connection].waiting:
            self.admission.want(connection)

    def renew(self, connection: int, word: Renew) -> None:
        subscription = self.subscribers.subscriptions.get(connection)
        age = self.age(subscription) if subscription is not None else None
        if age is not None:
            until = self.now - age + grantor_span(self.limits.lease, self.limits.drift)
            subscription.acting_until = max(subscription.acting_until, until)
        self.out.append(SendToSubscriber(connection, Current(word.number, self.catalogue.version, age)))

    def age(self, subscription: Subscription) -> int | None:
        """All that was committed so long ago is in what the subscriber has acknowledged."""
        missing = subscription.missing
        level = self.level if missing is None else missing.level
        return self.now - level if subscription.confirmed and level else None

    # ---- what goes out -----------------------------------------------------------------------------

    def serve(self, connection: int) -> bool:
        """Sends what that subscriber lacks, if it may go now."""
        subscription = self.subscribers.subscriptions.get(connection)
        if subscription is None or not subscription.waiting:
            self.admission.large.pop(connection, None)
            return False
        if self.now < subscription.not_before:
            self.admission.pace(connection, subscription.not_before)
            return False
        try:
            update = subscription.compose()
        except ScopeTooLargeError as too_large:
            self.refuse(connection, too_large)
            return False
        if not self.admission.fits(connection, encoded_size(update.changes)):
            return False
        subscription.sent(self.now, update)
        self.admission.sent(connection, subscription.flight.size)
        self.out.append(SendToSubscriber(connection, update))
        return True

    # ---- once in a while ---------------------------------------------------------------------------

    def level_reached(self, asked: int) -> None:
        """All that was committed at `asked` is in the catalogue: claims in doubt can be judged."""
        self.level = max(self.level, asked)
        for connection, claim in list(self.subscribers.claims.items()):
            if claim.word.held <= self.catalogue.version:
                self.accept_claim(connection, claim.word)
            elif asked >= claim.since:
                # Had it ever been committed, it would stand here by now.
                self.accept_claim(connection, claim.word, claim.word.held)

    def accept_claim(self, connection: int, word: Subscribe, void: Version = NO_VERSION) -> None:
        try:
            self.accept(connection, word, void)
        except ScopeTooLargeError as too_large:
            self.refuse(connection, too_large)

    def sweep(self) -> None:
        """Ends with those that don't answer, and sends away those whose claim could not be judged."""
        for connection in self.subscribers.unanswered(self.now - self.limits.acknowledge):
            name = self.subscribers.names[connection]
            silent = SubscriberTimeoutError("an update was not answered in time", name)
            self.note("subscriber_silent", silent)
            self.close(connection, silent.text())
        for connection in self.subscribers.doubts_before(self.now - self.limits.again):
            self.refuse(connection, DistributorBehindError("the subscriber holds a newer version"))
