"""Snapshots of the state as bytes.  Form: magic, form, length, digest, msgpack of `ports.Snap`.  No I/O."""

from __future__ import annotations

import struct

import msgspec

from ...encoding.rows import digest
from ..raft.interfaces import Snapshot
from .records import CorruptStorageError

MAGIC = b"IHBOOK\r\n"
FORM = 1
_HEAD = struct.Struct("!8sHQ16s")


def encode(snap: Snapshot) -> bytes:
    body = msgspec.msgpack.encode(snap)
    return _HEAD.pack(MAGIC, FORM, len(body), digest(body, FORM)) + body


def decode(data: bytes, where: str) -> Snapshot:
    """Raises CorruptStorageError: it was written whole, so nothing of it is missing by a crash."""
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
    except msgspec.MsgspecError as bad:
        raise CorruptStorageError(f"a snapshot: {bad}", where) from None
