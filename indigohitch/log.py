"""The log: one JSON line an event, on standard output."""

from __future__ import annotations

import os
from collections import Counter

import orjson

from .net.clock import SECOND, Clock


class Log:
    LINE = 4096  # a pipe takes as much whole or not at all
    TEXT = 1000  # of a field, where a line would be longer: what came may be a MiB
    RATE = 20  # lines a second of one kind of trouble: shows it, does not become it

    def __init__(self, clock: Clock, name: str = "", out: int = 1) -> None:
        self.clock, self.name, self.out = clock, name, out
        self.counts: Counter[str] = Counter()
        self._part = False
        self._second, self._said, self._unsaid = 0, Counter(), Counter()

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] += by

    def event(self, what: str, **fields) -> None:
        line = {"ms": self.clock.now() / 10, "coordinator": self.name, "event": what} | fields
        data = orjson.dumps(line, default=str) + b"\n"
        if len(data) > self.LINE:
            line |= {name: text[: self.TEXT] for name, text in line.items() if isinstance(text, str)}
            data = orjson.dumps(line, default=str) + b"\n"
        try:
            # After a line of which only a part was taken the next one begins anew.
            self._part = os.write(self.out, b"\n" * self._part + data) < len(data)
        except OSError:  # nobody reads the log any more, or it is full: go on serving
            self.counts["log_lines_lost"] += 1

    def warning(self, what: str, **fields) -> None:
        """Counted always, logged as often as the rate allows; what was left out is told with the next."""
        self.counts[what] += 1
        second = self.clock.now() // SECOND
        if second != self._second:
            self._second = second
            self._said.clear()
        self._said[what] += 1
        if self._said[what] > self.RATE:
            self._unsaid[what] += 1
            return
        left_out = self._unsaid.pop(what, 0)
        self.event(what, **fields, **({"left_out": left_out} if left_out else {}))

    def counters(self) -> None:
        self.event("counters", **dict(sorted(self.counts.items())))
