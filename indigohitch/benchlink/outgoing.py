"""The module's orders to the bench's lines.  The wire page is WIRE-indigohitch.md.

Every name on the wire stands here as text: the names of classes and fields have no part in it."""

from __future__ import annotations

import base64

import msgspec

from .. import interface as face


def _mask(methods: tuple[int, ...]) -> int:
    return sum(1 << m for m in methods)


def _b64(body: bytes) -> str:
    return base64.b64encode(body).decode("ascii")


_ORDERS = {
    face.SetRoute: lambda o: {"type": "SetWeight", "table": o.table, "backend": o.backend, "share": o.weight},
    face.ClearTable: lambda o: {"type": "DropLines", "table": o.table},
    face.SetAdmission: lambda o: {
        "type": "SetLevel",
        "table": o.table,
        "only": _mask(o.methods),
        "level": o.admission_ratio,
        "again": o.retry_level,
    },
    face.EjectBackend: lambda o: {"type": "HoldBack", "backend": o.backend, "active": o.ejected},
    face.BindTable: lambda o: {"type": "Point", "edge": o.proxy, "table": o.table, "only": _mask(o.methods)},
    face.UpdateMarker: lambda o: {"type": "Nonce", "number": o.marker, "active": o.to_all_proxies},
    face.ProbeBackend: lambda o: {"type": "Inspect", "backend": o.backend},
    face.SendToPeer: lambda o: {"type": "Announce", "target": o.peer, "body": _b64(o.body)},
    face.WatchBackends: lambda o: {"type": "KeepInformed", "active": o.enabled},
    face.FetchBackends: lambda o: {"type": "QueryAll"},
    face.SetTimer: lambda o: {"type": "NotifyMe", "moment": o.due_at / 10, "tag": o.tag},
    face.LogMessage: lambda o: {"type": "SayLog", "message": o.text},
}
_encode = msgspec.json.Encoder().encode
OK = _encode({"type": "Ok"}) + b"\n"


def encode(coordinator: int, order: face.Order) -> bytes:
    body = _ORDERS[type(order)](order)
    body["coordinator"] = coordinator
    return _encode(body) + b"\n"


def give_in(coordinator: int, text: str) -> bytes:
    return _encode({"type": "GiveIn", "coordinator": coordinator, "message": text}) + b"\n"
