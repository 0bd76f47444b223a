"""Reads through any member of a fleet of processes, each held against what was acknowledged before it."""

from __future__ import annotations

import random
import threading
import time

from fleetkit import Fleet, Notes


class Reads:
    """Reads through any member, each held against the notes that were acknowledged before it began."""

    def __init__(self, fleet: Fleet, notes: Notes) -> None:
        self.fleet, self.notes, self.done, self.stale = fleet, notes, 0, []
        self.stopping = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        choice = random.Random(5).choice
        while not self.stopping:
            least, name = self.notes.highest, choice(self.fleet.voters)
            told = self.fleet.ask(name, "read", 3.0)
            if told and "index" in told:
                self.done += 1
                if told["index"] < least:
                    self.stale.append((name, told["index"], least))
            time.sleep(0.02)

    def stop(self) -> None:
        self.stopping = True
        self._thread.join(8)
