"""Reads golden files of the wire protocols, and converts events and orders to and from their JSON form.

A file holds one case per line: `{"given": ..., "gives": ...}`.  Bytes are stored as text with one character
per byte (latin-1).  The keys of events and orders in the files are independent of names in the program: a
rename in the program changes the attributes in this module, never the files.
"""

import json
from pathlib import Path

from indigohitch import interface

FOLDER = Path(__file__).resolve().parent / "golden" / "wire"


def cases(name: str) -> list[dict]:
    """Returns the cases of a file, in order."""
    return [json.loads(line) for line in (FOLDER / name).read_text("ascii").splitlines()]


def text(value: object) -> str:
    """Returns a value as JSON, in which 1 differs from 1.0 and the order of keys matters."""
    return json.dumps(value)


def check(name: str, function) -> list[dict]:
    """Asserts that `function` returns the recorded result of every case of a file; returns the cases."""
    all_cases = cases(name)
    assert all_cases
    for case in all_cases:
        assert text(function(case["given"])) == text(case["gives"]), case["given"]
    return all_cases


def _entry(entry: interface.BackendEntry) -> dict:
    return {
        "backend": entry.backend,
        "state": entry.state,
        "weight": entry.weight,
        "zone": entry.zone,
        "cell": entry.cell,
        "machine": entry.kind,
        "started": entry.started_at,
    }


def entries(backends) -> list[dict]:
    return [_entry(backend) for backend in backends]


def _demand(event, name: str, number_key: str, number: int) -> dict:
    return {
        "event": name,
        number_key: number,
        "method": event.method,
        "total": event.total,
        "unanswered": event.unanswered,
        "elapsed": event.elapsed,
    }


def plain(event: interface.Event) -> dict:
    """Returns an event in the form of the golden files."""
    match event:
        case interface.BackendList():
            return {
                "event": "list",
                "scope": event.scope,
                "version": event.version,
                "entries": entries(event.entries),
            }
        case interface.ProbeResult():
            return {
                "event": "probe answer",
                "backend": event.backend,
                "outcome": event.outcome,
                "duration": event.duration,
                "load": event.load,
            }
        case interface.SliceDemand():
            return _demand(event, "demand of a slice", "slice", event.slice)
        case interface.ProxyDemand():
            return _demand(event, "demand of a proxy", "proxy", event.proxy)
        case interface.BackendTraffic():
            return {
                "event": "traffic",
                "zone": event.zone,
                "backend": event.backend,
                "tries": event.attempts,
                "failures": event.failures,
                "duration": event.duration,
                "elapsed": event.elapsed,
                "load": event.load,
            }
        case interface.ProxyJoined():
            return {
                "event": "proxy came",
                "proxy": event.proxy,
                "zone": event.zone,
                "rate": event.request_rate,
                "fresh": event.has_no_tables,
            }
        case interface.ProxyLeft():
            return {"event": "proxy went", "proxy": event.proxy}
        case interface.UpdateAcknowledged():
            return {
                "event": "mark answered",
                "proxy": event.proxy,
                "mark": event.marker,
                "duration": event.duration,
            }
        case interface.SliceOwnership():
            return {"event": "slice owned", "slice": event.slice, "held": event.is_owned}
        case interface.StoredRoute():
            return {
                "event": "line stored",
                "slice": event.slice,
                "backend": event.backend,
                "weight": event.weight,
            }
        case interface.PeerMessage():
            return {"event": "peer said", "peer": event.peer, "body": event.body.decode("latin-1")}
        case interface.TimerFired():
            return {"event": "timer", "tag": event.tag}
    raise AssertionError(f"an event without a form in the golden files: {event}")


ORDERS = {
    "set line": lambda given: interface.SetRoute(given["table"], given["backend"], given["weight"]),
    "clear table": lambda given: interface.ClearTable(given["table"]),
    "set level": lambda given: interface.SetAdmission(
        given["table"], tuple(given["methods"]), given["level"], given["tries"]
    ),
    "withdraw": lambda given: interface.EjectBackend(given["backend"], given["out"]),
    "bind": lambda given: interface.BindTable(given["proxy"], given["table"], tuple(given["methods"])),
    "mark": lambda given: interface.UpdateMarker(given["mark"], given["everyone"]),
    "probe": lambda given: interface.ProbeBackend(given["backend"]),
    "tell peer": lambda given: interface.SendToPeer(given["peer"], given["body"].encode("latin-1")),
    "subscribe": lambda given: interface.WatchBackends(given["on"]),
    "fetch list": lambda given: interface.FetchBackends(),
    "set timer": lambda given: interface.SetTimer(given["due"], given["tag"]),
    "log line": lambda given: interface.LogMessage(given["text"]),
}


def order(given: dict) -> interface.Order:
    """Builds an order from the form of the golden files."""
    return ORDERS[given["order"]](given)
