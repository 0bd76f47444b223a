"""The part `distribution` of the state machine: services and their resources, as operators and discovery set
them.  Deterministic, no I/O."""

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
MAX_SERVICE_BYTES = 256 << 10  # a quarter of what one update may have


class ServiceResources(Row, frozen=True):
    service: ServiceName
    resources: tuple[Resource, ...]


class ServiceKeys(Row, frozen=True):
    service: ServiceName
    keys: tuple[str, ...]


class SetResources(Row, frozen=True):
    """`distribution.set`: these resources stand as given; all others stay."""

    services: tuple[ServiceResources, ...]


class RemoveResources(Row, frozen=True):
    """`distribution.remove`: these resources go, where they are."""

    services: tuple[ServiceKeys, ...]


class ReplaceResources(Row, frozen=True):
    """`distribution.replace`: these services hold what is given and nothing else; without any they go."""

    services: tuple[ServiceResources, ...]


class DistributionPart:
    """StateMachinePart.  Each entry returns the names of the services that it changed."""

    name = "distribution"
    kinds = {"set": SetResources, "remove": RemoveResources, "replace": ReplaceResources}
    state_machine: StateMachine

    def __init__(self) -> None:
        self.store = ResourceStore()

    def apply(
        self, context: EntryContext, kind: str, body: SetResources | RemoveResources | ReplaceResources
    ) -> tuple[ServiceName, ...]:
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
        """Keys that stand and are not among these."""
        given = {resource.key for resource in resources}
        return [key for key in self.store.resources(service) if key not in given]

    def check(self, services: Iterable[ServiceResources], keeps_others: bool) -> None:
        """Raises Unfit.  `keeps`: what stands stays beside what is given."""
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
        return self.store.row()

    def restore(self, row: bytes) -> None:
        try:
            found = msgspec.msgpack.decode(row, type=ResourceStoreRow)
        except msgspec.MsgspecError as error:
            raise InvalidDataError(f"not the services of a state machine: {error}") from None
        self.store.restore(found)


def check_resource(service: ServiceName, resource: Resource) -> None:
    """Raises Unfit."""
    for name in (service, resource.key):
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise InvalidRequestError(f"a name of {len(name)} characters", service, f"1 to {MAX_NAME_LENGTH}")
    if len(resource.body) > MAX_BODY_BYTES:
        raise InvalidRequestError(
            f"{len(resource.body)} bytes of {resource.key}", service, f"{MAX_BODY_BYTES} at most"
        )
