"""Rows: what goes into snapshots, records and words.  No I/O."""

from __future__ import annotations

import hashlib

import msgspec


class Row(msgspec.Struct, array_like=True):
    """Fields are only ever added, at the end and with a default: a version older or newer by one reads it."""


def digest(body: bytes, salt: int = 0) -> bytes:
    """16 bytes (blake2b); `salt` parts what must not be taken for another kind or version."""
    return hashlib.blake2b(body, digest_size=16, salt=salt.to_bytes(2, "big")).digest()
