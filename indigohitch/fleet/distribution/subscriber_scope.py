"""What a subscriber holds: the content of its scope at one version.  No I/O.

An update is taken whole or not at all; what it can't be taken for is a typed error."""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from ...errors import InvalidDataError
from .content import ServiceContent, scope_digest
from .errors import DigestMismatchError, OlderVersionError, UnknownBaseError
from .messages import HeldService, RejectReason, ServiceChange, Update
from .types import NO_VERSION, ServiceName

# What a distributor is told of an update that can't be taken.
REJECT_REASONS = {
    OlderVersionError: RejectReason.OLDER,
    UnknownBaseError: RejectReason.BASE,
    DigestMismatchError: RejectReason.DIGEST,
    InvalidDataError: RejectReason.UNREADABLE,
}


class SubscriberScope:
    """`guard_versions` is False only in the proof, which has to fail then."""

    def __init__(self, guard_versions: bool = True) -> None:
        self.guard_versions = guard_versions
        self.version = NO_VERSION
        self.services: dict[ServiceName, ServiceContent] = {}

    @property
    def digest(self) -> bytes:
        return scope_digest(self.services.values())

    def claim(self, scope: Collection[ServiceName]) -> tuple[HeldService, ...]:
        """What is held of that scope, which may be another than the one held."""
        return tuple(
            HeldService(name, self.services[name].digest if name in self.services else b"")
            for name in sorted(scope)
        )

    def check_version(self, update: Update) -> None:
        """Never older than what is held, but for the one way back: what is held never was.  Raises
        OlderVersion."""
        if not self.guard_versions or update.version >= self.version:
            return
        if update.whole and update.void == self.version:
            return
        raise OlderVersionError(f"version {update.version.text()} after {self.version.text()}")

    def apply(self, update: Update, scope: Collection[ServiceName]) -> tuple[ServiceName, ...]:
        """Returns the services that are others now, were added or left.  Raises OlderVersion, UnknownBase,
        DigestMismatch, Unreadable; then nothing has changed."""
        self.check_version(update)
        if not update.whole and update.base != self.version:
            raise UnknownBaseError(f"an update of {update.base.text()}, held is {self.version.text()}")
        services = self.services_after(update, scope)
        if scope_digest(services.values()) != update.digest:
            raise DigestMismatchError(f"version {update.version.text()} has another content than told")
        changed = {
            name
            for name in services.keys() | self.services.keys()
            if services.get(name) is not self.services.get(name)
        }
        self.services = services
        self.version = update.version
        return tuple(sorted(changed))

    def services_after(
        self, update: Update, scope: Collection[ServiceName]
    ) -> dict[ServiceName, ServiceContent]:
        current = {} if update.whole else self.services
        services = {name: current.get(name) or ServiceContent(name) for name in scope}
        for raw in update.changes:
            change = decode_change(raw)
            if change.service not in services:
                raise InvalidDataError("a change of a service that is not in the scope", change.service)
            before = ServiceContent(change.service) if change.whole else services[change.service]
            services[change.service] = before.with_changes(change.changed, change.removed)
        return services


def decode_change(raw: msgspec.Raw) -> ServiceChange:
    """Raises Unreadable."""
    try:
        return msgspec.msgpack.decode(raw, type=ServiceChange)
    except msgspec.MsgspecError as error:
        raise InvalidDataError(f"not a change of a service: {error}") from None
