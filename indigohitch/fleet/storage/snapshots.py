"""Snapshots as bytes: magic, form, length, digest, then the msgpack of `Snapshot`.  No I/O."""

from __future__ import annotations

import struct

import msgspec

from ...encoding.rows import digest
from ..raft.interfaces import Snapshot
from .records import CorruptStorageError

MAGIC = b"IHBOOK\r\n"
FORM = 1
_HEAD = struct.Struct("!8sHQ16s")


def encode(snapshot: Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    body = msgspec.msgpack.encode(snapshot)
    return _HEAD.pack(MAGIC, FORM, len(body), digest(body, FORM)) + body


def decode(data: bytes, where: str) -> Snapshot:
    """Reads a snapshot file; raises CorruptStorageError, as a crash leaves none incomplete."""
    if len(data) < _HEAD.size:
        raise CorruptStorageError("a snapshot ends within its head", where)
    magic, form, length, check = _HEAD.unpack_from(data)
    body = data[_HEAD.size :]
    if magic != MAGIC or not FORM - 1 <= form <= FORM + 1:
        raise CorruptStorageError("not a snapshot of this program", where)
    if len(body) != length or digest(body, form) != check:
        raise CorruptStorageError("a snapshot is not what was written", where)
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise CorruptStorageError(f"a snapshot: {error}", where) from None
