"""Encodes the decision module's orders as messages to the bench (WIRE-indigohitch.md).

All names on the wire are string literals, so that renaming classes or fields cannot change the protocol.
"""

from __future__ import annotations

import base64

import msgspec

from .. import interface


def _method_mask(methods: tuple[int, ...]) -> int:
    return sum(1 << method for method in methods)


def _base64_text(body: bytes) -> str:
    return base64.b64encode(body).decode("ascii")


def _fields(order: interface.Order) -> dict[str, object]:  # noqa: C901, PLR0911 (one case per order type)
    """Returns the message for an order, by field names on the wire."""
    match order:
        case interface.SetRoute(table, backend, weight):
            return {"type": "SetWeight", "table": table, "backend": backend, "share": weight}
        case interface.ClearTable(table):
            return {"type": "DropLines", "table": table}
        case interface.SetAdmission(table, methods, admission_ratio, retry_level):
            return {
                "type": "SetLevel",
                "table": table,
                "only": _method_mask(methods),
                "level": admission_ratio,
                "again": retry_level,
            }
        case interface.EjectBackend(backend, ejected):
            return {"type": "HoldBack", "backend": backend, "active": ejected}
        case interface.BindTable(proxy, table, methods):
            return {"type": "Point", "edge": proxy, "table": table, "only": _method_mask(methods)}
        case interface.UpdateMarker(marker, to_all_proxies):
            return {"type": "Nonce", "number": marker, "active": to_all_proxies}
        case interface.ProbeBackend(backend):
            return {"type": "Inspect", "backend": backend}
        case interface.SendToPeer(peer, body):
            return {"type": "Announce", "target": peer, "body": _base64_text(body)}
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
    """Encodes an order of a coordinator as one line."""
    body = _fields(order)
    body["coordinator"] = coordinator
    return _encode(body) + b"\n"


def encode_failure(coordinator: int, text: str) -> bytes:
    """Encodes a GiveIn message, which reports that a coordinator failed and why."""
    return _encode({"type": "GiveIn", "coordinator": coordinator, "message": text}) + b"\n"
