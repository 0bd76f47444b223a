"""The stand-in of discovery: the list of backends, watches on its changes, and calls that fail."""

from __future__ import annotations

import json
import random
import time
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

from indigohitch.net.clock import SECOND
from indigohitch.net.loop import Deadline, EventLoop

from . import settings
from .http_server import Peer, Server
from .truth import Truth

LIFECYCLE = {"ready": "SERVING", "draining": "DRAINING", "gone": "DELETED"}


@dataclass(slots=True)
class Watch:
    base: int
    over: Deadline


class Discovery:
    def __init__(
        self, loop: EventLoop, chance: random.Random, truth: Truth, backends: dict[str, str]
    ) -> None:
        """`backends`: their addresses."""
        self.loop, self.chance, self.truth, self.backends = loop, chance, truth, backends
        self.server = Server(loop, self.asked, self.left)
        self.version = 40
        self.changed_at = dict.fromkeys(backends, self.version)
        self.states = dict.fromkeys(backends, "ready")
        self.started = dict.fromkeys(backends, 0)
        self.watches: dict[Peer, Watch] = {}
        self.fault = ""  # "503", "reset", "silent"
        for backend in backends:
            truth.changed(backend, "ready", False)

    def change(self, states: dict[str, str], started_now: bool = False) -> None:
        """The list changes; who watches hears of it at once."""
        self.version += 1
        for backend, state in states.items():
            self.states[backend], self.changed_at[backend] = state, self.version
            if started_now:
                self.started[backend] = int(time.time() * 1000)
            self.truth.changed(backend, state, started_now)
        for peer in list(self.watches):
            self.answer_watch(peer)

    def entry(self, backend: str) -> dict:
        place = list(self.backends).index(backend)
        return {
            "instanceId": backend,
            "hostPort": self.backends[backend],
            "zone": settings.ZONES[place % len(settings.ZONES)],
            "machineType": "std",
            "cell": 0,
            "lifecycle": LIFECYCLE[self.states[backend]],
            "weight": 6.0,
            "startedAtMs": self.started[backend],
        }

    def whole(self) -> dict:
        standing = [self.entry(backend) for backend, state in self.states.items() if state != "gone"]
        return {"generation": self.version, "reset": True, "instances": standing}

    # ---- calls -------------------------------------------------------------------------------------

    def asked(self, peer: Peer, method: str, target: str, body: str) -> None:
        if self.fault:
            self.fail(peer)
            return
        words = dict(parse_qsl(urlsplit(target).query))
        if "from" not in words:
            peer.answer(json.dumps(self.whole()))
            self.told()
            return
        over = self.loop.call_after(int(words["hold_ms"]) * SECOND // 1000, lambda: self.answer_watch(peer))
        self.watches[peer] = Watch(int(words["from"]), over)
        if self.version > int(words["from"]):
            self.answer_watch(peer)

    def answer_watch(self, peer: Peer) -> None:
        watch = self.watches.pop(peer, None)
        if watch is None:
            return
        watch.over.cancel()
        if self.fault:
            self.fail(peer)
            return
        entries = [self.entry(b) for b, version in self.changed_at.items() if version > watch.base]
        peer.answer(json.dumps({"generation": self.version, "reset": False, "instances": entries}))
        self.told()

    def told(self) -> None:
        for backend in list(self.truth.leaving):
            self.truth.told(backend)

    def left(self, peer: Peer) -> None:
        watch = self.watches.pop(peer, None)
        if watch is not None:
            watch.over.cancel()

    def fail(self, peer: Peer) -> None:
        if self.fault == "503":
            peer.answer("", "503 Service Unavailable")
        elif self.fault == "reset":
            peer.reset()

    def go_down(self, how: str) -> None:
        """Watches end with it."""
        self.fault = how
        for peer in list(self.watches):
            self.left(peer)
            self.fail(peer)

    def come_back(self) -> None:
        self.fault = ""
