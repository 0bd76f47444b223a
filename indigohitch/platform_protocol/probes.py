"""Probes of backends at the addresses that discovery gave."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import orjson

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.connection import parse_address
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpResponse
from ..net.loop import EventLoop
from .messages import load_values


class HealthProbes:
    TIMEOUT = SECOND * 6 // 10  # a backend that runs answers in a tenth of that

    def __init__(
        self, loop: EventLoop, log: Log, reports: bool, most: int, tell: Callable[[face.ProbeResult], None]
    ) -> None:
        self.loop, self.log, self.max_in_flight, self.on_result = loop, log, most, tell
        self.waiting: deque[tuple[str, str]] = deque()  # for a descriptor: each backend once, says the module
        self.path = "/stats" if reports else "/health/live"
        self.clients: set[HttpClient] = set()  # of the probes that are out

    def send(self, backend: str, at: str | None) -> None:
        try:
            client = HttpClient(self.loop, parse_address(at or ""), self.TIMEOUT)
        except ValueError:  # discovery gave no address that can be dialled
            self.on_result(face.ProbeResult(backend, "connect_failed", 0))
            return
        if len(self.clients) >= self.max_in_flight:
            self.waiting.append((backend, at))
            return
        self.log.count("probes_sent")
        self.clients.add(client)
        client.request(
            "GET", self.path, self.TIMEOUT, lambda answer: self._on_response(backend, client, answer)
        )

    def _on_response(self, backend: str, client: HttpClient, answer: HttpResponse) -> None:
        self.clients.discard(client)
        outcome = answer.outcome
        if outcome == "answered":
            outcome = "ok" if answer.status == 200 else "error"
        else:  # what answers rubbish runs
            outcome = {"unreadable": "error", "unreached": "timeout"}.get(outcome, outcome)
        self.log.count(f"probes_{outcome}")
        self.on_result(face.ProbeResult(backend, outcome, answer.duration, self._parse_load(answer)))
        if self.waiting:
            self.send(*self.waiting.popleft())

    def _parse_load(self, answer: HttpResponse) -> dict[str, float]:
        if answer.outcome != "answered" or not answer.body or self.path != "/stats":
            return {}
        try:
            return load_values(orjson.loads(answer.body))
        except (ValueError, TypeError, AttributeError):  # Unreadable is of the first kind
            self.log.warning("load_report_unreadable", body=answer.body[:80])
            return {}

    def close(self) -> None:
        self.waiting.clear()
        for client in list(self.clients):
            client.close()
