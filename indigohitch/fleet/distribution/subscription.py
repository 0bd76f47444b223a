"""One subscriber at a distributor: what it holds or may hold, and what goes to it next.  No I/O.

What waits for it is a set of names of services, never a queue: an update is made from the catalogue when
it can go.  One update is out at a time, so the subscriber holds what it acknowledged or what is out, and
nothing else."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ..membership.leases import grantor_span
from .content import scope_digest
from .errors import DigestMismatchError, ScopeTooLargeError
from .limits import Limits
from .messages import Acknowledge, Reject, RejectReason, Subscribe, Update
from .resource_store import ResourceStore
from .types import NO_VERSION, ServiceName, SubscriberName, Version, subscriber_mark


@dataclass(slots=True, frozen=True)
class MissingChange:
    """A change that the subscriber lacks.  `since`: when this distributor applied it; `level`: when the
    distributor was last level with the ledger before that (0: never)."""

    version: Version
    since: int
    level: int


@dataclass(slots=True, frozen=True)
class InFlightUpdate:
    """An update that is out."""

    number: int
    request: int
    version: Version
    digest: bytes
    size: int
    sent: int
    unknown: frozenset[ServiceName]  # whole in it
    missing: MissingChange | None  # the oldest change in it


class Subscription:
    def __init__(
        self, connection: int, subscriber: SubscriberName, catalogue: ResourceStore, limits: Limits
    ) -> None:
        self.connection, self.subscriber = connection, subscriber
        self.mark = subscriber_mark(subscriber)
        self.catalogue, self.limits = catalogue, limits
        self.request = 0
        self.scope: tuple[ServiceName, ...] = ()
        self.acknowledged = NO_VERSION
        self.void = NO_VERSION  # claimed, and never was
        self.dirty: dict[ServiceName, MissingChange] = {}  # changed since what was acknowledged or is out
        # To be sent whole; None: nothing is held of it, so nothing older is acted on.
        self.unknown: dict[ServiceName, MissingChange | None] = {}
        self.flight: InFlightUpdate | None = None
        self.rescope: Subscribe | None = None  # came while an update was out
        self.answered = False  # an update for this request has been acknowledged
        self.number = 0
        self.rejections = 0
        self.not_before = 0  # the pace
        self.acting_until = 0  # by the clock here, what it was told last lets it count as current until then

    # ---- what it holds -----------------------------------------------------------------------------

    def resume(self, now: int, claim: Subscribe) -> None:
        """Begins from what the subscriber holds: by digest what is the same, by version what differs.  Raises
        ScopeTooLarge."""
        self.begin(claim)
        self.acknowledged = claim.held
        if claim.held != NO_VERSION:  # another distributor may have renewed its lease a moment ago
            self.acting_until = now + grantor_span(self.limits.lease, self.limits.drift)
        lacking = MissingChange(Version(claim.held.term, claim.held.index + 1), now, 0)
        for held in claim.services:
            known = bool(held.digest) and self.limits.resume
            if known and held.digest == self.catalogue.digest(held.service):
                continue
            if known and self.catalogue.changed_at(held.service) > claim.held:
                self.dirty[held.service] = lacking
            else:
                self.unknown[held.service] = lacking if held.digest else None

    def subscribe_anew(self, claim: Subscribe) -> None:
        """While an update is out, the new scope begins with the answer to it.  Raises ScopeTooLarge."""
        self.check_scope(claim)
        if self.flight is not None:
            self.rescope = claim
        else:
            self.change_scope(claim)

    def change_scope(self, claim: Subscribe) -> None:
        """What was in the scope before goes on; the rest is sent whole."""
        before, unknown, dirty = set(self.scope), self.unknown, self.dirty
        self.begin(claim)
        added = [name for name in self.scope if name not in before]
        self.unknown = {name: unknown[name] for name in self.scope if name in unknown}
        self.unknown.update(dict.fromkeys(added))
        self.dirty = {name: dirty[name] for name in self.scope if name in dirty}

    def check_scope(self, claim: Subscribe) -> None:
        if len(claim.services) > self.limits.services:
            raise ScopeTooLargeError(f"{len(claim.services)} services", self.subscriber)

    def begin(self, claim: Subscribe) -> None:
        self.check_scope(claim)
        self.request, self.answered = claim.request, False
        self.scope = tuple(sorted({held.service for held in claim.services}))

    def forget_claim(self, now: int, void: Version) -> None:
        """The version that the subscriber holds never was: all is sent whole, and until then it lacks all."""
        self.void, self.acknowledged = void, NO_VERSION
        self.dirty.clear()
        self.unknown = dict.fromkeys(self.scope, MissingChange(Version(0, 1), now, 0))

    def send_whole(self, missing: MissingChange | None = None) -> None:
        """`missing`: the oldest change that was in an update which came to nothing."""
        oldest = self.oldest([missing, self.missing])
        self.unknown = dict.fromkeys(self.scope, oldest)
        self.dirty.clear()

    # ---- what happens ------------------------------------------------------------------------------

    def changed(self, service: ServiceName, missing: MissingChange) -> None:
        """Changes of one service that wait become one: the oldest counts for how long."""
        out = self.flight.version if self.flight is not None else self.acknowledged
        if service not in self.unknown and self.catalogue.changed_at(service) > out:
            self.dirty.setdefault(service, missing)

    def catalogue_replaced(self, missing: MissingChange) -> None:
        """Any service may have changed; removals may have been forgotten."""
        for service in self.scope:
            self.changed(service, missing)

    def acknowledge(self, word: Acknowledge) -> InFlightUpdate | None:
        """The update that it answers; None for one that is not out.  Raises DigestMismatch for a subscriber
        that claims to hold something else than it was sent."""
        flight = self.flight
        if flight is None or word.number != flight.number:
            return None
        if word.version != flight.version or word.digest != flight.digest:
            raise DigestMismatchError("an acknowledgement of something else than was sent", self.subscriber)
        self.flight, self.rejections, self.void = None, 0, NO_VERSION
        self.acknowledged = flight.version
        self.answered = self.answered or flight.request == self.request
        self.start_rescope()
        return flight

    def reject(self, word: Reject) -> InFlightUpdate | None:
        """The update that it answers changed nothing; what it held stands.  Raises DigestMismatch where it
        takes nothing that it is sent."""
        flight = self.flight
        if flight is None or word.number != flight.number:
            return None
        self.flight = None
        self.rejections += 1
        if self.rejections >= self.limits.rejections:
            raise DigestMismatchError(
                f"{self.rejections} updates rejected in a row: {word.why}", self.subscriber
            )
        if word.reason is RejectReason.BASE and self.rejections == 1:
            missing = flight.missing or MissingChange(flight.version, flight.sent, 0)
            self.acknowledged = word.held
            self.unknown.update(dict.fromkeys(flight.unknown, missing))
            self.catalogue_replaced(missing)
        else:
            self.send_whole(flight.missing)
        self.start_rescope()
        return flight

    def start_rescope(self) -> None:
        if self.rescope is not None:
            claim, self.rescope = self.rescope, None
            self.change_scope(claim)

    # ---- what goes out -----------------------------------------------------------------------------

    @property
    def waiting(self) -> bool:
        """An update is to go once it may."""
        return self.flight is None and (not self.answered or bool(self.dirty) or bool(self.unknown))

    def compose(self) -> Update:
        """All that it lacks, as one update.  Raises ScopeTooLarge."""
        catalogue = self.catalogue
        whole = len(self.unknown) == len(self.scope)
        changes = [catalogue.change(name, None) for name in sorted(self.unknown)]
        changes += [catalogue.change(name, self.acknowledged) for name in sorted(self.dirty)]
        size = encoded_size(changes)
        if size > self.limits.update_bytes:
            raise ScopeTooLargeError(f"an update of {size} bytes", self.subscriber)
        return Update(
            self.request,
            self.number + 1,
            self.acknowledged,
            catalogue.version,
            scope_digest([catalogue.content(name) for name in self.scope]),
            tuple(changes),
            whole,
            self.void,
        )

    def sent(self, now: int, update: Update) -> None:
        self.number = update.number
        self.flight = InFlightUpdate(
            update.number,
            update.request,
            update.version,
            update.digest,
            encoded_size(update.changes),
            now,
            frozenset(self.unknown),
            self.missing,
        )
        self.dirty.clear()
        self.unknown.clear()
        self.not_before = now + self.limits.pace

    # ---- what it lacks -----------------------------------------------------------------------------

    @property
    def missing(self) -> MissingChange | None:
        """The oldest change that it has not acknowledged, None where it has all that are known here."""
        if self.flight is not None and self.flight.missing is not None:
            return self.flight.missing
        return self.oldest([*self.dirty.values(), *self.unknown.values()])

    @staticmethod
    def oldest(missing: Iterable[MissingChange | None]) -> MissingChange | None:
        some = [each for each in missing if each is not None]
        return min(some, key=lambda each: (each.version, each.since), default=None)

    @property
    def confirmed(self) -> bool:
        """It has acknowledged the whole of its scope, as it stood at some version of this distributor."""
        return self.answered and not self.unknown


def encoded_size(changes: Iterable[msgspec.Raw]) -> int:
    return sum(len(memoryview(change)) for change in changes)
