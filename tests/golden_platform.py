"""Produces and parses the messages of the platform protocol, for comparison with golden files."""

import os
from types import SimpleNamespace
from unittest import mock

import orjson
from pytest import MonkeyPatch

from golden_wire import order, plain
from inbound_harness import InboundHarness
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_client import encode_request as http_form
from indigohitch.net.http_response import HttpResponse
from indigohitch.net.loop import EventLoop
from indigohitch.platform_protocol import call_queue, call_resolution, discovery, probes, relay_watch
from indigohitch.platform_protocol.call_codec import (
    FORM_CONTENT_TYPE,
    encode_form,
    encode_order,
    parse_response,
)
from indigohitch.platform_protocol.call_resolution import OutcomeQuery, TableEvidence
from indigohitch.platform_protocol.relay_watch import EventStream, parse_relay_event
from listroom import Hands
from log_names import former_counts
from relay_room import Room

METHODS = ["search", "reserve"]
ADDRESS = ("127.0.0.1", 7070)


def collector(given: str) -> dict:
    """Return the answer to a client that sends `given`, the events and the counters."""
    harness = InboundHarness()
    try:
        sock = harness.connect(given.encode("latin-1"))
        for _ in range(8):
            harness.loop.call_after(5, lambda: None)
            harness.loop.turn()
        try:
            received = sock.recv(4096)
        except OSError:
            received = b""
        return {
            "answer": received.decode("latin-1"),
            "hears": [plain(event) for event in harness.events],
            "counts": former_counts(harness.log.counts),
        }
    finally:
        harness.close()


def stream(given: str) -> dict:
    """Parse the relay's event stream; return its events and the number of keepalives."""
    events = []
    keepalives = []

    def on_event(kind: str, data: str) -> None:
        event = parse_relay_event(kind, data)
        events.append({"kind": kind, "reads": None if event is None else plain(event)})

    try:
        EventStream(on_event, lambda: keepalives.append(1)).feed(given.encode("latin-1"))
    except ValueError:
        return {"refused": True, "before": events}
    return {"news": events, "signs_of_life": len(keepalives)}


def call(given: list) -> dict:
    """Return orders as the body of a call to the relay, and as the request with this body."""
    body = encode_form(";".join(encode_order(order(one), METHODS) for one in given))
    request = http_form("POST", "/", "127.0.0.1:7070", body, FORM_CONTENT_TYPE)
    return {"body": body.decode("latin-1"), "request": request.decode("latin-1")}


def answer(given: dict) -> dict:
    """Return the number of accepted orders or the error of the relay's response."""
    try:
        parsed = parse_response(
            HttpResponse(given["outcome"], given["status"], given["body"].encode("latin-1"))
        )
    except ValueError:
        return {"refused": True}
    return {"taken": parsed} if isinstance(parsed, int) else {"error": parsed}


def registry(given: dict) -> dict:
    """Parse a response of discovery; return its backend list and addresses."""
    try:
        found, addresses = discovery.parse_backend_list(orjson.loads(given["body"]), given["remembered"])
    except ValueError:
        return {"refused": True}
    return plain(found) | {"addresses": addresses}


class RecordingClient:
    """Replaces HttpClient; records each request as bytes, and the callback for its response."""

    recorded: list

    def __init__(self, loop: EventLoop, address: tuple[str, int], *timeouts: int, **options: int) -> None:
        self.address = address
        self.recorded = RecordingClient.recorded
        self.done = None

    def request(self, method, target, span, done, body=b"", kind="", stream=None) -> SimpleNamespace:
        data = http_form(method, target, f"{self.address[0]}:{self.address[1]}", body, kind).decode("latin-1")
        self.recorded.append({"request": data, "streams": stream is not None})
        RecordingClient.done = done
        return SimpleNamespace(drop=lambda: None, connection=None)

    def close(self) -> None:
        pass


class RecordedModule:
    """A loop and a log with a stopped clock; records the requests of `module`."""

    def __init__(self, module) -> None:
        self.module = module
        RecordingClient.recorded = []

    def __enter__(self) -> "RecordedModule":
        self.defects: list = []
        self.loop = EventLoop(Hands(), self.defects.append)
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        self.log = Log(self.loop.clock, "n0", self.log_fd)
        self.patch = mock.patch.object(self.module, "HttpClient", RecordingClient)
        self.patch.start()
        return self

    def __exit__(self, *exception) -> None:
        self.patch.stop()
        self.loop.close()
        os.close(self.log_fd)
        assert not self.defects

    def respond(self, status: int, body: str, outcome: str = "answered", duration: int = 0) -> None:
        RecordingClient.done(HttpResponse(outcome, status, body.encode("latin-1"), duration))


def probe(given: dict) -> dict:
    """Return the request of a probe, the events of its response and the counters."""
    with RecordedModule(probes) as recording:
        events: list = []
        sender = probes.HealthProbes(recording.loop, recording.log, given["reports"], 8, events.append)
        sender.send("b1", given["at"])
        if RecordingClient.recorded:
            recording.respond(given["status"], given["body"], given["outcome"], given["duration"])
        counts = former_counts(recording.log.counts)
        return {
            "asks": RecordingClient.recorded,
            "tells": [plain(event) for event in events],
            "counts": counts,
        }


def _discovery_requests(bodies: list[str]) -> list[dict]:
    with (
        RecordedModule(discovery) as recording,
        mock.patch.object(discovery.Discovery, "WATCH_WAIT", 2 * SECOND),
    ):
        found = discovery.Discovery(
            recording.loop, recording.log, ADDRESS, 41, lambda backends, addresses: None
        )
        found.subscribe(True)
        for body in bodies:
            recording.respond(200, body)
        found.fetch()
        return RecordingClient.recorded


def _relay_watch_requests(_: list[str]) -> list[dict]:
    with RecordedModule(relay_watch) as recording:
        store_mirror = SimpleNamespace(on_watch_requested=lambda: None, on_keepalive=lambda: None)
        relay_watch.RelayWatch(recording.loop, recording.log, ADDRESS, store_mirror).open()
        return RecordingClient.recorded


def _outcome_query_requests(_: list[str]) -> list[dict]:
    with RecordedModule(call_resolution) as recording:
        query = OutcomeQuery(recording.loop, lambda effect, is_proven: None)
        query.start(ADDRESS, recording.loop.clock.now() - SECOND, TableEvidence({}, []), False)
        recording.loop.turn()
        return RecordingClient.recorded


def _relay_requests(_: list[str]) -> list[dict]:
    with MonkeyPatch.context() as patch:
        RecordingClient.recorded = []
        room = Room(patch)
        patch.setattr(call_queue, "HttpClient", RecordingClient)
        room.relay.client = RecordingClient(room.loop, ADDRESS)
        room.enqueue(1.0, 2.5)
        room.loop.close()
        return RecordingClient.recorded


REQUESTS_BY_PART = {
    "discovery": _discovery_requests,
    "news": _relay_watch_requests,
    "inquiry": _outcome_query_requests,
    "relay": _relay_requests,
}


def requests(given: dict) -> list[dict]:
    """Return the requests that a part of the program sends, as text and in order."""
    return REQUESTS_BY_PART[given["part"]](given["answers"])
