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
    HOLD = 3 * SECOND
    # For the answer beyond the wait.  Calls queue there for up to 2 s, and what it has to tell counts as told
    # after 6 s: two calls in a row that are swallowed must be found out by then.  What a watch had to tell
    # counts as told 2 s after its wait, so it is given up before.
    SPAN, WATCH_SPAN = SECOND * 23 // 10, SECOND * 3 // 2
    # At an address it moves to, while a watch elsewhere still tells; doubled up to a second, that may last.
    AGAIN = SECOND // 10

    def __init__(
        self,
        loop: EventLoop,
        log: Log,
        to: tuple[str, int],
        version: int,
        tell: ListCallback,
    ) -> None:
        self.loop, self.log, self.tell = loop, log, tell
        self.generations = ListVersions(version)
        self.client = self._client(to)
        self.subscribed = self.watching = False  # `watching` ends where the module has to ask anew
        self.watch: HttpExchange | None = None
        self.again: Deadline | None = None
        self.left: HttpExchange | None = None  # the watch at the address that it moves away from
        self.based, self.tries = True, 0  # a list from this address is held, or changes would not do

    def _client(self, to: tuple[str, int]) -> HttpClient:
        return HttpClient(self.loop, to, connect_span=SECOND, idle_span=SECOND)

    @property
    def version(self) -> int:
        return self.generations.held

    def restore(self, version: int) -> None:
        """As another process held it.  Its module may not have heard the last of that yet, so all is asked
        for."""
        self.generations, self.based = ListVersions(version), False

    def move(self, to: tuple[str, int]) -> bool:
        """Watch at another address.  The watch at the old one goes on until a list has come from there."""
        if to == self.client.to:
            return False
        self.client.retire()
        self.client = self._client(to)
        self.generations.moved()
        if self.left is None:
            self.left = self.watch
        elif self.watch is not None:  # moved again before the last address has answered
            self.watch.drop()
        self.based, self.tries = False, 0
        if self.subscribed:  # also where the last address failed: the new one may not
            self.watching = True
            self._watch()
        return True

    def subscribe(self, on: bool) -> None:
        self.watching = self.subscribed = on
        if on and self.watch is None and self.again is None:
            self._watch()  # what was missed comes at once, without a wait

    def fetch(self) -> None:
        self._ask(self.client, 0, True, self._fetched)

    def _ask(
        self,
        client: HttpClient,
        hold: int,
        whole: bool,
        done: Callable[[HttpClient, ListRequest, HttpResponse], None],
    ) -> HttpExchange:
        ask = self.generations.ask(self.loop.clock.now(), whole, left=client is not self.client)
        target = self.PATH if whole else f"{self.PATH}?from={ask.base}&hold_ms={hold * 1000 // SECOND}"
        return client.request(
            "GET",
            target,
            hold + self.WATCH_SPAN if hold else self.SPAN,
            lambda answer: done(client, ask, answer),
        )

    def _watch(self, hold: int = 0) -> None:
        if self.again is not None:
            self.again.cancel()
            self.again = None
        whole = not self.based or self.generations.doubt is not None
        self.watch = self._ask(self.client, 0 if whole else hold, whole, self._watched)

    def _watch_at(self, when: int) -> None:
        self.again = self.loop.call_at(when, self._watch)

    def _watched(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        if client is not self.client:
            self._watched_left(client, ask, answer)
            return
        self.watch = None
        try:
            verdict = self._judged(ask, answer)
        except ValueError as bad:
            if self.left is None:
                self.watching = False  # the module hears that it failed and asks anew
                self._failed(bad, answer)
                return
            self.log.warning("discovery_new_address_unavailable", why=str(bad), status=answer.status)
            self._watch_at(self.loop.clock.now() + min(self.AGAIN << self.tries, SECOND))
            self.tries = min(self.tries + 1, 4)
            return
        if verdict.counts:
            self.based = True
            if self.left is not None:
                self.left.drop()
                self.left = None
        if self.watching and verdict is ListVerdict.DOUBTED:
            self._watch_at(self.generations.ask_again_at(self.loop.clock.now()))
        elif self.watching:
            self._watch(self.HOLD)

    def _watched_left(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        """What it had to tell counts; its end says nothing of the new address, which alone is left then."""
        self.left = None
        try:
            if self._judged(ask, answer).counts and self.watching:
                self.left = self._ask(client, self.HOLD, False, self._watched)
        except ValueError as bad:
            self.log.warning("discovery_previous_watch_ended", why=str(bad), after_ms=answer.duration / 10)
        if self.left is None and self.again is not None:
            self._watch()

    def _fetched(self, client: HttpClient, ask: ListRequest, answer: HttpResponse) -> None:
        try:
            self._judged(ask, answer)
        except ValueError as bad:
            self._failed(bad, answer)

    def _failed(self, why: ValueError, answer: HttpResponse) -> None:
        self.log.warning("discovery_failed", why=str(why), after_ms=answer.duration / 10)
        self.tell(face.BackendList("failed", self.version, ()), {})

    def _judged(self, ask: ListRequest, answer: HttpResponse) -> ListVerdict:
        """Tell what counts; ValueError if it is no list."""
        if answer.outcome != "answered":
            raise ValueError(answer.outcome)
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        news, addresses = parse_backend_list(orjson.loads(answer.body))
        held = self.version
        verdict = self.generations.judge(ask, news, self.loop.clock.now())
        self.log.count("discovery_answers")
        if verdict is ListVerdict.BEGUN_ANEW:
            self.log.warning("discovery_version_reset", generation=news.version, held=held)
        elif verdict is not ListVerdict.COUNTS:
            self.log.warning(
                "discovery_stale_answer", verdict=verdict.value, generation=news.version, held=held
            )
        if verdict.counts:
            self.tell(news, addresses)
        return verdict

    def close(self) -> None:
        if self.left is not None:
            self.left.drop()
        self.client.close()
