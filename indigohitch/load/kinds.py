"""Which RPC a request is, and whether it may run twice: by a sidecar's file, else by HTTP method.  No I/O."""

from __future__ import annotations

from collections.abc import Callable

# RFC 9110, 9.2.2: idempotent methods.  POST and PATCH are not, whatever a server makes of them.
IDEMPOTENT = frozenset(("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"))

Kind = Callable[[str, str], tuple[str, bool]]


def by_method(method: str, target: str) -> tuple[str, bool]:
    """The RPC's name, method and first segment, and whether it is non-idempotent."""
    first = target.partition("?")[0].strip("/").partition("/")[0]
    return f"{method} /{first}", method not in IDEMPOTENT


def by_routes(routes) -> Kind:
    """As the routes of a sidecar's file have it; what has no route there goes by its method."""

    def kind(method: str, target: str) -> tuple[str, bool]:
        route = routes.find(method, target.partition("?")[0])
        if isinstance(route, int):
            return by_method(method, target)
        return route.rpc.name, route.rpc.repeat != "idempotent"

    return kind
