"""The resources of a distributor, with the versions of their changes and removals.

Deterministic, no I/O.  A bounded number of removed keys is remembered; a subscriber whose version is older
than those gets the whole service.  A change is encoded once and shared by all subscribers until the service
changes again.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping
from itertools import takewhile

import msgspec

from ...encoding.rows import Row
from .content import ServiceContent
from .messages import ServiceChange
from .types import NO_VERSION, Resource, ServiceName, Version

MAX_REMOVED_KEYS = 64  # removed keys remembered for each service, in addition to as many as it has resources
MAX_EMPTY_SERVICES = 4_096  # services without resources that are remembered
# Recent versions remembered: some hours of an ordinary day, or six seconds of ten times the worst burst.
MAX_VERSION_HISTORY = 4_096


class ServiceRow(Row):
    """Stores one service in a snapshot; resources and removed keys are in the order of their last change."""

    service: ServiceName
    resources: list[tuple[str, bytes, Version]]
    removed: list[tuple[str, Version]]
    floor: Version


class ResourceStoreRow(Row):
    """Stores all services in a snapshot."""

    version: Version = NO_VERSION
    floor: Version = NO_VERSION
    services: list[ServiceRow] = []


class StoredService:
    """Holds one service with its history.

    `changed` and `removed`: versions by key, in the order of change.  `floor`: version of the newest removal
    that is no longer remembered; deltas from older versions are impossible.
    """

    __slots__ = ("content", "changed", "removed", "floor", "version", "encoded")

    def __init__(self, service: ServiceName, floor: Version) -> None:
        self.content = ServiceContent(service)
        self.changed: dict[str, Version] = {}
        self.removed: dict[str, Version] = {}
        self.floor = floor
        self.version = NO_VERSION
        self.encoded: dict[tuple[int, int], msgspec.Raw] = {}

    def apply(self, version: Version, resources: Iterable[Resource], keys: Iterable[str]) -> bool:
        """Applies changes; returns whether the content differs now."""
        bodies = self.content.bodies
        changed = [each for each in resources if bodies.get(each.key) != each.body]
        removed = [key for key in dict.fromkeys(keys) if key in bodies]
        if not changed and not removed:
            return False
        for key in removed:
            del self.changed[key]
            self.removed[key] = version
        for resource in changed:
            self.removed.pop(resource.key, None)
            self.changed.pop(resource.key, None)
            self.changed[resource.key] = version
        self.content = self.content.with_changes(changed, removed)
        self.version = version
        self.encoded.clear()
        self.forget()
        return True

    def forget(self) -> None:
        """Forgets the oldest removed keys beyond the limit."""
        while len(self.removed) > MAX_REMOVED_KEYS + len(self.changed):
            oldest = next(iter(self.removed))
            self.floor = max(self.floor, self.removed.pop(oldest))

    def keys_since(self, version: Version) -> tuple[list[str], list[str]]:
        """Returns the keys changed and the keys removed after a version."""
        return keys_changed_after(self.changed, version), keys_changed_after(self.removed, version)

    def change(self, since: Version | None) -> msgspec.Raw:
        """Returns the encoded change since a version.

        It is the whole service if the version is None or older than the history, or if that is shorter.
        """
        bodies = self.content.bodies
        whole = since is None or since < self.floor or since == NO_VERSION
        changed, removed = ([], []) if whole else self.keys_since(since)
        whole = whole or len(changed) + len(removed) > len(bodies)
        cache_key = (-1, -1) if whole else (len(changed), len(removed))
        if cache_key not in self.encoded:
            keys = sorted(bodies) if whole else changed
            row = ServiceChange(
                self.content.service,
                whole,
                tuple(Resource(key, bodies[key]) for key in keys),
                () if whole else tuple(removed),
                self.content.digest,
            )
            self.encoded[cache_key] = msgspec.Raw(msgspec.msgpack.encode(row))
        return self.encoded[cache_key]


def keys_changed_after(versions: Mapping[str, Version], version: Version) -> list[str]:
    """Returns the keys changed after a version; `versions` is in the order of change."""
    return [key for key, _ in takewhile(lambda item: item[1] > version, reversed(versions.items()))]


class ResourceStore:
    """Holds all services by name, and the recent versions."""

    def __init__(self) -> None:
        self.version = NO_VERSION  # of the last entry that changed a resource
        self.floor = NO_VERSION  # up to this version the history of unknown services is forgotten
        self.services: dict[ServiceName, StoredService] = {}
        self.empty_services: dict[ServiceName, None] = {}  # in the order in which they became empty
        self.history: list[Version] = []  # recent versions, ascending; not part of the replicated state

    def apply(
        self,
        version: Version,
        changed: Mapping[ServiceName, Iterable[Resource]],
        removed: Mapping[ServiceName, Iterable[str]],
    ) -> tuple[ServiceName, ...]:
        """Applies the changes of one ledger entry; returns the services whose content differs now."""
        names = list(dict.fromkeys([*changed, *removed]))
        changed_services = [
            name
            for name in names
            if self.apply_to_service(name, version, changed.get(name, ()), removed.get(name, ()))
        ]
        if changed_services:
            self.version = version
            self.history.append(version)
            if len(self.history) > 2 * MAX_VERSION_HISTORY:
                del self.history[:MAX_VERSION_HISTORY]
        return tuple(changed_services)

    def apply_to_service(
        self, name: ServiceName, version: Version, resources: Iterable[Resource], keys: Iterable[str]
    ) -> bool:
        """Applies changes to one service; returns whether its content differs now."""
        service = self.services.get(name)
        if service is None:
            service = StoredService(name, self.floor)
        if not service.apply(version, resources, keys):
            return False
        self.services[name] = service
        self.empty_services.pop(name, None)
        if not service.content.bodies:
            self.empty_services[name] = None
            self.forget()
        return True

    def forget(self) -> None:
        """Forgets the services that have been empty longest, beyond the limit."""
        while len(self.empty_services) > MAX_EMPTY_SERVICES:
            oldest = next(iter(self.empty_services))
            del self.empty_services[oldest]
            self.floor = max(self.floor, self.services.pop(oldest).version)

    # ---- queries -----------------------------------------------------------------------------------

    def content(self, name: ServiceName) -> ServiceContent:
        """Returns the content of a service; an unknown one is empty."""
        service = self.services.get(name)
        return service.content if service is not None else ServiceContent(name)

    def resources(self, name: ServiceName) -> Mapping[str, bytes]:
        """Returns the bodies of a service by key."""
        return self.content(name).bodies

    def digest(self, name: ServiceName) -> bytes:
        """Returns the digest of a service."""
        return self.content(name).digest

    def changed_at(self, name: ServiceName) -> Version:
        """Returns the version of the last change, or for an unknown service the latest that it can have."""
        service = self.services.get(name)
        return service.version if service is not None else self.floor

    def change(self, name: ServiceName, since: Version | None) -> msgspec.Raw:
        """Returns an encoded `ServiceChange`: the change since a version, or the whole service for None."""
        service = self.services.get(name)
        return (service if service is not None else StoredService(name, self.floor)).change(since)

    def before(self, version: Version) -> Version | None:
        """Returns the last version before `version`, or None if it is not remembered."""
        position = bisect_left(self.history, version)
        return self.history[position - 1] if position else None

    def after(self, version: Version) -> Version:
        """Returns the first remembered version after `version`, or else the lowest possible one."""
        position = bisect_right(self.history, version)
        if position < len(self.history):
            return self.history[position]
        return Version(version.term, version.index + 1)

    # ---- snapshots ---------------------------------------------------------------------------------

    def row(self) -> ResourceStoreRow:
        """Returns the state for a snapshot."""
        services = [
            ServiceRow(
                name,
                [
                    (key, service.content.bodies[key], changed_at)
                    for key, changed_at in service.changed.items()
                ],
                list(service.removed.items()),
                service.floor,
            )
            for name, service in sorted(self.services.items(), key=lambda item: (item[1].version, item[0]))
        ]
        return ResourceStoreRow(self.version, self.floor, services)

    def restore(self, row: ResourceStoreRow) -> None:
        """Replaces the state by that of a snapshot."""
        self.version = row.version
        self.floor = row.floor
        self.services = {}
        self.empty_services = {}
        self.history = [row.version]
        for each in row.services:
            service = StoredService(each.service, each.floor)
            self.services[each.service] = service
            service.content = ServiceContent(each.service, {key: body for key, body, _ in each.resources})
            service.changed = {key: changed_at for key, _, changed_at in each.resources}
            service.removed = dict(each.removed)
            service.version = max([*service.changed.values(), *service.removed.values()])
            if not service.changed:
                self.empty_services[each.service] = None
