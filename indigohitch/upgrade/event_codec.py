"""Converts events and orders of the decision module to plain data and back; no I/O.

The rows go into handovers and snapshots: a wire name, then the values in the order of `_WIRE`.  A class or a
field of the package may be renamed; the wire names and the order of the values stay.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from .. import interface as face

# By class: its wire name, and its fields in the order of their values on the wire.
_WIRE: dict[type, tuple[str, tuple[str, ...]]] = {
    face.BackendList: ("BackendList", ("scope", "version", "entries")),
    face.ProbeResult: ("Probed", ("backend", "outcome", "duration", "load")),
    face.SliceDemand: ("SliceDemand", ("slice", "method", "total", "unanswered", "elapsed")),
    face.ProxyDemand: ("ProxyDemand", ("proxy", "method", "total", "unanswered", "elapsed")),
    face.BackendTraffic: (
        "Traffic",
        ("zone", "backend", "attempts", "failures", "duration", "elapsed", "load"),
    ),
    face.ProxyJoined: ("ProxyJoined", ("proxy", "zone", "request_rate", "has_no_tables")),
    face.ProxyLeft: ("ProxyLeft", ("proxy",)),
    face.UpdateAcknowledged: ("Acked", ("proxy", "marker", "duration")),
    face.SliceOwnership: ("Charge", ("slice", "is_owned")),
    face.StoredRoute: ("StoredLine", ("slice", "backend", "weight")),
    face.PeerMessage: ("PeerNote", ("peer", "body")),
    face.TimerFired: ("TimerDue", ("tag",)),
    face.SetRoute: ("SetLine", ("table", "backend", "weight")),
    face.ClearTable: ("ClearTable", ("table",)),
    face.SetAdmission: ("SetLevel", ("table", "methods", "admission_ratio", "retry_level")),
    face.EjectBackend: ("Withdraw", ("backend", "ejected")),
    face.BindTable: ("Bind", ("proxy", "table", "methods")),
    face.UpdateMarker: ("Mark", ("marker", "to_all_proxies")),
    face.ProbeBackend: ("Probe", ("backend",)),
    face.SendToPeer: ("TellPeer", ("peer", "body")),
    face.WatchBackends: ("Subscribe", ("enabled",)),
    face.FetchBackends: ("FetchList", ()),
    face.SetTimer: ("SetTimer", ("due_at", "tag")),
    face.LogMessage: ("LogLine", ("text",)),
}
_KINDS = {name: (kind, fields) for kind, (name, fields) in _WIRE.items()}
# One entry of a list of backends, which has no name on the wire.
_LISTED = ("backend", "state", "weight", "zone", "cell", "kind", "started_at")


def pack_entry(entry: face.BackendEntry) -> tuple:
    """Return the values of one entry of a list of backends."""
    return tuple(getattr(entry, field) for field in _LISTED)


def unpack_entry(row: Iterable) -> face.BackendEntry:
    """Return the entry of a list of backends with these values; raises ValueError."""
    return face.BackendEntry(**dict(zip(_LISTED, row, strict=True)))


def pack(item: face.Event | face.Order) -> tuple:
    """Return the wire name of an event or order, followed by its values."""
    name, fields = _WIRE[type(item)]
    values = [getattr(item, field) for field in fields]
    if type(item) is face.BackendList:
        values[-1] = [pack_entry(entry) for entry in item.entries]
    return (name, *values)


def unpack(row: Iterable) -> face.Event | face.Order:
    """Return the event or order in a row of `pack`; raises ValueError."""
    name, *values = row
    if name not in _KINDS or len(values) != len(_KINDS[name][1]):
        raise ValueError(f"no event or order: {name!r} with {len(values)} values")
    kind, fields = _KINDS[name]
    if kind is face.BackendList:
        values[-1] = tuple(map(unpack_entry, values[-1]))
    elif kind is face.SetAdmission:
        values[1] = tuple(values[1])
    return kind(**dict(zip(fields, values)))


def pack_all(items: Iterable[face.Event | face.Order]) -> list[tuple]:
    """Return the rows of several events or orders."""
    return [pack(item) for item in items]


def unpack_all(rows: Iterable) -> list:
    """Return the events or orders in several rows; raises ValueError."""
    return [unpack(row) for row in rows]


def rehearsal_digest(coordinators: Iterable, now: int) -> bytes:
    """Return the digest of the next orders of these modules; it advances the modules to `now`."""
    orders = [pack_all(coordinator.handle(now, [])) for coordinator in coordinators]
    return hashlib.blake2b(msgspec.msgpack.encode(orders), digest_size=16).digest()
