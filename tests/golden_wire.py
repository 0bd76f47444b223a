"""What the tests of golden wire files share: the files, and events and orders in words that no name in the
program has a part in.

A file holds one case a line, `{"given": ..., "gives": ...}`.  Bytes stand in it as text, each byte one
character (latin-1).  A rename in the program changes the attributes named here, never the files."""

import json
from pathlib import Path

from indigohitch import interface as face

FOLDER = Path(__file__).resolve().parent / "golden" / "wire"


def cases(name: str) -> list[dict]:
    """The cases of a file, in order."""
    return [json.loads(line) for line in (FOLDER / name).read_text("ascii").splitlines()]


def text(found: object) -> str:
    """As it stands in a file: tells 1 from 1.0, and one order of keys from another."""
    return json.dumps(found)


def check(name: str, function) -> list[dict]:
    """Every case of a file gives what it gave when the file was written; returns the cases."""
    found = cases(name)
    assert found
    for case in found:
        assert text(function(case["given"])) == text(case["gives"]), case["given"]
    return found


def _entry(e: face.BackendEntry) -> dict:
    return {
        "backend": e.backend,
        "state": e.state,
        "weight": e.weight,
        "zone": e.zone,
        "cell": e.cell,
        "machine": e.kind,
        "started": e.started_at,
    }


def entries(found) -> list[dict]:
    return [_entry(e) for e in found]


def _demand(e, what: str, where: str, number: int) -> dict:
    return {
        "event": what,
        where: number,
        "method": e.method,
        "total": e.total,
        "unanswered": e.unanswered,
        "elapsed": e.elapsed,
    }


def plain(e: face.Event) -> dict:
    """An event by explicit keys."""
    match e:
        case face.BackendList():
            return {"event": "list", "scope": e.scope, "version": e.version, "entries": entries(e.entries)}
        case face.ProbeResult():
            return {
                "event": "probe answer",
                "backend": e.backend,
                "outcome": e.outcome,
                "duration": e.duration,
                "load": e.load,
            }
        case face.SliceDemand():
            return _demand(e, "demand of a slice", "slice", e.slice)
        case face.ProxyDemand():
            return _demand(e, "demand of a proxy", "proxy", e.proxy)
        case face.BackendTraffic():
            return {
                "event": "traffic",
                "zone": e.zone,
                "backend": e.backend,
                "tries": e.attempts,
                "failures": e.failures,
                "duration": e.duration,
                "elapsed": e.elapsed,
                "load": e.load,
            }
        case face.ProxyJoined():
            return {
                "event": "proxy came",
                "proxy": e.proxy,
                "zone": e.zone,
                "rate": e.request_rate,
                "fresh": e.has_no_tables,
            }
        case face.ProxyLeft():
            return {"event": "proxy went", "proxy": e.proxy}
        case face.UpdateAcknowledged():
            return {"event": "mark answered", "proxy": e.proxy, "mark": e.marker, "duration": e.duration}
        case face.SliceOwnership():
            return {"event": "slice owned", "slice": e.slice, "held": e.is_owned}
        case face.StoredRoute():
            return {"event": "line stored", "slice": e.slice, "backend": e.backend, "weight": e.weight}
        case face.PeerMessage():
            return {"event": "peer said", "peer": e.peer, "body": e.body.decode("latin-1")}
        case face.TimerFired():
            return {"event": "timer", "tag": e.tag}
    raise AssertionError(f"an event that no golden file knows: {e}")


ORDERS = {
    "set line": lambda o: face.SetRoute(o["table"], o["backend"], o["weight"]),
    "clear table": lambda o: face.ClearTable(o["table"]),
    "set level": lambda o: face.SetAdmission(o["table"], tuple(o["methods"]), o["level"], o["tries"]),
    "withdraw": lambda o: face.EjectBackend(o["backend"], o["out"]),
    "bind": lambda o: face.BindTable(o["proxy"], o["table"], tuple(o["methods"])),
    "mark": lambda o: face.UpdateMarker(o["mark"], o["everyone"]),
    "probe": lambda o: face.ProbeBackend(o["backend"]),
    "tell peer": lambda o: face.SendToPeer(o["peer"], o["body"].encode("latin-1")),
    "subscribe": lambda o: face.WatchBackends(o["on"]),
    "fetch list": lambda o: face.FetchBackends(),
    "set timer": lambda o: face.SetTimer(o["due"], o["tag"]),
    "log line": lambda o: face.LogMessage(o["text"]),
}


def order(told: dict) -> face.Order:
    """An order out of explicit keys."""
    return ORDERS[told["order"]](told)
