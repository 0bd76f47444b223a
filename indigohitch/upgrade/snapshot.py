"""A snapshot as bytes and as a file; a truncated, damaged or incompatible one is refused whole.

Form: magic, schema version, length, digest, msgpack.  A reader accepts versions from its own less one to its
own plus one: fields of array-like rows are only added, at the end and with defaults, so that an older
snapshot lacks some and a newer one has some that are ignored.
"""

from __future__ import annotations

import os
import struct

import msgspec

from ..encoding.files import write_atomically as write
from ..encoding.rows import Row, digest
from ..errors import InvalidDataError
from .module_rows import ModuleRow

__all__ = ["Snapshot", "UnusableSnapshotError", "decode", "digest", "encode", "read", "write"]

SCHEMA = 1
MAGIC = b"IHSNAP\r\n"  # as in PNG: a transfer that changes line ends shows itself
_HEAD = struct.Struct("!8sHQ16s")
MAX_FILE_BYTES = 1 << 30


class UnusableSnapshotError(InvalidDataError):
    """A snapshot that is refused whole."""

    remedy = "the program begins without it; remove the file if it is of no use"


class ServerRow(Row):
    """One server of a sidecar's pool."""

    name: str
    host: str
    port: int
    withdrawn: bool
    listed: bool
    load: dict[str, float]


class TableRow(Row):
    """One routing table of a sidecar's pool: its weights and admission levels."""

    lines: list[tuple[int, float]]  # place in the servers, weight
    level: float
    levels: dict[str, float]
    tries: int


class PoolRow(Row):
    """One pool of a sidecar: its decision module, servers, tables and open probes."""

    name: str
    slices: int
    module: ModuleRow
    servers: list[ServerRow]
    tables: list[TableRow]
    chance: tuple[int, list[int], float | None]
    version: int
    turn: int
    reported: int
    listed: list[tuple]  # name, host, port, weight, zone, kind: the list as last received
    probing: list[str]  # probes without a result: to be sent again


class SidecarState(Row):
    """The state of a sidecar: its pools."""

    pools: list[PoolRow]


class StoredTableRow(Row):
    """One routing table as the platform confirmed it."""

    number: int
    lines: list[tuple[str, float]]
    level: list | None  # the order that set it


class CoordinatorState(Row):
    """The state of a coordinator: its decision module and its view of the platform."""

    module: ModuleRow
    listed: list[list]
    addresses: dict[str, str]
    heard_of: list[str]
    version: int
    watching: bool
    waiting: list[list[list]]  # the relay's unconfirmed calls, each a list of orders
    written: list[int]  # when calls went out that count as messages to the proxies
    failures: int
    proxies: list[list]  # as they joined
    stood: list[StoredTableRow]
    begun: bool
    lost: list[int]  # tables to be sent again
    probing: list[str]
    maybe: list[list] = []  # orders of earlier calls of unknown result; `waiting` repeats them
    starts: list[tuple[str, int, int]] = []  # backends: their start by the wall clock, and by the process's
    list_heard: int = 0  # when discovery's list came last


class Snapshot(Row):
    """The state of one program at one time."""

    kind: str  # "sidecar" or "coordinator"
    taken: int  # Unix time, tenths of a ms
    sidecar: SidecarState | None = None
    coordinator: CoordinatorState | None = None


def encode(snapshot: Snapshot, version: int = SCHEMA) -> bytes:
    """Return the snapshot as bytes, with its head."""
    body = msgspec.msgpack.encode(snapshot)
    return _HEAD.pack(MAGIC, version, len(body), digest(body, version)) + body


def decode(data: bytes, schema: int = SCHEMA) -> Snapshot:
    """Return the snapshot in `data`, as a reader of version `schema`; raises UnusableSnapshotError."""
    if len(data) < _HEAD.size:
        raise UnusableSnapshotError("truncated: no whole head")
    magic, version, length, found = _HEAD.unpack_from(data)
    if magic != MAGIC:
        raise UnusableSnapshotError("no snapshot")
    if not schema - 1 <= version <= schema + 1:
        raise UnusableSnapshotError(
            f"of version {version}; this program reads {max(1, schema - 1)} to {schema + 1}"
        )
    body = data[_HEAD.size :]
    if len(body) != length:
        raise UnusableSnapshotError(f"truncated or added to: {len(body)} bytes of {length}")
    if digest(body, version) != found:
        raise UnusableSnapshotError("harmed: another digest")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"not in this form: {error}") from None


def read(path: str) -> Snapshot:
    """Return the snapshot in the file; raises OSError and UnusableSnapshotError."""
    with open(path, "rb") as file:
        if os.fstat(file.fileno()).st_size > MAX_FILE_BYTES:
            raise UnusableSnapshotError("larger than any state")
        return decode(file.read())
