"""Converts events and orders of the decision module to plain data and back; no I/O.

Handovers and snapshots contain the rows: a wire name, then the values in the order of `_WIRE_FORMATS`.
Classes and fields of the package may be renamed; the wire names and the order of the values may not change.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from .. import interface

# The wire name of each class, and its fields in the order of their values on the wire.
_WIRE_FORMATS: dict[type, tuple[str, tuple[str, ...]]] = {
    interface.BackendList: ("BackendList", ("scope", "version", "entries")),
    interface.ProbeResult: ("Probed", ("backend", "outcome", "duration", "load")),
    interface.SliceDemand: ("SliceDemand", ("slice", "method", "total", "unanswered", "elapsed")),
    interface.ProxyDemand: ("ProxyDemand", ("proxy", "method", "total", "unanswered", "elapsed")),
    interface.BackendTraffic: (
        "Traffic",
        ("zone", "backend", "attempts", "failures", "duration", "elapsed", "load"),
    ),
    interface.ProxyJoined: ("ProxyJoined", ("proxy", "zone", "request_rate", "has_no_tables")),
    interface.ProxyLeft: ("ProxyLeft", ("proxy",)),
    interface.UpdateAcknowledged: ("Acked", ("proxy", "marker", "duration")),
    interface.SliceOwnership: ("Charge", ("slice", "is_owned")),
    interface.StoredRoute: ("StoredLine", ("slice", "backend", "weight")),
    interface.PeerMessage: ("PeerNote", ("peer", "body")),
    interface.TimerFired: ("TimerDue", ("tag",)),
    interface.SetRoute: ("SetLine", ("table", "backend", "weight")),
    interface.ClearTable: ("ClearTable", ("table",)),
    interface.SetAdmission: ("SetLevel", ("table", "methods", "admission_ratio", "retry_level")),
    interface.EjectBackend: ("Withdraw", ("backend", "ejected")),
    interface.BindTable: ("Bind", ("proxy", "table", "methods")),
    interface.UpdateMarker: ("Mark", ("marker", "to_all_proxies")),
    interface.ProbeBackend: ("Probe", ("backend",)),
    interface.SendToPeer: ("TellPeer", ("peer", "body")),
    interface.WatchBackends: ("Subscribe", ("enabled",)),
    interface.FetchBackends: ("FetchList", ()),
    interface.SetTimer: ("SetTimer", ("due_at", "tag")),
    interface.LogMessage: ("LogLine", ("text",)),
}
_CLASSES_BY_WIRE_NAME = {name: (item_class, fields) for item_class, (name, fields) in _WIRE_FORMATS.items()}
# An entry of a backend list has no name on the wire.
_ENTRY_FIELDS = ("backend", "state", "weight", "zone", "cell", "kind", "started_at")


def pack_entry(entry: interface.BackendEntry) -> tuple:
    """Return the values of an entry of a backend list, in wire order."""
    return tuple(getattr(entry, field) for field in _ENTRY_FIELDS)


def unpack_entry(row: Iterable) -> interface.BackendEntry:
    """Return the entry of a backend list that has these values; raises ValueError for a wrong number."""
    return interface.BackendEntry(**dict(zip(_ENTRY_FIELDS, row, strict=True)))


def pack(item: interface.Event | interface.Order) -> tuple:
    """Return the wire name of an event or order, followed by its values."""
    name, fields = _WIRE_FORMATS[type(item)]
    values = [getattr(item, field) for field in fields]
    if type(item) is interface.BackendList:
        values[-1] = [pack_entry(entry) for entry in item.entries]
    return (name, *values)


def unpack(row: Iterable) -> interface.Event | interface.Order:
    """Return the event or order in a row of `pack`; raises ValueError."""
    name, *values = row
    if name not in _CLASSES_BY_WIRE_NAME or len(values) != len(_CLASSES_BY_WIRE_NAME[name][1]):
        raise ValueError(f"unknown event or order: {name!r} with {len(values)} values")
    item_class, fields = _CLASSES_BY_WIRE_NAME[name]
    if item_class is interface.BackendList:
        values[-1] = tuple(map(unpack_entry, values[-1]))
    elif item_class is interface.SetAdmission:
        values[1] = tuple(values[1])
    return item_class(**dict(zip(fields, values)))


def pack_all(items: Iterable[interface.Event | interface.Order]) -> list[tuple]:
    """Return the rows of several events or orders."""
    return [pack(item) for item in items]


def unpack_all(rows: Iterable) -> list:
    """Return the events or orders in several rows; raises ValueError."""
    return [unpack(row) for row in rows]


def rehearsal_digest(coordinators: Iterable, now: int) -> bytes:
    """Return the digest of the orders that these modules issue at `now`; advances the modules to `now`."""
    orders = [pack_all(coordinator.handle(now, [])) for coordinator in coordinators]
    return hashlib.blake2b(msgspec.msgpack.encode(orders), digest_size=16).digest()
