"""The table of routes: which RPC a request is.  No I/O.

A route is a method and a path pattern: literal segments, `{name}` for one segment, a last `**` for any rest.
They stand in a trie of segments, so that a look-up costs the path's segments and not the routes.  The most
literal route wins, segment by segment; the order of the file does not count."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import InvalidRequestError

REST = "**"


@dataclass(slots=True, eq=False)
class Route:
    method: str  # of HTTP; "*": any
    pattern: str
    rpc: object  # what it names, an interface.Method
    pool: object
    key: tuple[str, str]  # ("path", segment's place), ("header", name), ("query", name), ("none", "")
    line: int = 0  # of the file
    served: int = 0


@dataclass(slots=True)
class _Node:
    literal: dict[str, _Node] = field(default_factory=dict)
    any: _Node | None = None
    here: dict[str, Route] = field(default_factory=dict)  # by method
    rest: dict[str, Route] = field(default_factory=dict)


class Doubled(InvalidRequestError):
    """The same method and pattern a second time."""


def segments(path: str) -> list[str]:
    return path.strip("/").split("/") if path.strip("/") else []


class Routes:
    def __init__(self) -> None:
        self.root = _Node()
        self.all: list[Route] = []

    def add(self, route: Route) -> None:
        """Raises Doubled, or ValueError for a pattern that can't be read."""
        if not route.pattern.startswith("/"):
            raise ValueError("a path begins with /")
        node, names = self.root, segments(route.pattern)
        for place, name in enumerate(names):
            if name == REST:
                if place != len(names) - 1:
                    raise ValueError("** stands only at the end of a path")
                break
            if name.startswith("{") and name.endswith("}"):
                node.any = node.any or _Node()
                node = node.any
            elif set(name) & set("{}*"):
                raise ValueError(f"neither a name nor a whole placeholder: {name}")
            else:
                node = node.literal.setdefault(name, _Node())
        ends = node.rest if names and names[-1] == REST else node.here
        if route.method in ends:
            raise Doubled(f"the same route stands in line {ends[route.method].line}")
        ends[route.method] = route
        self.all.append(route)

    def find(self, method: str, path: str) -> Route | int:
        """The route, or the status of the refusal: 404, or 405 where only the method differs."""
        found = self._find(self.root, segments(path), 0, method)
        if isinstance(found, Route):
            return found
        return 405 if found else 404

    def _find(self, node: _Node, names: list[str], at: int, method: str) -> Route | bool:
        """Else whether any other method has one.  A pattern can't be met in more than 2 ways a segment, and a
        path longer than any pattern ends soon; a bound on the target's length bounds the rest."""
        other = False
        if at == len(names):
            route = node.here.get(method) or node.here.get("*")
            if route is not None:
                return route
            other = bool(node.here)
        else:
            for child in (node.literal.get(names[at]), node.any):
                if child is not None:
                    found = self._find(child, names, at + 1, method)
                    if isinstance(found, Route):
                        return found
                    other |= found
        route = node.rest.get(method) or node.rest.get("*")
        return route if route is not None else other or bool(node.rest)
