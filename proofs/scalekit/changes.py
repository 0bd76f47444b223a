"""Who changes the configuration: each change one entry of the ledger, asked for until it is acknowledged."""

from __future__ import annotations

import json
import random
import socket
import threading
import time
from collections.abc import Iterable, Iterator

from .intended import Intended, Services
from .records import clock

WAIT = 0.8  # s for an answer: longer than an election
CLIENTS = 8  # of a burst


class Changes:
    """`sockets`: control sockets of members that take proposals, the first that answers is asked."""

    def __init__(self, intended: Intended, sockets: list[str], rate: float, seed: int) -> None:
        self.intended, self.sockets, self.rate = intended, sockets, rate
        self.chance = random.Random(f"changes {seed}")
        self.made: list[tuple[int, int, tuple[str, ...]]] = []  # entry, when it was asked for, services
        self.asked_again = 0
        self.lock = threading.Lock()
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)

    # ---- one change ------------------------------------------------------------------------------------

    def make(self, services: Services, first: int = 0) -> None:
        """Returns once it is in the ledger, however long that takes."""
        while True:
            begun = clock()
            told = self.attempt(services, first)
            if told.get("index") and not told.get("refused"):
                break
            first += 1
            self.asked_again += 1
            time.sleep(0.05)
        with self.lock:
            self.intended.accepted(services, told["index"])
            if told.get("told"):  # else it stood so already
                self.made.append((told["index"], begun, tuple(told["told"])))

    def attempt(self, services: Services, turn: int) -> dict:
        try:
            path = self.sockets[turn % len(self.sockets)]
            return asked(path, {"ask": "distribute set", "services": services})
        except (OSError, ValueError):
            return {}

    # ---- many ------------------------------------------------------------------------------------------

    def load(self) -> None:
        """All of the content."""
        self.together(self.intended.chunks())
        self.made.clear()

    def together(self, changes: Iterable[Services]) -> None:
        waiting, lock = iter(changes), threading.Lock()

        def run(number: int) -> None:
            while True:
                with lock:
                    change = next(waiting, None)
                if change is None:
                    return
                self.make(change, number)

        threads = [threading.Thread(target=run, args=(n,), daemon=True) for n in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def burst(self, count: int, state: str) -> float:
        """So many backends drain or serve again; returns the seconds until the ledger had it."""
        begun = time.monotonic()
        self.together(bundled(self.intended.drains(self.chance, count, state)))
        return time.monotonic() - begun

    # ---- all the time ----------------------------------------------------------------------------------

    def start(self) -> None:
        self.thread.start()

    def run(self) -> None:
        due = time.monotonic()
        while not self.stopping:
            due = max(due + self.chance.expovariate(self.rate), time.monotonic() - 1)
            time.sleep(max(0.0, due - time.monotonic()))
            self.make(self.intended.change(self.chance))

    def stop(self) -> None:
        self.stopping = True
        self.thread.join(30)


def bundled(changes: Iterator[Services], most: int = 5) -> Iterator[Services]:
    """Backends of one machine fail together: so many changes to an entry."""
    part: Services = {}
    for number, change in enumerate(changes, 1):
        for service, resources in change.items():
            part.setdefault(service, {}).update(resources)
        if number % most == 0:
            yield part
            part = {}
    if part:
        yield part


def asked(path: str, line: dict) -> dict:
    """Raises OSError, ValueError."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(WAIT)
        sock.connect(path)
        sock.sendall(json.dumps(line).encode() + b"\n")
        return json.loads(sock.makefile("rb").readline())
