"""The content of a subscriber's scope at one version.  No I/O.

Updates are applied atomically; a rejected update raises a typed error.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec

from ...errors import InvalidDataError
from .content import ServiceContent, scope_digest
from .errors import DigestMismatchError, OlderVersionError, UnknownBaseError
from .messages import HeldService, RejectReason, ServiceChange, Update
from .types import NO_VERSION, ServiceName

# Reason stated in the NACK for each error.
REJECT_REASONS = {
    OlderVersionError: RejectReason.OLDER,
    UnknownBaseError: RejectReason.BASE,
    DigestMismatchError: RejectReason.DIGEST,
    InvalidDataError: RejectReason.UNREADABLE,
}


class SubscriberScope:
    """Holds the content; `guard_versions` is False only in proofs, which must then fail."""

    def __init__(self, guard_versions: bool = True) -> None:
        self.guard_versions = guard_versions
        self.version = NO_VERSION
        self.services: dict[ServiceName, ServiceContent] = {}

    @property
    def digest(self) -> bytes:
        """The digest of the whole scope."""
        return scope_digest(self.services.values())

    def claim(self, scope: Collection[ServiceName]) -> tuple[HeldService, ...]:
        """Returns what is held of a scope, which may differ from the current one."""
        return tuple(
            HeldService(name, self.services[name].digest if name in self.services else b"")
            for name in sorted(scope)
        )

    def check_version(self, update: Update) -> None:
        """Raises OlderVersionError if the update would go back to an older version.

        The only exception is an update that replaces a version which the ledger never committed.
        """
        if not self.guard_versions or update.version >= self.version:
            return
        if update.whole and update.void == self.version:
            return
        raise OlderVersionError(f"version {update.version.text()} after {self.version.text()}")

    def apply(self, update: Update, scope: Collection[ServiceName]) -> tuple[ServiceName, ...]:
        """Applies an update; returns the services that changed, were added or were removed.

        Raises OlderVersionError, UnknownBaseError, DigestMismatchError or InvalidDataError if the update is
        rejected; the content is then unchanged.
        """
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
        """Returns the content of the scope after an update; raises InvalidDataError."""
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
    """Decodes one change of an update; raises InvalidDataError."""
    try:
        return msgspec.msgpack.decode(raw, type=ServiceChange)
    except msgspec.MsgspecError as error:
        raise InvalidDataError(f"not a change of a service: {error}") from None
