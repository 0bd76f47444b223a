"""Encoding of snapshot files: magic, format version, length, digest, msgpack of `Snapshot`.  No I/O."""

from __future__ import annotations

import struct

import msgspec

from ...encoding.rows import digest
from ..raft.interfaces import Snapshot
from .records import CorruptStorageError

MAGIC = b"IHBOOK\r\n"
FORMAT_VERSION = 1
_HEADER = struct.Struct("!8sHQ16s")


def encode(snapshot: Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    body = msgspec.msgpack.encode(snapshot)
    return _HEADER.pack(MAGIC, FORMAT_VERSION, len(body), digest(body, FORMAT_VERSION)) + body


def decode(data: bytes, where: str) -> Snapshot:
    """Decodes a snapshot file; raises CorruptStorageError.

    The file was written atomically, so a crash can't have left it incomplete: a malformed one is damaged.
    """
    if len(data) < _HEADER.size:
        raise CorruptStorageError("the header of the snapshot is incomplete", where)
    magic, version, length, checksum = _HEADER.unpack_from(data)
    body = data[_HEADER.size :]
    if magic != MAGIC or not FORMAT_VERSION - 1 <= version <= FORMAT_VERSION + 1:
        raise CorruptStorageError("the file is not a snapshot, or one of an unknown format version", where)
    if len(body) != length or digest(body, version) != checksum:
        raise CorruptStorageError("length or checksum of the snapshot does not match", where)
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise CorruptStorageError(f"the snapshot can't be decoded: {error}", where) from None
