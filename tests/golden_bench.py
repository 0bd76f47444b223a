"""The bench's wire as golden files hold it: a line to what it reads as, an order to its line, and a talk."""

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
    """A line of the bench, and what it reads as."""
    lists = {number: incoming.decode(line)[1].entries() for number, line in LISTS.items()}
    try:
        kind, message = incoming.decode(given.encode("latin-1"))
        match kind:
            case _ if message is None:
                reads = None
            case "Flush":
                reads = {"flush": True}
            case "Mark":
                reads = {"at_ms": message.at_time}
            case "Configure":
                reads = {
                    "coordinator": message.coordinator,
                    "seed": message.rng_seed,
                    "settings": message.params,
                }
            case "PowerOff":
                reads = {"coordinator": message.coordinator}
            case "List":
                reads = {"list": message.buffer, "entries": entries(message.entries())}
            case _:
                event = plain(message.to_event(COLUMNS, lists))
                reads = {"coordinator": message.coordinator} | event
        return {"type": kind, "reads": reads}
    except (incoming.WireError, KeyError):
        return {"refused": True}


def order_out(given: dict) -> str:
    """An order's line."""
    return outgoing.encode(given["coordinator"], order(given)).decode("latin-1")


class Canned:
    """In the coordinator's place: gives out prepared orders, and keeps what it was told."""

    def __init__(self, seed: int, boot: dict, given: dict, heard: list) -> None:
        self.given, self.heard = given, heard
        heard.append({"seed": seed, "batch_gap": boot["batch_gap"]})

    def handle(self, now: int, events: list) -> list:
        self.heard.append({"now": now, "events": [plain(event) for event in events]})
        if self.given["breaks_at"] == now:
            raise ValueError("as asked")
        return [order(one) for one in self.given["orders"]]


def talk(given: dict) -> dict:
    """What a whole input gives, byte for byte, and what the module heard."""
    heard: list = []
    sink = io.BytesIO()
    with mock.patch.object(host, "Coordinator", lambda seed, boot: Canned(seed, boot, given, heard)):
        host.serve(io.BytesIO("".join(f"{line}\n" for line in given["lines"]).encode("latin-1")), sink)
    return {"out": sink.getvalue().decode("latin-1"), "heard": heard}
