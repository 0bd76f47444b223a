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
from ..net.loop import Deadline, Loop

_STATE = {"SERVING": "ready", "DRAINING": "draining", "DELETED": "gone"}


def read_list(found, remembered: bool = False) -> tuple[face.BackendList, dict[str, str]]:
    """A list in discovery's form as the module's event, and the addresses in it.  ValueError if it is
    none: half a list would make backends vanish."""
    try:
        entries, addresses = {}, {}             # an id told twice: what came last holds
        for entry in found["instances"]:
            id, weight = entry["instanceId"], float(entry["weight"])
            started = float(entry["startedAtMs"])
            if not isinstance(id, str) or not math.isfinite(weight) or not math.isfinite(started):
                raise ValueError("entry out of form")
            entries[id] = face.Listed(id, _STATE[entry["lifecycle"]], weight, str(entry["zone"]),
                                      int(entry["cell"]), str(entry["machineType"]), tenths(started))
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
    # For the answer beyond the wait.  Calls queue there for up to 2 s; what a watch had to tell counts as
    # told 2 s after its wait, so it is given up before.
    SPAN, WATCH_SPAN = 3 * SECOND, SECOND * 3 // 2
    AGAIN = SECOND // 10        # at an address it moves to, while a watch elsewhere still tells

    def __init__(self, loop: Loop, log: Log, to: tuple[str, int], version: int,
                 tell: Callable[[face.BackendList, dict[str, str]], None]) -> None:
        self.loop, self.log, self.tell, self.version = loop, log, tell, version
        self.client = self._client(to)
        self.watching = False
        self.watch: Exchange | None = None
        self.again: Deadline | None = None
        self.left: Exchange | None = None       # the watch at the address that it moves away from

    def _client(self, to: tuple[str, int]) -> Client:
        return Client(self.loop, to, connect_span=SECOND, idle_span=SECOND)

    def move(self, to: tuple[str, int]) -> bool:
        """Watch at another address.  The watch that is out goes on until one there has answered."""
        if to == self.client.to:
            return False
        self.client.retire()
        self.client = self._client(to)
        if self.left is None:
            self.left = self.watch
        elif self.watch is not None:            # moved again before the last address has answered
            self.watch.drop()
        if self.watch is not None or self.again is not None:
            self._watch(0)
        return True

    def subscribe(self, on: bool) -> None:
        self.watching = on
        if on and self.watch is None and self.again is None:
            self._watch(0)                      # what was missed comes at once, without a wait

    def fetch(self) -> None:
        self.client.request("GET", self.PATH, self.SPAN, self._told)

    def _watch(self, hold: int) -> None:
        if self.again is not None:
            self.again.cancel()
            self.again = None
        client, target = self.client, f"{self.PATH}?from={self.version}&hold_ms={hold * 1000 // SECOND}"
        self.watch = client.request("GET", target, hold + self.WATCH_SPAN if hold else self.SPAN,
                                    lambda answer: self._watched(client, answer))

    def _watched(self, client: Client, answer: Answer) -> None:
        if client is not self.client:
            self.left = None                    # what it had to tell counts; its end says nothing of the new
            if answer.outcome == "answered":
                self._told(answer)
            return
        self.watch = None
        if self.left is not None and (answer.outcome != "answered" or answer.status != 200):
            self.log.trouble("discovery_not_there_yet", why=answer.outcome, status=answer.status)
            self.again = self.loop.after(self.AGAIN, lambda: self._watch(0))
            return
        if self.left is not None:
            self.left.drop()
            self.left = None
        if not self._told(answer):
            self.watching = False               # the module hears that it failed and asks anew
        elif self.watching:
            self._watch(self.HOLD)

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
