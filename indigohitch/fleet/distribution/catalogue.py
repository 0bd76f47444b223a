"""What a distributor holds: services with their resources, the version each was last changed at, and what was
removed.  Deterministic, no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from .terms import Resource, ServiceName, Version


class Catalogue:
    version: Version  # of the last entry that changed anything

    def apply(
        self,
        version: Version,
        changed: Mapping[ServiceName, Iterable[Resource]],
        removed: Mapping[ServiceName, Iterable[str]],
    ) -> tuple[ServiceName, ...]:
        """Returns the services whose content is another now."""
        raise NotImplementedError

    def resources(self, service: ServiceName) -> Mapping[str, bytes]:
        raise NotImplementedError

    def digest(self, service: ServiceName) -> bytes:
        raise NotImplementedError
