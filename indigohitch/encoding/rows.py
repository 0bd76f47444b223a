"""Rows: the base of all that is encoded into snapshots, records and messages.  No I/O."""

from __future__ import annotations

import hashlib

import msgspec


class Row(msgspec.Struct, array_like=True):
    """A struct encoded as an array.

    Fields are only ever added, at the end and with a default: a version older or newer by one reads it.
    """


def digest(body: bytes, salt: int = 0) -> bytes:
    """Returns 16 bytes (blake2b); `salt` separates kinds or versions that must not be confused."""
    return hashlib.blake2b(body, digest_size=16, salt=salt.to_bytes(2, "big")).digest()
