"""Encodes the decision module's orders as lines of the bench's wire (WIRE-indigohitch.md).

Every name on the wire is given as text: the names of classes and fields have no part in it.
"""

from __future__ import annotations

import base64

import msgspec

from .. import interface


def _mask(methods: tuple[int, ...]) -> int:
    return sum(1 << method for method in methods)


def _b64(body: bytes) -> str:
    return base64.b64encode(body).decode("ascii")


def _fields(order: interface.Order) -> dict[str, object]:  # noqa: C901, PLR0911 (one case a kind)
    """The line for an order, by the names of the wire."""
    match order:
        case interface.SetRoute(table, backend, weight):
            return {"type": "SetWeight", "table": table, "backend": backend, "share": weight}
        case interface.ClearTable(table):
            return {"type": "DropLines", "table": table}
        case interface.SetAdmission(table, methods, admission_ratio, retry_level):
            return {
                "type": "SetLevel",
                "table": table,
                "only": _mask(methods),
                "level": admission_ratio,
                "again": retry_level,
            }
        case interface.EjectBackend(backend, ejected):
            return {"type": "HoldBack", "backend": backend, "active": ejected}
        case interface.BindTable(proxy, table, methods):
            return {"type": "Point", "edge": proxy, "table": table, "only": _mask(methods)}
        case interface.UpdateMarker(marker, to_all_proxies):
            return {"type": "Nonce", "number": marker, "active": to_all_proxies}
        case interface.ProbeBackend(backend):
            return {"type": "Inspect", "backend": backend}
        case interface.SendToPeer(peer, body):
            return {"type": "Announce", "target": peer, "body": _b64(body)}
        case interface.WatchBackends(enabled):
            return {"type": "KeepInformed", "active": enabled}
        case interface.FetchBackends():
            return {"type": "QueryAll"}
        case interface.SetTimer(due_at, tag):
            return {"type": "NotifyMe", "moment": due_at / 10, "tag": tag}
        case interface.LogMessage(text):
            return {"type": "SayLog", "message": text}


_encode = msgspec.json.Encoder().encode
OK = _encode({"type": "Ok"}) + b"\n"


def encode(coordinator: int, order: interface.Order) -> bytes:
    """Encodes an order of the instance with this number as one line."""
    body = _fields(order)
    body["coordinator"] = coordinator
    return _encode(body) + b"\n"


def give_in(coordinator: int, text: str) -> bytes:
    """Encodes the line that says that the module of an instance failed, and why."""
    return _encode({"type": "GiveIn", "coordinator": coordinator, "message": text}) + b"\n"
