"""Base class of all structs that are encoded into snapshots, records and messages.  No I/O."""

from __future__ import annotations

import hashlib

import msgspec


class Row(msgspec.Struct, array_like=True):
    """A struct that is encoded as an array.

    Fields are only ever added, at the end and with a default, so that the previous and the next version of
    the program can decode a row.
    """


def digest(body: bytes, salt: int = 0) -> bytes:
    """Returns a 16-byte BLAKE2b digest; `salt` keeps digests of types or versions apart."""
    return hashlib.blake2b(body, digest_size=16, salt=salt.to_bytes(2, "big")).digest()
