"""Probes of backends at the addresses that discovery gave."""
from __future__ import annotations

from collections.abc import Callable

import orjson

from .. import interface as face
from ..bootstrap import load_report
from ..log import Log
from ..net.clock import SECOND
from ..net.connection import address
from ..net.http import Answer, Client
from ..net.loop import Loop
from .words import Unreadable, number


class Probes:
    SPAN = SECOND * 6 // 10     # a backend that runs answers in a tenth of that

    def __init__(self, loop: Loop, log: Log, reports: bool,
                 tell: Callable[[face.Probed], None]) -> None:
        self.loop, self.log, self.tell = loop, log, tell
        self.path = "/stats" if reports else "/health/live"
        self.clients: set[Client] = set()       # of the probes that are out

    def send(self, backend: str, at: str | None) -> None:
        self.log.count("probes_sent")
        try:
            client = Client(self.loop, address(at or ""), self.SPAN)
        except ValueError:                      # discovery gave no address that can be dialled
            self.tell(face.Probed(backend, "connect_failed", 0))
            return
        self.clients.add(client)
        client.request("GET", self.path, self.SPAN, lambda answer: self._answered(backend, client, answer))

    def _answered(self, backend: str, client: Client, answer: Answer) -> None:
        self.clients.discard(client)
        outcome = answer.outcome
        if outcome == "answered":
            outcome = "ok" if answer.status == 200 else "error"
        else:                                   # what answers rubbish runs
            outcome = {"unreadable": "error", "unreached": "timeout"}.get(outcome, outcome)
        self.log.count(f"probes_{outcome}")
        self.tell(face.Probed(backend, outcome, answer.duration, self._load(answer)))

    def _load(self, answer: Answer) -> dict[str, float]:
        if answer.outcome != "answered" or not answer.body or self.path != "/stats":
            return {}
        try:
            found = orjson.loads(answer.body)
            return load_report((name, number(found, name)) for name in found)
        except (ValueError, TypeError, Unreadable):
            self.log.trouble("load_report_unreadable", body=answer.body[:80])
            return {}

    def close(self) -> None:
        for client in list(self.clients):
            client.close()
