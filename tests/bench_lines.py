"""Days of a decision module as lines of the bench's wire."""

import msgspec

from apart import ALL
from indigohitch import interface as face
from indigohitch.benchlink import backend_lists, incoming, wire_messages
from indigohitch.settings import _LOAD_NAMES

STATE, SCOPE, OUTCOME = (
    {ours: wire for wire, ours in table.items()}
    for table in (backend_lists._STATE, wire_messages._SCOPE, wire_messages._OUTCOME)
)


def row(place, load):
    """A load report as this instance's columns have it."""
    values = [load.get(_LOAD_NAMES.get(column)) for column in ALL[place]["report"]["columns"]]
    return [
        value / 10 if value is not None and _LOAD_NAMES.get(column) == "service_time" else value
        for column, value in zip(ALL[place]["report"]["columns"], values)
    ]


def words(place, event):
    """An event as the bench says it: one message, or a list and what names it, which come together."""
    match event:
        case face.BackendList("failed"):
            return [{"type": "Endpoints", "kind": "refused"}]
        case face.BackendList(scope, version, entries):
            members = [
                {
                    "backend": e.backend,
                    "condition": STATE[e.state],
                    "share": e.weight,
                    "campus": e.zone,
                    "block": e.cell,
                    "model": e.kind,
                    "launched": e.started_at / 10,
                }
                for e in entries
            ]
            return [
                {"type": "List", "buffer": 0, "members": members},
                {"type": "Endpoints", "kind": SCOPE[scope], "number": version, "buffer": 0},
            ]
        case face.ProbeResult(backend, outcome, duration, load):
            said = {
                "type": "ProbeResult",
                "backend": backend,
                "state-code": OUTCOME[outcome],
                "duration": duration / 10,
                "health-info": row(place, load),
            }
        case face.SliceDemand(number, method, total, errors, elapsed):
            said = {
                "type": "Heat",
                "table": number,
                "tier-class": method,
                "total": total,
                "errors": errors,
                "elapsed": elapsed / 10,
            }
        case face.BackendTraffic(zone, backend, tries, failures, duration, elapsed, load):
            said = {
                "type": "TrafficReport",
                "backend": backend,
                "campus": zone,
                "total": tries,
                "errors": failures,
                "duration": duration / 10,
                "elapsed": elapsed / 10,
                "health-info": row(place, load),
            }
        case face.ProxyJoined(proxy, zone, rate, fresh):
            said = {"type": "Connected", "edge": proxy, "campus": zone, "share": rate, "active": fresh}
        case face.ProxyLeft(proxy):
            said = {"type": "LostStream", "edge": proxy}
        case face.UpdateAcknowledged(proxy, mark, duration):
            said = {"type": "Installed", "edge": proxy, "number": mark, "duration": duration / 10}
        case face.SliceOwnership(number, held):
            said = {"type": "AssignedToMe", "table": number, "active": held}
        case face.StoredRoute(number, backend, weight):
            said = {"type": "StoredLine", "table": number, "backend": backend, "share": weight}
        case face.TimerFired(tag):
            said = {"type": "TickDue", "tag": tag}
    return [said]


def batches(place, day, number=None):
    """(now, messages), the first of which configures; what comes together stays together."""
    number = place if number is None else number
    born = [{"type": "Configure", "rng-seed": 7 + place, "params": ALL[place]}]
    told = [
        [*([born] if not n else []), *(words(place, e) for e in events)] for n, (_, events) in enumerate(day)
    ]
    lines = [
        [
            [incoming.decode(msgspec.json.encode(said | {"coordinator": number})) for said in together]
            for together in batch
        ]
        for batch in told
    ]
    return [(now, batch) for (now, _), batch in zip(day, lines)]


def flat(batch):
    return [message for together in batch for message in together]
