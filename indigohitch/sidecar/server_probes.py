"""Health checks of a pool's servers, requested by its decision module."""

from __future__ import annotations

from collections.abc import Mapping

from .. import interface
from ..config.texts import PoolText
from ..event_batch import EventBatch
from ..net.http_client import HttpClient
from ..net.http_response import HttpResponse
from ..net.loop import EventLoop
from .servers import Server


class ServerProbes:
    """Sends health checks; each result becomes an event of the decision module."""

    TIMEOUT = 6000  # ticks; a healthy server answers in a tenth of that

    def __init__(
        self, loop: EventLoop, event_batch: EventBatch, servers: Mapping[str, Server], text: PoolText
    ) -> None:
        self.loop = loop
        self.event_batch = event_batch
        self.servers = servers
        self.text = text
        self._clients: set[HttpClient] = set()

    def send(self, backend: str) -> None:
        """Checks a server by its name; one that is not in the pool counts as unreachable."""
        server = self.servers.get(backend)
        if server is None:
            self.event_batch.add(interface.ProbeResult(backend, "connect_failed", 0))
            return
        client = HttpClient(self.loop, server.address, self.TIMEOUT)
        self._clients.add(client)
        client.request(
            "GET",
            self.text.probe,
            self.TIMEOUT,
            lambda response: self._on_response(backend, client, response),
        )

    def _on_response(self, backend: str, client: HttpClient, response: HttpResponse) -> None:
        self._clients.discard(client)
        if response.outcome == "answered":
            outcome = "ok" if response.status == 200 else "error"
        else:
            outcome = {"unreadable": "error", "unreached": "timeout"}.get(response.outcome, response.outcome)
        self.event_batch.add(interface.ProbeResult(backend, outcome, response.duration))

    def close(self) -> None:
        """Cancels all checks in flight."""
        for client in list(self._clients):
            client.close()
