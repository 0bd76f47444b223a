"""Health probes of backends over HTTP."""

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
    """Sends probes, a bounded number at once, and reports each result."""

    TIMEOUT = SECOND * 6 // 10  # a backend that runs answers in a tenth of that

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        reports: bool,
        max_in_flight: int,
        on_result: Callable[[face.ProbeResult], None],
    ) -> None:
        """Probe for load reports if `reports` is set, else for liveness only."""
        self.loop = loop
        self.log = log
        self.max_in_flight = max_in_flight
        self.on_result = on_result
        self.waiting: deque[tuple[str, str]] = deque()  # for a free descriptor; each backend once
        self.path = "/stats" if reports else "/health/live"
        self.clients: set[HttpClient] = set()  # of the probes in flight

    def send(self, backend: str, address: str | None) -> None:
        """Probe a backend, or queue the probe while `max_in_flight` are in flight."""
        try:
            client = HttpClient(self.loop, parse_address(address or ""), self.TIMEOUT)
        except ValueError:  # no address, or none to connect to
            self.on_result(face.ProbeResult(backend, "connect_failed", 0))
            return
        if len(self.clients) >= self.max_in_flight:
            self.waiting.append((backend, address))
            return
        self.log.count("probes_sent")
        self.clients.add(client)
        client.request(
            "GET", self.path, self.TIMEOUT, lambda response: self._on_response(backend, client, response)
        )

    def _on_response(self, backend: str, client: HttpClient, response: HttpResponse) -> None:
        self.clients.discard(client)
        outcome = response.outcome
        if outcome == "answered":
            outcome = "ok" if response.status == 200 else "error"
        else:  # an unreadable response shows that the backend runs
            outcome = {"unreadable": "error", "unreached": "timeout"}.get(outcome, outcome)
        self.log.count(f"probes_{outcome}")
        self.on_result(face.ProbeResult(backend, outcome, response.duration, self._parse_load(response)))
        if self.waiting:
            self.send(*self.waiting.popleft())

    def _parse_load(self, response: HttpResponse) -> dict[str, float]:
        if response.outcome != "answered" or not response.body or self.path != "/stats":
            return {}
        try:
            return load_values(orjson.loads(response.body))
        except (ValueError, TypeError, AttributeError):  # InvalidLineError is a ValueError
            self.log.warning("load_report_unreadable", body=response.body[:80])
            return {}

    def close(self) -> None:
        """Discard the queue and close the connections of all probes in flight."""
        self.waiting.clear()
        for client in list(self.clients):
            client.close()
