"""Client of the discovery service: fetches the full list of backends and watches for changes."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import orjson

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange
from ..net.http_response import HttpResponse
from ..net.loop import Deadline, EventLoop
from ..settings import ticks_from_ms
from .backend_source import ListCallback
from .list_versions import ListRequest, ListVerdict, ListVersions

_STATE_BY_LIFECYCLE = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


def parse_backend_list(
    document: dict[str, Any], remembered: bool = False
) -> tuple[face.BackendList, dict[str, str]]:
    """Parse a list from discovery into an event and the address of each backend.

    `remembered` marks a list from the configuration. Raises ValueError for any malformed entry: a
    partial list would make backends disappear.
    """
    try:
        entries: dict[str, face.BackendEntry] = {}  # if an id is listed twice, its last entry counts
        addresses: dict[str, str] = {}
        for entry in document["instances"]:
            backend = entry["instanceId"]
            weight = float(entry["weight"])
            started = float(entry["startedAtMs"])
            if not isinstance(backend, str) or not math.isfinite(weight) or not math.isfinite(started):
                raise ValueError("instanceId is no string, or weight or startedAtMs is not finite")
            entries[backend] = face.BackendEntry(
                backend,
                _STATE_BY_LIFECYCLE[entry["lifecycle"]],
                weight,
                str(entry["zone"]),
                int(entry["cell"]),
                str(entry["machineType"]),
                ticks_from_ms(started),
            )
            addresses[backend] = str(entry["hostPort"])
        scope = "remembered" if remembered else "full" if document["reset"] else "changes"
        return face.BackendList(scope, int(document["generation"]), tuple(entries.values())), addresses
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from None


class Discovery:
    """Keeps the list of backends current over HTTP: one-off fetches and a long-poll watch."""

    PATH = "/registry/instances"
    # Long-poll wait: short enough that a silent watch is detected soon, long enough not to load discovery,
    # which serves one request at a time.
    WATCH_WAIT = 3 * SECOND
    # Timeout of a response.  Requests queue at discovery for up to 2 s, and a change counts as reported after
    # 6 s: two lost requests in a row have to be detected by then.  A watch's change counts as reported 2 s
    # after its wait, so the watch times out before that.
    TIMEOUT = SECOND * 23 // 10
    WATCH_TIMEOUT_MARGIN = SECOND * 3 // 2
    # First delay between attempts at a new address while the previous watch works; doubles up to 1 s.
    RETRY_INTERVAL = SECOND // 10

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        address: tuple[str, int],
        version: int,
        on_list: ListCallback,
    ) -> None:
        self.loop = loop
        self.log = log
        self.on_list = on_list
        self.versions = ListVersions(version)
        self.client = self._client(address)
        self.subscribed = False
        self.watching = False  # cleared when the decision module has to subscribe again
        self.watch_exchange: HttpExchange | None = None
        self.retry_timer: Deadline | None = None
        self.previous_watch: HttpExchange | None = None  # at the address before the last move
        self.has_full_list = True  # from the current address; without one, changes alone are not enough
        self.failed_attempts = 0

    def _client(self, address: tuple[str, int]) -> HttpClient:
        return HttpClient(self.loop, address, connect_span=SECOND, idle_span=SECOND)

    @property
    def version(self) -> int:
        """Return the version of the last accepted list."""
        return self.versions.current

    def restore(self, version: int) -> None:
        """Continue from the version that another process had reached.

        Its decision module may not have processed the last list, so the next request is for the full list.
        """
        self.versions = ListVersions(version)
        self.has_full_list = False

    def move(self, address: tuple[str, int]) -> bool:
        """Watch at another address; returns False if it is the current one.

        The watch at the old address continues until a list has arrived from the new one.
        """
        if address == self.client.address:
            return False
        self.client.retire()
        self.client = self._client(address)
        self.versions.on_address_change()
        if self.previous_watch is None:
            self.previous_watch = self.watch_exchange
        elif self.watch_exchange is not None:  # moved again before the last address has responded
            self.watch_exchange.drop()
        self.has_full_list = False
        self.failed_attempts = 0
        if self.subscribed:  # even if the last address failed: the new one may work
            self.watching = True
            self._start_watch()
        return True

    def subscribe(self, enabled: bool) -> None:
        """Start or stop the watch for changes."""
        self.watching = enabled
        self.subscribed = enabled
        if enabled and self.watch_exchange is None and self.retry_timer is None:
            self._start_watch()  # without a long-poll wait, so that missed changes are returned at once

    def fetch(self) -> None:
        """Request the full list once."""
        self._request(self.client, 0, True, self._on_fetch_response)

    def _request(
        self,
        client: HttpClient,
        wait: int,
        full: bool,
        on_response: Callable[[HttpClient, ListRequest, HttpResponse], None],
    ) -> HttpExchange:
        request = self.versions.new_request(
            self.loop.clock.now(), full, to_previous=client is not self.client
        )
        target = self.PATH if full else f"{self.PATH}?from={request.base}&hold_ms={wait * 1000 // SECOND}"
        return client.request(
            "GET",
            target,
            wait + self.WATCH_TIMEOUT_MARGIN if wait else self.TIMEOUT,
            lambda response: on_response(client, request, response),
        )

    def _start_watch(self, wait: int = 0) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        full = not self.has_full_list or self.versions.unconfirmed is not None
        self.watch_exchange = self._request(self.client, 0 if full else wait, full, self._on_watch_response)

    def _schedule_watch(self, when: int) -> None:
        self.retry_timer = self.loop.call_at(when, self._start_watch)

    def _on_watch_response(self, client: HttpClient, request: ListRequest, response: HttpResponse) -> None:
        if client is not self.client:
            self._on_previous_watch_response(client, request, response)
            return
        self.watch_exchange = None
        try:
            verdict = self._apply_response(request, response)
        except ValueError as error:
            if self.previous_watch is None:
                self.watching = False  # the failure makes the decision module subscribe again
                self._report_failure(error, response)
                return
            self.log.warning("discovery_new_address_unavailable", why=str(error), status=response.status)
            self._schedule_watch(
                self.loop.clock.now() + min(self.RETRY_INTERVAL << self.failed_attempts, SECOND)
            )
            self.failed_attempts = min(self.failed_attempts + 1, 4)
            return
        if verdict.is_accepted:
            self.has_full_list = True
            if self.previous_watch is not None:
                self.previous_watch.drop()
                self.previous_watch = None
        if self.watching and verdict is ListVerdict.UNCONFIRMED:
            self._schedule_watch(self.versions.retry_at(self.loop.clock.now()))
        elif self.watching:
            self._start_watch(self.WATCH_WAIT)

    def _on_previous_watch_response(
        self, client: HttpClient, request: ListRequest, response: HttpResponse
    ) -> None:
        """Apply a response from the previous address; a failure there says nothing about the new address."""
        self.previous_watch = None
        try:
            if self._apply_response(request, response).is_accepted and self.watching:
                self.previous_watch = self._request(client, self.WATCH_WAIT, False, self._on_watch_response)
        except ValueError as error:
            self.log.warning(
                "discovery_previous_watch_ended", why=str(error), after_ms=response.duration / 10
            )
        if self.previous_watch is None and self.retry_timer is not None:
            self._start_watch()

    def _on_fetch_response(self, client: HttpClient, request: ListRequest, response: HttpResponse) -> None:
        try:
            self._apply_response(request, response)
        except ValueError as error:
            self._report_failure(error, response)

    def _report_failure(self, error: ValueError, response: HttpResponse) -> None:
        self.log.warning("discovery_failed", why=str(error), after_ms=response.duration / 10)
        self.on_list(face.BackendList("failed", self.version, ()), {})

    def _apply_response(self, request: ListRequest, response: HttpResponse) -> ListVerdict:
        """Pass the list on if it is accepted; raises ValueError if the response contains no list."""
        if response.outcome != "answered":
            raise ValueError(response.outcome)
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        update, addresses = parse_backend_list(orjson.loads(response.body))
        previous_version = self.version
        verdict = self.versions.classify(request, update, self.loop.clock.now())
        self.log.count("discovery_answers")
        if verdict is ListVerdict.RESET:
            self.log.warning("discovery_version_reset", generation=update.version, held=previous_version)
        elif verdict is not ListVerdict.ACCEPTED:
            self.log.warning(
                "discovery_stale_answer",
                verdict=verdict.value,
                generation=update.version,
                held=previous_version,
            )
        if verdict.is_accepted:
            self.on_list(update, addresses)
        return verdict

    def close(self) -> None:
        """Drop the watches and close the connection."""
        if self.previous_watch is not None:
            self.previous_watch.drop()
        self.client.close()
