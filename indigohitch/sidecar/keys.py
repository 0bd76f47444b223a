"""A request's key, and which slice it belongs to.  No I/O."""

from __future__ import annotations

from urllib.parse import unquote_to_bytes

import xxhash

from ..config.routes import Route, segments


def key_of(route: Route, target: str, path: str, header) -> bytes | None:
    """The key that the route names, None where the request has none.  `header(name)` gives its values."""
    kind, name = route.key
    if kind == "path":
        names = segments(path)
        return unquote_to_bytes(names[int(name)]) if int(name) < len(names) else None
    if kind == "header":
        values = header(name.encode())
        return values[0].strip() if values else None
    if kind == "query":
        for pair in target.partition("?")[2].split("&"):
            found, _, value = pair.partition("=")
            if found == name:
                return unquote_to_bytes(value.replace("+", " "))
    return None


def slice_of(key: bytes, slices: int) -> int:
    return xxhash.xxh3_64_intdigest(key) % slices
