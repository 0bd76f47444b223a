"""Events and orders of the module as plain data and back.  No I/O."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable

import msgspec

from .. import interface as face

_TYPES = {
    kind.__name__: kind
    for kind in (
        face.BackendList,
        face.Probed,
        face.SliceDemand,
        face.ProxyDemand,
        face.Traffic,
        face.ProxyJoined,
        face.ProxyLeft,
        face.Acked,
        face.Charge,
        face.StoredLine,
        face.PeerNote,
        face.TimerDue,
        face.SetLine,
        face.ClearTable,
        face.SetLevel,
        face.Withdraw,
        face.Bind,
        face.Mark,
        face.Probe,
        face.TellPeer,
        face.Subscribe,
        face.FetchList,
        face.SetTimer,
        face.LogLine,
    )
}
_FIELDS = {name: [f.name for f in dataclasses.fields(kind)] for name, kind in _TYPES.items()}
LISTED = [f.name for f in dataclasses.fields(face.Listed)]


def listed(entry: face.Listed) -> tuple:
    return tuple(getattr(entry, name) for name in LISTED)


def pack(item) -> tuple:
    name = type(item).__name__
    values = [getattr(item, field) for field in _FIELDS[name]]
    if name == "BackendList":
        values[-1] = [listed(entry) for entry in item.entries]
    return (name, *values)


def unpack(row: Iterable):
    """Raises ValueError."""
    name, *values = row
    if name not in _TYPES or len(values) != len(_FIELDS[name]):
        raise ValueError(f"no event or order: {name!r} with {len(values)} values")
    if name == "BackendList":
        values[-1] = tuple(face.Listed(*entry) for entry in values[-1])
    elif name == "SetLevel":
        values[1] = tuple(values[1])
    return _TYPES[name](*values)


def pack_all(items: Iterable) -> list[tuple]:
    return [pack(item) for item in items]


def unpack_all(rows: Iterable) -> list:
    return [unpack(row) for row in rows]


def rehearsed(coordinators: Iterable, at: int) -> bytes:
    """Digest of what these modules order next, one after another; it moves them."""
    orders = [pack_all(coordinator.handle(at, [])) for coordinator in coordinators]
    return hashlib.blake2b(msgspec.msgpack.encode(orders), digest_size=16).digest()
