"""Discovery: the whole list on request, and the watch on changes."""

from __future__ import annotations

import math
from collections.abc import Callable

import orjson

from .. import interface as face
from ..log import Log
from ..net.clock import SECOND
from ..net.http_client import HttpClient
from ..net.http_exchange import HttpExchange, HttpResponse
from ..net.loop import Deadline, EventLoop
from ..settings import ticks_from_ms
from .backend_source import ListCallback
from .list_versions import ListRequest, ListVerdict, ListVersions

_STATE = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


def parse_backend_list(found, remembered: bool = False) -> tuple[face.BackendList, dict[str, str]]:
    """A list in discovery's form as the module's event, and the addresses in it.  ValueError if it is
    none: half a list would make backends vanish."""
    try:
        entries, addresses = {}, {}  # an id told twice: what came last holds
        for entry in found["instances"]:
            id, weight = entry["instanceId"], float(entry["weight"])
            started = float(entry["startedAtMs"])
            if not isinstance(id, str) or not math.isfinite(weight) or not math.isfinite(started):
                raise ValueError("entry out of form")
            entries[id] = face.BackendEntry(
                id,
                _STATE[entry["lifecycle"]],
                weight,
                str(entry["zone"]),
                int(entry["cell"]),
                str(entry["machineType"]),
                ticks_from_ms(started),
            )
            addresses[id] = str(entry["hostPort"])
        scope = "remembered" if remembered else "full" if found["reset"] else "changes"
        return face.BackendList(scope, int(found["generation"]), tuple(entries.values())), addresses
    except (KeyError, TypeError, AttributeError, OverflowError) as bad:
        raise ValueError(f"{type(bad).__name__}: {bad}") from None


class Discovery:
    PATH = "/registry/instances"
    # How long a watch may wait: one that falls silent is found out soon after, yet discovery, which does
    # one thing at a time, is not asked all the time.
    WATCH_WAIT = 3 * SECOND
    # For the answer beyond the wait.  Calls queue there for up to 2 s, and what it has to tell counts as told
    # after 6 s: two calls in a row that are swallowed must be found out by then.  What a watch had to tell
    # counts as told 2 s after its wait, so it is given up before.
    TIMEOUT = SECOND * 23 // 10
    WATCH_TIMEOUT_MARGIN = SECOND * 3 // 2
    # At an address it moves to, while a watch elsewhere still tells; doubled up to a second, that may last.
    RETRY_INTERVAL = SECOND // 10

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        to: tuple[str, int],
        version: int,
        tell: ListCallback,
    ) -> None:
        self.loop, self.log, self.on_list = loop, log, tell
        self.versions = ListVersions(version)
        self.client = self._client(to)
        self.subscribed = self.watching = False  # `watching` ends where the module has to ask anew
        self.watch_exchange: HttpExchange | None = None
        self.retry_timer: Deadline | None = None
        self.previous_watch: HttpExchange | None = None  # the watch at the address that it moves away from
        self.has_full_list, self.attempts = (
            True,
            0,
        )  # a list from this address is held, or changes would not do

    def _client(self, to: tuple[str, int]) -> HttpClient:
        return HttpClient(self.loop, to, connect_span=SECOND, idle_span=SECOND)

    @property
    def version(self) -> int:
        return self.versions.current

    def restore(self, version: int) -> None:
        """As another process held it.  Its module may not have heard the last of that yet, so all is asked
        for."""
        self.versions, self.has_full_list = ListVersions(version), False

    def move(self, to: tuple[str, int]) -> bool:
        """Watch at another address.  The watch at the old one goes on until a list has come from there."""
        if to == self.client.address:
            return False
        self.client.retire()
        self.client = self._client(to)
        self.versions.on_address_change()
        if self.previous_watch is None:
            self.previous_watch = self.watch_exchange
        elif self.watch_exchange is not None:  # moved again before the last address has answered
            self.watch_exchange.drop()
        self.has_full_list, self.attempts = False, 0
        if self.subscribed:  # also where the last address failed: the new one may not
            self.watching = True
            self._start_watch()
        return True

    def subscribe(self, on: bool) -> None:
        self.watching = self.subscribed = on
        if on and self.watch_exchange is None and self.retry_timer is None:
            self._start_watch()  # what was missed comes at once, without a wait

    def fetch(self) -> None:
        self._request(self.client, 0, True, self._on_fetch_response)

    def _request(
        self,
        client: HttpClient,
        hold: int,
        whole: bool,
        done: Callable[[HttpClient, ListRequest, HttpResponse], None],
    ) -> HttpExchange:
        ask = self.versions.new_request(self.loop.clock.now(), whole, left=client is not self.client)
        target = self.PATH if whole else f"{self.PATH}?from={ask.base}&hold_ms={hold * 1000 // SECOND}"
        return client.request(
            "GET",
            target,
            hold + self.WATCH_TIMEOUT_MARGIN if hold else self.TIMEOUT,
            lambda answer: done(client, ask, answer),
        )

    def _start_watch(self, hold: int = 0) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        whole = not self.has_full_list or self.versions.unconfirmed is not None
        self.watch_exchange = self._request(self.client, 0 if whole else hold, whole, self._on_watch_response)

    def _schedule_watch(self, when: int) -> None:
        self.retry_timer = self.loop.call_at(when, self._start_watch)

    def _on_watch_response(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        if client is not self.client:
            self._on_previous_watch_response(client, ask, answer)
            return
        self.watch_exchange = None
        try:
            verdict = self._apply_response(ask, answer)
        except ValueError as bad:
            if self.previous_watch is None:
                self.watching = False  # the module hears that it failed and asks anew
                self._report_failure(bad, answer)
                return
            self.log.warning("discovery_new_address_unavailable", why=str(bad), status=answer.status)
            self._schedule_watch(self.loop.clock.now() + min(self.RETRY_INTERVAL << self.attempts, SECOND))
            self.attempts = min(self.attempts + 1, 4)
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

    def _on_previous_watch_response(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        """What it had to tell counts; its end says nothing of the new address, which alone is left then."""
        self.previous_watch = None
        try:
            if self._apply_response(ask, answer).is_accepted and self.watching:
                self.previous_watch = self._request(client, self.WATCH_WAIT, False, self._on_watch_response)
        except ValueError as bad:
            self.log.warning("discovery_previous_watch_ended", why=str(bad), after_ms=answer.duration / 10)
        if self.previous_watch is None and self.retry_timer is not None:
            self._start_watch()

    def _on_fetch_response(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        try:
            self._apply_response(ask, answer)
        except ValueError as bad:
            self._report_failure(bad, answer)

    def _report_failure(self, why: ValueError, answer: HttpResponse) -> None:
        self.log.warning("discovery_failed", why=str(why), after_ms=answer.duration / 10)
        self.on_list(face.BackendList("failed", self.version, ()), {})

    def _apply_response(self, ask: ListRequest, answer: HttpResponse) -> ListVerdict:
        """Tell what counts; ValueError if it is no list."""
        if answer.outcome != "answered":
            raise ValueError(answer.outcome)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        news, addresses = parse_backend_list(orjson.loads(answer.body))
        held = self.version
        verdict = self.versions.classify(ask, news, self.loop.clock.now())
        self.log.count("discovery_answers")
        if verdict is ListVerdict.RESET:
            self.log.warning("discovery_version_reset", generation=news.version, held=held)
        elif verdict is not ListVerdict.ACCEPTED:
            self.log.warning(
                "discovery_stale_answer", verdict=verdict.value, generation=news.version, held=held
            )
        if verdict.is_accepted:
            self.on_list(news, addresses)
        return verdict

    def close(self) -> None:
        if self.previous_watch is not None:
            self.previous_watch.drop()
        self.client.close()
