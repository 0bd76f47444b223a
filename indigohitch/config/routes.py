"""The route table: finds the RPC of a request by method and path.  No I/O.

A route is a method and a path pattern: literal segments, `{name}` for any one segment, and a final `**` for
any number of segments.  The routes are kept in a trie of segments, so that a look-up depends on the length of
the path and not on the number of routes.  The most literal route wins, segment by segment; the order in the
file does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import InvalidRequestError

WILDCARD = "**"


@dataclass(slots=True, eq=False)
class Route:
    """A `route` line; `key` says where a request carries its key, `served` counts requests."""

    method: str  # HTTP method; "*" matches any
    pattern: str
    rpc: object  # the interface.Method that the route names
    pool: object
    key: tuple[str, str]  # ("path", segment's index), ("header", name), ("query", name), ("none", "")
    line: int = 0  # line number in the file
    served: int = 0


@dataclass(slots=True)
class _Node:
    literal: dict[str, _Node] = field(default_factory=dict)
    placeholder: _Node | None = None
    exact: dict[str, Route] = field(default_factory=dict)  # routes that end here, by method
    wildcard: dict[str, Route] = field(default_factory=dict)  # routes that end here with `**`, by method


class DuplicateRouteError(InvalidRequestError):
    """Another route has the same method and pattern."""


def segments(path: str) -> list[str]:
    """Splits a path at `/`, without the slashes at either end; `/` has no segments."""
    return path.strip("/").split("/") if path.strip("/") else []


class Routes:
    """The routes of a file; `all` lists them in the order of the file."""

    def __init__(self) -> None:
        self.root = _Node()
        self.all: list[Route] = []

    def add(self, route: Route) -> None:
        """Adds a route.

        Raises:
            DuplicateRouteError: A route with the same method and pattern exists.
            ValueError: The pattern is invalid.
        """
        if not route.pattern.startswith("/"):
            raise ValueError("a path begins with /")
        node, names = self.root, segments(route.pattern)
        for position, segment in enumerate(names):
            if segment == WILDCARD:
                if position != len(names) - 1:
                    raise ValueError("** stands only at the end of a path")
                break
            if segment.startswith("{") and segment.endswith("}"):
                node.placeholder = node.placeholder or _Node()
                node = node.placeholder
            elif set(segment) & set("{}*"):
                raise ValueError(f"neither a name nor a whole placeholder: {segment}")
            else:
                node = node.literal.setdefault(segment, _Node())
        ends = node.wildcard if names and names[-1] == WILDCARD else node.exact
        if route.method in ends:
            raise DuplicateRouteError(f"the same route stands in line {ends[route.method].line}")
        ends[route.method] = route
        self.all.append(route)

    def find(self, method: str, path: str) -> Route | int:
        """Returns the route, or an HTTP status: 405 if only the method does not match, else 404."""
        found = self._find(self.root, segments(path), 0, method)
        if isinstance(found, Route):
            return found
        return 405 if found else 404

    def _find(self, node: _Node, names: list[str], depth: int, method: str) -> Route | bool:
        """Returns the route, or whether a route of another method matches.

        Each segment is tried in at most 2 ways, and a path longer than any pattern ends early; the limit on
        the length of the request target bounds the rest.
        """
        other_method = False
        if depth == len(names):
            route = node.exact.get(method) or node.exact.get("*")
            if route is not None:
                return route
            other_method = bool(node.exact)
        else:
            for child in (node.literal.get(names[depth]), node.placeholder):
                if child is not None:
                    found = self._find(child, names, depth + 1, method)
                    if isinstance(found, Route):
                        return found
                    other_method |= found
        route = node.wildcard.get(method) or node.wildcard.get("*")
        return route if route is not None else other_method or bool(node.wildcard)
