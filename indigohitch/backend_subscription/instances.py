"""Parses services' resources into backends and builds backend lists for the decision module.  No I/O.

The resource `instance/ID` of a service describes one backend; its body is a JSON object in the format of an
entry in discovery's list.  Other resources are ignored.  If two services contain the same backend, the first
service in alphabetical order wins.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

import orjson

from .. import interface
from ..platform_protocol.discovery import parse_backend_list
from .errors import InvalidInstanceError

RESOURCE_PREFIX = "instance/"
BackendId = str


@dataclass(slots=True, frozen=True)
class Instance:
    """One backend with its list entry and its address as `host:port`."""

    entry: interface.BackendEntry
    address: str


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """A backend list for the decision module, and the addresses of its backends."""

    backend_list: interface.BackendList
    addresses: dict[BackendId, str]


def parse_instance(service: str, backend: BackendId, body: bytes) -> Instance:
    """Parse the body of a resource.

    Raises:
        InvalidInstanceError: The body is not a valid entry, or is the entry of another backend.
    """
    location = f"service {service}, resource {RESOURCE_PREFIX}{backend}"
    try:
        listing = {"generation": 0, "reset": False, "instances": [orjson.loads(body)]}
        backend_list, addresses = parse_backend_list(listing)
    except ValueError as error:
        raise InvalidInstanceError(str(error), location) from None
    (entry,) = backend_list.entries
    if entry.backend != backend:
        raise InvalidInstanceError(f"the entry is for backend {entry.backend}", location)
    return Instance(entry, addresses[entry.backend])


class Instances:
    """Tracks the backends of all services and the list that was last reported."""

    def __init__(self) -> None:
        """Start with no services and no reported list."""
        self.services: dict[str, dict[BackendId, Instance]] = {}
        self.bodies: dict[str, dict[BackendId, bytes]] = {}  # last received bodies by service
        self.reported: dict[BackendId, Instance] = {}

    def update(self, service: str, bodies: Mapping[str, bytes]) -> list[InvalidInstanceError]:
        """Replace a service's resources and return the errors of invalid ones.

        A service without resources is removed.
        """
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
                # Stays in use if the body is unchanged or invalid.
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
        """Return the backends of all services, except those in the state `gone`."""
        merged: dict[BackendId, Instance] = {}
        for service in sorted(self.services):
            for backend, instance in self.services[service].items():
                merged.setdefault(backend, instance)
        return {backend: instance for backend, instance in merged.items() if instance.entry.state != "gone"}

    def full_list(self, version: int) -> ListUpdate | None:
        """Return the complete list, or None if there are no backends to report.

        The last reported backends are repeated if the services currently have none.
        """
        current = self.current_instances() or self.reported
        self.reported = current
        if not current:
            return None
        return ListUpdate(interface.BackendList("full", version, entries_of(current)), addresses_of(current))

    def list_changes(self, version: int) -> ListUpdate | None:
        """Return the changes since the last report, or None if nothing changed or no backend is left."""
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
            interface.BackendList("changes", version, entries_of(differing)), addresses_of(differing)
        )

    @property
    def is_empty(self) -> bool:
        """Whether the services contain no backends."""
        return not self.current_instances()


def entries_of(instances: Mapping[BackendId, Instance]) -> tuple[interface.BackendEntry, ...]:
    """Return the list entries of these backends, in the same order."""
    return tuple(instance.entry for instance in instances.values())


def addresses_of(instances: Mapping[BackendId, Instance]) -> dict[BackendId, str]:
    """Return the addresses of these backends by backend ID."""
    return {backend: instance.address for backend, instance in instances.items()}
