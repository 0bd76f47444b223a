"""Content of a service and of a scope, with digests.  Immutable, no I/O.

The digest of a scope covers the digests of its services by name, and each of those its resources by key: a
Merkle tree of two levels.  Services are small (17 resources on average), so a change recomputes only the
digest of its service.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

import msgspec

from ...encoding.rows import digest
from .types import Resource, ServiceName

SERVICE_SALT = 3
SCOPE_SALT = 4


class ServiceContent:
    """Resources of one service: bodies by key.

    A service without resources is equivalent to an unknown one.
    """

    __slots__ = ("service", "bodies", "_digest")

    def __init__(self, service: ServiceName, bodies: Mapping[str, bytes] | None = None) -> None:
        self.service = service
        self.bodies: Mapping[str, bytes] = bodies if bodies is not None else {}
        self._digest = b""

    @property
    def digest(self) -> bytes:
        """The digest, computed on first use, so that a burst of changes computes it once."""
        if not self._digest:
            encoded = msgspec.msgpack.encode([self.service, sorted(self.bodies.items())])
            self._digest = digest(encoded, SERVICE_SALT)
        return self._digest

    def with_changes(self, changed: Iterable[Resource], removed: Iterable[str]) -> ServiceContent:
        """Returns a copy with these changes applied."""
        bodies = dict(self.bodies)
        for key in removed:
            bodies.pop(key, None)
        for resource in changed:
            bodies[resource.key] = resource.body
        return ServiceContent(self.service, bodies)


def scope_digest(contents: Collection[ServiceContent]) -> bytes:
    """Returns the digest of a scope's services, given in any order; each service's digest covers its name."""
    ordered = sorted(contents, key=lambda content: content.service)
    return digest(b"".join(content.digest for content in ordered), SCOPE_SALT)
