"""Backends as the resources of services, and what the decision module is to be told of them.  No I/O.

A resource `instance/ID` of a service is one backend: its body is an entry of discovery's list, as JSON.
Other resources are not read.  A backend that two services name is told as the first of them has it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

import orjson

from .. import interface as face
from ..platform_protocol.discovery import parse_backend_list
from .errors import InvalidInstanceError

RESOURCE_PREFIX = "instance/"
BackendId = str


@dataclass(slots=True, frozen=True)
class Instance:
    """`address`: host:port, as discovery tells it."""

    entry: face.BackendEntry
    address: str


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """For the module, with the addresses of all that are named in it."""

    backend_list: face.BackendList
    addresses: dict[BackendId, str]


def parse_instance(service: str, backend: BackendId, body: bytes) -> Instance:
    """Raises UnreadableInstance."""
    where = f"service {service}, resource {RESOURCE_PREFIX}{backend}"
    try:
        found = {"generation": 0, "reset": False, "instances": [orjson.loads(body)]}
        news, addresses = parse_backend_list(found)
    except ValueError as bad:
        raise InvalidInstanceError(str(bad), where) from None
    (listed,) = news.entries
    if listed.backend != backend:
        raise InvalidInstanceError(f"it names {listed.backend}", where)
    return Instance(listed, addresses[listed.backend])


class Instances:
    """What the services hold, and what was told of it."""

    def __init__(self) -> None:
        self.services: dict[str, dict[BackendId, Instance]] = {}
        self.bodies: dict[str, dict[BackendId, bytes]] = {}  # by service, as they were read last
        self.reported: dict[BackendId, Instance] = {}

    def update(self, service: str, bodies: Mapping[str, bytes]) -> list[InvalidInstanceError]:
        """The service holds these resources now; without any it is no more in the scope."""
        before, read = self.services.pop(service, {}), self.bodies.pop(service, {})
        named = {
            key.removeprefix(RESOURCE_PREFIX): body
            for key, body in bodies.items()
            if key.startswith(RESOURCE_PREFIX)
        }
        held: dict[BackendId, Instance] = {}
        unreadable = []
        for backend, body in named.items():
            if backend in before:
                held[backend] = before[backend]  # stands, where the body is the same or can't be read
            if read.get(backend) == body:
                continue
            try:
                held[backend] = parse_instance(service, backend, body)
            except InvalidInstanceError as bad:
                unreadable.append(bad)
        if named:
            self.services[service], self.bodies[service] = held, named
        return unreadable

    def current_instances(self) -> dict[BackendId, Instance]:
        """All backends named; those told as gone are not."""
        found: dict[BackendId, Instance] = {}
        for service in sorted(self.services):
            for backend, instance in self.services[service].items():
                found.setdefault(backend, instance)
        return {id: instance for id, instance in found.items() if instance.entry.state != "gone"}

    def full_list(self, version: int) -> ListUpdate | None:
        """As a list that is complete; None where it would be empty."""
        self.reported = wanted = self.current_instances() or self.reported
        if not wanted:
            return None
        return ListUpdate(face.BackendList("full", version, entries_of(wanted)), addresses_of(wanted))

    def list_changes(self, version: int) -> ListUpdate | None:
        """Since what was told; None: nothing, or all are gone."""
        wanted = self.current_instances()
        changed = {id: instance for id, instance in wanted.items() if self.reported.get(id) != instance}
        gone = {
            id: replace(instance, entry=replace(instance.entry, state="gone"))
            for id, instance in self.reported.items()
            if id not in wanted
        }
        if not wanted or not (changed or gone):
            return None
        self.reported = wanted
        differing = changed | gone
        return ListUpdate(
            face.BackendList("changes", version, entries_of(differing)), addresses_of(differing)
        )

    @property
    def is_empty(self) -> bool:
        return not self.current_instances()


def entries_of(instances: Mapping[BackendId, Instance]) -> tuple[face.BackendEntry, ...]:
    return tuple(instance.entry for instance in instances.values())


def addresses_of(instances: Mapping[BackendId, Instance]) -> dict[BackendId, str]:
    return {id: instance.address for id, instance in instances.items()}
