"""Converts the events of a test day into messages of the bench protocol."""

import msgspec

from apart import ALL
from indigohitch import interface
from indigohitch.benchlink import backend_lists, incoming, wire_messages
from indigohitch.settings import _LOAD_NAMES

STATE, SCOPE, OUTCOME = (
    {internal: wire for wire, internal in table.items()}
    for table in (backend_lists._STATE, wire_messages._SCOPE, wire_messages._OUTCOME)
)


def load_row(place, load):
    """Returns a load report in the order of the columns of the settings at `place`."""
    values = [load.get(_LOAD_NAMES.get(column)) for column in ALL[place]["report"]["columns"]]
    return [
        value / 10 if value is not None and _LOAD_NAMES.get(column) == "service_time" else value
        for column, value in zip(ALL[place]["report"]["columns"], values)
    ]


def messages_of(place, event):
    """Returns an event as consecutive messages: a single one, or a list and the message that refers to it."""
    match event:
        case interface.BackendList("failed"):
            return [{"type": "Endpoints", "kind": "refused"}]
        case interface.BackendList(scope, version, entries):
            members = [
                {
                    "backend": entry.backend,
                    "condition": STATE[entry.state],
                    "share": entry.weight,
                    "campus": entry.zone,
                    "block": entry.cell,
                    "model": entry.kind,
                    "launched": entry.started_at / 10,
                }
                for entry in entries
            ]
            return [
                {"type": "List", "buffer": 0, "members": members},
                {"type": "Endpoints", "kind": SCOPE[scope], "number": version, "buffer": 0},
            ]
        case interface.ProbeResult(backend, outcome, duration, load):
            message = {
                "type": "ProbeResult",
                "backend": backend,
                "state-code": OUTCOME[outcome],
                "duration": duration / 10,
                "health-info": load_row(place, load),
            }
        case interface.SliceDemand(number, method, total, errors, elapsed):
            message = {
                "type": "Heat",
                "table": number,
                "tier-class": method,
                "total": total,
                "errors": errors,
                "elapsed": elapsed / 10,
            }
        case interface.BackendTraffic(zone, backend, attempts, failures, duration, elapsed, load):
            message = {
                "type": "TrafficReport",
                "backend": backend,
                "campus": zone,
                "total": attempts,
                "errors": failures,
                "duration": duration / 10,
                "elapsed": elapsed / 10,
                "health-info": load_row(place, load),
            }
        case interface.ProxyJoined(proxy, zone, rate, has_no_tables):
            message = {
                "type": "Connected",
                "edge": proxy,
                "campus": zone,
                "share": rate,
                "active": has_no_tables,
            }
        case interface.ProxyLeft(proxy):
            message = {"type": "LostStream", "edge": proxy}
        case interface.UpdateAcknowledged(proxy, marker, duration):
            message = {"type": "Installed", "edge": proxy, "number": marker, "duration": duration / 10}
        case interface.SliceOwnership(number, is_owned):
            message = {"type": "AssignedToMe", "table": number, "active": is_owned}
        case interface.StoredRoute(number, backend, weight):
            message = {"type": "StoredLine", "table": number, "backend": backend, "share": weight}
        case interface.TimerFired(tag):
            message = {"type": "TickDue", "tag": tag}
    return [message]


def batches(place, day, number=None):
    """Returns a day as (now, batch) pairs, the first with a `Configure` message.

    A batch is a list of groups of decoded messages; the messages of a group have to stay together.
    """
    number = place if number is None else number
    configure = [{"type": "Configure", "rng-seed": 7 + place, "params": ALL[place]}]
    groups_by_batch = [
        [*([configure] if not index else []), *(messages_of(place, event) for event in events)]
        for index, (_, events) in enumerate(day)
    ]
    decoded = [
        [
            [incoming.decode(msgspec.json.encode(message | {"coordinator": number})) for message in group]
            for group in groups
        ]
        for groups in groups_by_batch
    ]
    return [(now, batch) for (now, _), batch in zip(day, decoded)]


def flat(batch):
    return [message for group in batch for message in group]
