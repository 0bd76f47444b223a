"""The platform's wires as golden files hold them: lines, news, calls, answers, lists and requests."""

import os
from types import SimpleNamespace
from unittest import mock

import orjson
from pytest import MonkeyPatch

from collector_room import Hall
from golden_wire import order, plain
from indigohitch.log import Log
from indigohitch.net.clock import SECOND
from indigohitch.net.http_client import form as http_form
from indigohitch.net.http_exchange import HttpResponse
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
TO = ("127.0.0.1", 7070)


def collector(given: str) -> dict:
    """What one who connects says: what it is answered, what is heard, and what is counted."""
    hall = Hall()
    try:
        sock = hall.call(given.encode("latin-1"))
        for _ in range(8):
            hall.loop.call_after(5, lambda: None)
            hall.loop.turn()
        try:
            said = sock.recv(4096)
        except OSError:
            said = b""
        return {
            "answer": said.decode("latin-1"),
            "hears": [plain(event) for event in hall.heard],
            "counts": former_counts(hall.log.counts),
        }
    finally:
        hall.close()


def stream(given: str) -> dict:
    """The relay's stream of events: each with what it reads as, and how many signs of life came."""
    found, alive = [], []

    def said(kind: str, data: str) -> None:
        event = parse_relay_event(kind, data)
        found.append({"kind": kind, "reads": None if event is None else plain(event)})

    try:
        EventStream(said, lambda: alive.append(1)).feed(given.encode("latin-1"))
    except ValueError:
        return {"refused": True, "before": found}
    return {"news": found, "signs_of_life": len(alive)}


def call(given: list) -> dict:
    """Orders as the body of a call to the relay, and as the request that carries it."""
    body = encode_form(";".join(encode_order(order(one), METHODS) for one in given))
    request = http_form("POST", "/", "127.0.0.1:7070", body, FORM_CONTENT_TYPE)
    return {"body": body.decode("latin-1"), "request": request.decode("latin-1")}


def answer(given: dict) -> dict:
    """What the relay's answer says."""
    try:
        said = parse_response(
            HttpResponse(given["outcome"], given["status"], given["body"].encode("latin-1"))
        )
    except ValueError:
        return {"refused": True}
    return {"taken": said} if isinstance(said, int) else {"error": said}


def registry(given: dict) -> dict:
    """A list of discovery's, and the addresses in it."""
    try:
        found, addresses = discovery.parse_backend_list(orjson.loads(given["body"]), given["remembered"])
    except ValueError:
        return {"refused": True}
    return plain(found) | {"addresses": addresses}


class Recorder:
    """In the client's place: keeps each request as bytes, and who waits for its answer."""

    asked: list

    def __init__(self, loop: EventLoop, to: tuple[str, int], *spans: int, **more: int) -> None:
        self.address, self.asked, self.done = to, Recorder.asked, None

    def request(self, method, target, span, done, body=b"", kind="", stream=None) -> SimpleNamespace:
        data = http_form(method, target, f"{self.address[0]}:{self.address[1]}", body, kind).decode("latin-1")
        self.asked.append({"request": data, "streams": stream is not None})
        Recorder.done = done
        return SimpleNamespace(drop=lambda: None, connection=None)

    def close(self) -> None:
        pass


class Desk:
    """A loop and a log with a clock that stands; clients of `module` are recorders."""

    def __init__(self, module) -> None:
        self.module, Recorder.asked = module, []

    def __enter__(self) -> "Desk":
        self.defects: list = []
        self.loop = EventLoop(Hands(), self.defects.append)
        self.out = os.open(os.devnull, os.O_WRONLY)
        self.log = Log(self.loop.clock, "n0", self.out)
        self.patch = mock.patch.object(self.module, "HttpClient", Recorder)
        self.patch.start()
        return self

    def __exit__(self, *why) -> None:
        self.patch.stop()
        self.loop.close()
        os.close(self.out)
        assert not self.defects

    def answered(self, status: int, body: str, outcome: str = "answered", duration: int = 0) -> None:
        Recorder.done(HttpResponse(outcome, status, body.encode("latin-1"), duration))


def probe(given: dict) -> dict:
    """The request of a probe, and what its answer tells."""
    with Desk(probes) as desk:
        told: list = []
        sender = probes.HealthProbes(desk.loop, desk.log, given["reports"], 8, told.append)
        sender.send("b1", given["at"])
        if Recorder.asked:
            desk.answered(given["status"], given["body"], given["outcome"], given["duration"])
        counts = former_counts(desk.log.counts)
        return {"asks": Recorder.asked, "tells": [plain(event) for event in told], "counts": counts}


def _watches(bodies: list[str]) -> list[dict]:
    with Desk(discovery) as desk, mock.patch.object(discovery.Discovery, "WATCH_WAIT", 2 * SECOND):
        found = discovery.Discovery(desk.loop, desk.log, TO, 41, lambda news, addresses: None)
        found.subscribe(True)
        for body in bodies:
            desk.answered(200, body)
        found.fetch()
        return Recorder.asked


def _news(_: list[str]) -> list[dict]:
    with Desk(relay_watch) as desk:
        hearer = SimpleNamespace(on_watch_requested=lambda: None, on_keepalive=lambda: None)
        relay_watch.RelayWatch(desk.loop, desk.log, TO, hearer).open()
        return Recorder.asked


def _inquiry(_: list[str]) -> list[dict]:
    with Desk(call_resolution) as desk:
        inquiry = OutcomeQuery(desk.loop, lambda effect, proved: None)
        inquiry.start(TO, desk.loop.clock.now() - SECOND, TableEvidence({}, []), False)
        desk.loop.turn()
        return Recorder.asked


def _relay(_: list[str]) -> list[dict]:
    with MonkeyPatch.context() as patch:
        Recorder.asked = []
        room = Room(patch)
        patch.setattr(call_queue, "HttpClient", Recorder)
        room.relay.client = Recorder(room.loop, TO)
        room.order(1.0, 2.5)
        room.loop.close()
        return Recorder.asked


ASKS = {"discovery": _watches, "news": _news, "inquiry": _inquiry, "relay": _relay}


def requests(given: dict) -> list[dict]:
    """The requests that a part sends, as bytes and in order."""
    return ASKS[given["part"]](given["answers"])
