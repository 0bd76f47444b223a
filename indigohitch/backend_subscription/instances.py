"""Backends as resources of services, and the backend lists for the decision module.  No I/O.

A resource `instance/ID` of a service is one backend: its body is an entry of discovery's list, as JSON.
Other resources are not read.  Of a backend that two services name, the first service in alphabetical order
counts.
"""

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
    """One backend: its list entry and its address as `host:port`."""

    entry: face.BackendEntry
    address: str


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A backend list for the decision module, with the addresses of the backends in it."""

    backend_list: face.BackendList
    addresses: dict[BackendId, str]


def parse_instance(service: str, backend: BackendId, body: bytes) -> Instance:
    """Parse the body of one resource; raises InvalidInstanceError."""
    where = f"service {service}, resource {RESOURCE_PREFIX}{backend}"
    try:
        found = {"generation": 0, "reset": False, "instances": [orjson.loads(body)]}
        backend_list, addresses = parse_backend_list(found)
    except ValueError as error:
        raise InvalidInstanceError(str(error), where) from None
    (listed,) = backend_list.entries
    if listed.backend != backend:
        raise InvalidInstanceError(f"it names {listed.backend}", where)
    return Instance(listed, addresses[listed.backend])


class Instances:
    """The backends of all services, and the list that was reported last."""

    def __init__(self) -> None:
        """Start without services and without a reported list."""
        self.services: dict[str, dict[BackendId, Instance]] = {}
        self.bodies: dict[str, dict[BackendId, bytes]] = {}  # by service, as they were read last
        self.reported: dict[BackendId, Instance] = {}

    def update(self, service: str, bodies: Mapping[str, bytes]) -> list[InvalidInstanceError]:
        """Replace a service's resources (none removes it); returns the errors of invalid ones."""
        previous = self.services.pop(service, {})
        previous_bodies = self.bodies.pop(service, {})
        named = {
            key.removeprefix(RESOURCE_PREFIX): body
            for key, body in bodies.items()
            if key.startswith(RESOURCE_PREFIX)
        }
        instances: dict[BackendId, Instance] = {}
        errors: list[InvalidInstanceError] = []
        for backend, body in named.items():
            if backend in previous:
                # Kept where the body is the same or can't be read.
                instances[backend] = previous[backend]
            if previous_bodies.get(backend) == body:
                continue
            try:
                instances[backend] = parse_instance(service, backend, body)
            except InvalidInstanceError as error:
                errors.append(error)
        if named:
            self.services[service] = instances
            self.bodies[service] = named
        return errors

    def current_instances(self) -> dict[BackendId, Instance]:
        """Return all backends of all services but those in the state `gone`."""
        found: dict[BackendId, Instance] = {}
        for service in sorted(self.services):
            for backend, instance in self.services[service].items():
                found.setdefault(backend, instance)
        return {backend: instance for backend, instance in found.items() if instance.entry.state != "gone"}

    def full_list(self, version: int) -> ListUpdate | None:
        """Return the complete list; None where it would be empty."""
        current = self.current_instances() or self.reported
        self.reported = current
        if not current:
            return None
        return ListUpdate(face.BackendList("full", version, entries_of(current)), addresses_of(current))

    def list_changes(self, version: int) -> ListUpdate | None:
        """Return the changes since the last report; None without changes or without any backend."""
        current = self.current_instances()
        changed = {
            backend: instance
            for backend, instance in current.items()
            if self.reported.get(backend) != instance
        }
        removed = {
            backend: replace(instance, entry=replace(instance.entry, state="gone"))
            for backend, instance in self.reported.items()
            if backend not in current
        }
        if not current or not (changed or removed):
            return None
        self.reported = current
        differing = changed | removed
        return ListUpdate(
            face.BackendList("changes", version, entries_of(differing)), addresses_of(differing)
        )

    @property
    def is_empty(self) -> bool:
        """Whether no service names a backend."""
        return not self.current_instances()


def entries_of(instances: Mapping[BackendId, Instance]) -> tuple[face.BackendEntry, ...]:
    """Return the list entries of these backends, in their order."""
    return tuple(instance.entry for instance in instances.values())


def addresses_of(instances: Mapping[BackendId, Instance]) -> dict[BackendId, str]:
    """Return the address of each of these backends."""
    return {backend: instance.address for backend, instance in instances.items()}
