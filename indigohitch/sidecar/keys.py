"""The key of a request, and the slice that a key belongs to. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import unquote_to_bytes

import xxhash

from ..config.routes import Route, segments


def key_of(route: Route, target: str, path: str, header: Callable[[bytes], list[bytes]]) -> bytes | None:
    """Returns the key that the route selects, None if the request has none.

    `header(name)` returns the values of a header field.
    """
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
    """Returns the slice of the key: its xxh3 hash modulo the number of slices."""
    return xxhash.xxh3_64_intdigest(key) % slices
