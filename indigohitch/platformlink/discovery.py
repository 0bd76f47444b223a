"""Discovery: the whole list on request, and the watch on changes."""
from __future__ import annotations

import math
from collections.abc import Callable

import orjson

from .. import interface as face
from ..bootstrap import tenths
from ..log import Log
from ..net.clock import SECOND
from ..net.http import Answer, Client, Exchange
from ..net.loop import Loop

_STATE = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


def read_list(found, remembered: bool = False) -> tuple[face.BackendList, dict[str, str]]:
    """A list in discovery's form as the module's event, and the addresses in it.  ValueError if it is
    none: half a list would make backends vanish."""
    try:
        entries, addresses = [], {}
        for entry in found["instances"]:
            id, weight = entry["instanceId"], float(entry["weight"])
            started = float(entry["startedAtMs"])
            if not isinstance(id, str) or not math.isfinite(weight) or not math.isfinite(started):
                raise ValueError("entry out of form")
            entries.append(face.Listed(id, _STATE[entry["lifecycle"]], weight, str(entry["zone"]),
                                       int(entry["cell"]), str(entry["machineType"]), tenths(started)))
            addresses[id] = str(entry["hostPort"])
        scope = "remembered" if remembered else "full" if found["reset"] else "changes"
        return face.BackendList(scope, int(found["generation"]), tuple(entries)), addresses
    except (KeyError, TypeError, AttributeError, OverflowError) as bad:
        raise ValueError(f"{type(bad).__name__}: {bad}") from None


class Discovery:
    PATH = "/registry/instances"
    # How long a watch may wait: one that falls silent is found out soon after, yet discovery, which does
    # one thing at a time, is not asked all the time.
    HOLD = 3 * SECOND
    # For the answer beyond the wait.  Calls queue there for up to 2 s; what a watch had to tell counts as
    # told 2 s after its wait, so it is given up before.
    SPAN, WATCH_SPAN = 3 * SECOND, SECOND * 3 // 2

    def __init__(self, loop: Loop, log: Log, to: tuple[str, int], version: int,
                 tell: Callable[[face.BackendList, dict[str, str]], None]) -> None:
        self.log, self.tell, self.version = log, tell, version
        self.client = Client(loop, to, connect_span=SECOND, idle_span=SECOND)
        self.watching = False
        self.watch: Exchange | None = None

    def subscribe(self, on: bool) -> None:
        self.watching = on
        if on and self.watch is None:
            self._watch(0)                      # what was missed comes at once, without a wait

    def fetch(self) -> None:
        self.client.request("GET", self.PATH, self.SPAN, self._fetched)

    def _watch(self, hold: int) -> None:
        target = f"{self.PATH}?from={self.version}&hold_ms={hold * 1000 // SECOND}"
        self.watch = self.client.request("GET", target, hold + self.WATCH_SPAN if hold else self.SPAN,
                                         self._watched)

    def _watched(self, answer: Answer) -> None:
        self.watch = None
        if not self._told(answer):
            self.watching = False               # the module hears that it failed and asks anew
        elif self.watching:
            self._watch(self.HOLD)

    def _fetched(self, answer: Answer) -> None:
        self._told(answer)

    def _told(self, answer: Answer) -> bool:
        try:
            if answer.outcome != "answered":
                raise ValueError(answer.outcome)
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            news, addresses = read_list(orjson.loads(answer.body))
        except ValueError as bad:
            self.log.trouble("discovery_failed", why=str(bad), after_ms=answer.duration / 10)
            self.tell(face.BackendList("failed", self.version, ()), {})
            return False
        if news.version < self.version and news.scope == "changes":
            self.fetch()                        # it began anew and counts from the start: ask what holds now
        self.version = news.version
        self.log.count("discovery_answers")
        self.tell(news, addresses)
        return True

    def close(self) -> None:
        self.client.close()
