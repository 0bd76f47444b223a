"""Runs the cases of the golden files of the bench protocol: decoded lines, encoded orders and a session."""

import io
from unittest import mock

from golden_wire import entries, order, plain
from indigohitch.benchlink import host, incoming, outgoing

COLUMNS = ["pending", "new_one", "svc_ms", "cpu_share", "served_ps", "failed_ps", "busy_reqs"]
LISTS = {
    3: (
        b'{"type":"List","buffer":3,"members":[{"backend":"b1","condition":"cordoned","share":2.5,'
        b'"campus":"east","block":4,"model":"m2","launched":1234.56}]}'
    )
}


def line_in(given: str) -> dict:
    """Decodes a line; returns its type and content, or that it was refused."""
    lists = {number: incoming.decode(line)[1].to_entries() for number, line in LISTS.items()}
    try:
        kind, message = incoming.decode(given.encode("latin-1"))
        match kind:
            case _ if message is None:
                reads = None
            case "Flush":
                reads = {"flush": True}
            case "Mark":
                reads = {"at_ms": message.time_ms}
            case "Configure":
                reads = {
                    "coordinator": message.coordinator,
                    "seed": message.seed,
                    "settings": message.settings,
                }
            case "PowerOff":
                reads = {"coordinator": message.coordinator}
            case "List":
                reads = {"list": message.number, "entries": entries(message.to_entries())}
            case _:
                event = plain(message.to_event(COLUMNS, lists))
                reads = {"coordinator": message.coordinator} | event
        return {"type": kind, "reads": reads}
    except (incoming.WireError, KeyError):
        return {"refused": True}


def order_out(given: dict) -> str:
    """Returns the line of an order."""
    return outgoing.encode(given["coordinator"], order(given)).decode("latin-1")


class StubCoordinator:
    """Stands in for a coordinator: returns prepared orders and records its calls."""

    def __init__(self, seed: int, settings: dict, given: dict, calls: list) -> None:
        self.given = given
        self.calls = calls
        calls.append({"seed": seed, "batch_gap": settings["batch_gap"]})

    def handle(self, now: int, events: list) -> list:
        self.calls.append({"now": now, "events": [plain(event) for event in events]})
        if self.given["breaks_at"] == now:
            raise ValueError("as asked")
        return [order(prepared) for prepared in self.given["orders"]]


def talk(given: dict) -> dict:
    """Serves a whole session; returns the output byte for byte and the calls of the coordinator."""
    calls: list = []
    sink = io.BytesIO()
    with mock.patch.object(
        host, "Coordinator", lambda seed, settings: StubCoordinator(seed, settings, given, calls)
    ):
        host.serve(io.BytesIO("".join(f"{line}\n" for line in given["lines"]).encode("latin-1")), sink)
    return {"out": sink.getvalue().decode("latin-1"), "heard": calls}
