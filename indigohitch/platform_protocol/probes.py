"""Sends health probes to backends over HTTP."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import orjson

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.connection import parse_address
from ..net.http_client import HttpClient
from ..net.http_response import HttpResponse
from ..net.loop import EventLoop
from .messages import parse_load_values


class HealthProbes:
    """Sends a bounded number of probes at a time, and reports the result of each."""

    TIMEOUT = SECOND * 6 // 10  # a healthy backend responds within a tenth of this

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        load_reports: bool,
        max_in_flight: int,
        on_result: Callable[[face.ProbeResult], None],
    ) -> None:
        """Probe for load reports if `load_reports` is set, else for liveness only."""
        self.loop = loop
        self.log = log
        self.max_in_flight = max_in_flight
        self.on_result = on_result
        # Probes that wait for a free descriptor, at most one per backend.
        self.waiting: deque[tuple[str, str]] = deque()
        self.path = "/stats" if load_reports else "/health/live"
        self.clients: set[HttpClient] = set()  # one for each probe in flight

    def send(self, backend: str, address: str | None) -> None:
        """Probe a backend, or queue the probe while `max_in_flight` are in flight."""
        try:
            client = HttpClient(self.loop, parse_address(address or ""), self.TIMEOUT)
        except ValueError:  # the address is missing or malformed
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
        else:  # an unreadable response still shows that the backend runs
            outcome = {"unreadable": "error", "unreached": "timeout"}.get(outcome, outcome)
        self.log.count(f"probes_{outcome}")
        self.on_result(face.ProbeResult(backend, outcome, response.duration, self._parse_load(response)))
        if self.waiting:
            self.send(*self.waiting.popleft())

    def _parse_load(self, response: HttpResponse) -> dict[str, float]:
        if response.outcome != "answered" or not response.body or self.path != "/stats":
            return {}
        try:
            return parse_load_values(orjson.loads(response.body))
        except (ValueError, TypeError, AttributeError):  # InvalidLineError is a ValueError
            self.log.warning("load_report_unreadable", body=response.body[:80])
            return {}

    def close(self) -> None:
        """Discard the queued probes and close the connections of those in flight."""
        self.waiting.clear()
        for client in list(self.clients):
            client.close()
