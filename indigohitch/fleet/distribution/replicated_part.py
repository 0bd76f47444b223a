"""The `distribution` part of the replicated state machine: services and their resources.

Deterministic, no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ...encoding.rows import Row
from ...errors import InvalidDataError, InvalidRequestError
from ..interfaces import EntryContext, StateMachine
from .resource_store import ResourceStore, ResourceStoreRow
from .types import Resource, ServiceName, Version

MAX_NAME_LENGTH = 255
MAX_BODY_BYTES = 4_096
MAX_SERVICE_BYTES = 256 << 10  # a quarter of the largest update


class ServiceResources(Row, frozen=True):
    """Lists resources of one service."""

    service: ServiceName
    resources: tuple[Resource, ...]


class ServiceKeys(Row, frozen=True):
    """Lists keys of resources of one service."""

    service: ServiceName
    keys: tuple[str, ...]


class SetResources(Row, frozen=True):
    """Sets these resources and keeps all others (`distribution.set`)."""

    services: tuple[ServiceResources, ...]


class RemoveResources(Row, frozen=True):
    """Removes these resources where they exist (`distribution.remove`)."""

    services: tuple[ServiceKeys, ...]


class ReplaceResources(Row, frozen=True):
    """Sets the resources of these services and removes their others (`distribution.replace`)."""

    services: tuple[ServiceResources, ...]


class DistributionPart:
    """Applies entries to a resource store, as a `StateMachinePart`.

    The result of each entry is the names of the services that it changed.
    """

    name = "distribution"
    kinds = {"set": SetResources, "remove": RemoveResources, "replace": ReplaceResources}
    state_machine: StateMachine

    def __init__(self) -> None:
        self.store = ResourceStore()

    def apply(
        self, context: EntryContext, kind: str, body: SetResources | RemoveResources | ReplaceResources
    ) -> tuple[ServiceName, ...]:
        """Applies an entry; raises InvalidRequestError."""
        version = Version(context.term, context.index)
        if len({each.service for each in body.services}) < len(body.services):
            raise InvalidRequestError(
                "a service is named twice", remedy="name all of its resources in one place"
            )
        if isinstance(body, RemoveResources):
            return self.store.apply(version, {}, {each.service: each.keys for each in body.services})
        self.check(body.services, keeps_others=isinstance(body, SetResources))
        changed = {each.service: each.resources for each in body.services}
        removed = {}
        if isinstance(body, ReplaceResources):
            removed = {name: self.keys_to_remove(name, resources) for name, resources in changed.items()}
        return self.store.apply(version, changed, removed)

    def keys_to_remove(self, service: ServiceName, resources: Iterable[Resource]) -> list[str]:
        """Returns the current keys of a service that are not among `resources`."""
        kept = {resource.key for resource in resources}
        return [key for key in self.store.resources(service) if key not in kept]

    def check(self, services: Iterable[ServiceResources], keeps_others: bool) -> None:
        """Checks names and sizes; raises InvalidRequestError.

        `keeps_others`: resources that the service already has stay, and count towards its size.
        """
        for each in services:
            bodies = dict(self.store.resources(each.service)) if keeps_others else {}
            for resource in each.resources:
                check_resource(each.service, resource)
                bodies[resource.key] = resource.body
            size = sum(len(key) + len(body) for key, body in bodies.items())
            if size > MAX_SERVICE_BYTES:
                raise InvalidRequestError(
                    f"{size} bytes of resources",
                    each.service,
                    f"split the service; one takes {MAX_SERVICE_BYTES} bytes",
                )

    def row(self) -> ResourceStoreRow:
        """Returns the state for a snapshot."""
        return self.store.row()

    def restore(self, row: bytes) -> None:
        """Replaces the state by that of a snapshot; raises InvalidDataError."""
        try:
            store_row = msgspec.msgpack.decode(row, type=ResourceStoreRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"not the services of a state machine: {error}") from None
        self.store.restore(store_row)


def check_resource(service: ServiceName, resource: Resource) -> None:
    """Checks the lengths of names and body; raises InvalidRequestError."""
    for name in (service, resource.key):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise InvalidRequestError(f"a name of {len(name)} characters", service, f"1 to {MAX_NAME_LENGTH}")
    if len(resource.body) > MAX_BODY_BYTES:
        raise InvalidRequestError(
            f"{len(resource.body)} bytes of {resource.key}", service, f"{MAX_BODY_BYTES} at most"
        )
