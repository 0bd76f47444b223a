"""Encodes snapshots and reads them from files; a truncated, damaged or incompatible one is refused whole.

Format: magic, schema version, length, digest, msgpack.  A reader accepts its own version and the adjacent
ones.  Fields of array-like rows are only added, at the end and with defaults: an older snapshot lacks some
fields, and the additional fields of a newer one are ignored.
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
MAGIC = b"IHSNAP\r\n"  # with CR LF, as in PNG: detects a transfer that converts line ends
_HEADER = struct.Struct("!8sHQ16s")
MAX_FILE_BYTES = 1 << 30


class UnusableSnapshotError(InvalidDataError):
    """Raised for a snapshot that is refused as a whole."""

    remedy = "the program starts without it; remove the file if it is not needed"


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

    lines: list[tuple[int, float]]  # index of the server, weight
    level: float
    levels: dict[str, float]
    tries: int


class PoolRow(Row):
    """One pool of a sidecar: its decision module, servers, tables and pending probes."""

    name: str
    slices: int
    module: ModuleRow
    servers: list[ServerRow]
    tables: list[TableRow]
    chance: tuple[int, list[int], float | None]  # state of the random generator
    version: int
    turn: int
    reported: int
    listed: list[tuple]  # name, host, port, weight, zone, kind: the last received list
    probing: list[str]  # backends whose probe has no result: it is sent again


class SidecarState(Row):
    """The state of a sidecar: its pools."""

    pools: list[PoolRow]


class StoredTableRow(Row):
    """One routing table as the platform confirmed it."""

    number: int
    lines: list[tuple[str, float]]
    level: list | None  # the SetAdmission order that set the admission


class CoordinatorState(Row):
    """The state of a coordinator: its decision module and its view of the platform."""

    module: ModuleRow
    listed: list[list]
    addresses: dict[str, str]
    known_backend_ids: list[str]
    version: int
    watching: bool
    waiting: list[list[list]]  # unconfirmed calls to the relay, each a list of orders
    written: list[int]  # send times of calls that count as messages to the proxies
    failures: int
    proxies: list[list]  # ProxyJoined events
    tables: list[StoredTableRow]
    has_started: bool
    dropped_tables: list[int]  # dropped tables, which are sent again
    probing: list[str]
    unresolved_orders: list[list] = []  # orders of earlier calls with unknown outcome; `waiting` repeats them
    starts: list[
        tuple[str, int, int]
    ] = []  # backend, its start time by the wall clock, and by the clock of the process
    last_list_at: int = 0  # when the last list from discovery was received


class Snapshot(Row):
    """The state of one program at one point in time."""

    kind: str  # "sidecar" or "coordinator"
    taken: int  # Unix time in tenths of a ms
    sidecar: SidecarState | None = None
    coordinator: CoordinatorState | None = None


def encode(snapshot: Snapshot, version: int = SCHEMA) -> bytes:
    """Return the snapshot as bytes, with its header."""
    body = msgspec.msgpack.encode(snapshot)
    return _HEADER.pack(MAGIC, version, len(body), digest(body, version)) + body


def decode(data: bytes, schema: int = SCHEMA) -> Snapshot:
    """Return the snapshot in `data`, as a reader of version `schema`; raises UnusableSnapshotError."""
    if len(data) < _HEADER.size:
        raise UnusableSnapshotError("truncated: incomplete header")
    magic, version, length, expected_digest = _HEADER.unpack_from(data)
    if magic != MAGIC:
        raise UnusableSnapshotError("not a snapshot")
    if not schema - 1 <= version <= schema + 1:
        raise UnusableSnapshotError(
            f"schema version {version}; this program reads {max(1, schema - 1)} to {schema + 1}"
        )
    body = data[_HEADER.size :]
    if len(body) != length:
        raise UnusableSnapshotError(f"truncated or extended: {len(body)} bytes instead of {length}")
    if digest(body, version) != expected_digest:
        raise UnusableSnapshotError("damaged: wrong digest")
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.MsgspecError as error:
        raise UnusableSnapshotError(f"invalid content: {error}") from None


def read(path: str) -> Snapshot:
    """Return the snapshot in a file; raises OSError and UnusableSnapshotError."""
    with open(path, "rb") as file:
        if os.fstat(file.fileno()).st_size > MAX_FILE_BYTES:
            raise UnusableSnapshotError("larger than any snapshot")
        return decode(file.read())
