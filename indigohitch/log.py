"""The log: one line of JSON per event, on standard output."""

from __future__ import annotations

import os
from collections import Counter
from typing import Any

import orjson

from .net.clock import SECOND, Clock


class Log:
    """Writes events and counts them; it never raises and never blocks on a non-blocking output."""

    LINE = 4096  # bytes; a pipe takes as much whole or not at all
    TEXT = 1000  # of a field, where a line would be longer: received data may be a MiB
    RATE = 20  # lines a second of one kind of warning: shows an overload, does not become one

    def __init__(self, clock: Clock, name: str = "", output_fd: int = 1) -> None:
        """`output_fd` is the file descriptor to write to."""
        self.clock = clock
        self.name = name
        self.output_fd = output_fd
        self.counts: Counter[str] = Counter()
        self._partial = False
        self._second = 0
        self._logged: Counter[str] = Counter()  # warnings of this second
        self._suppressed: Counter[str] = Counter()  # warnings since the last one that was logged

    def count(self, counter: str, increment: int = 1) -> None:
        """Adds to a counter."""
        self.counts[counter] += increment

    def event(self, what: str, **fields: Any) -> None:  # noqa: ANN401 - whatever JSON can hold
        """Logs an event; `what` is its name."""
        line = {"ms": self.clock.now() / 10, "coordinator": self.name, "event": what} | fields
        data = orjson.dumps(line, default=str) + b"\n"
        if len(data) > self.LINE:
            line |= {name: text[: self.TEXT] for name, text in line.items() if isinstance(text, str)}
            data = orjson.dumps(line, default=str) + b"\n"
        try:
            # After a line of which only a part was taken the next one starts on a line of its own.
            self._partial = os.write(self.output_fd, b"\n" * self._partial + data) < len(data)
        except OSError:  # nobody reads the log any more, or it is full: go on serving
            self.counts["log_lines_lost"] += 1

    def warning(self, what: str, **fields: Any) -> None:  # noqa: ANN401 - whatever JSON can hold
        """Counts always, logs as often as the rate allows; the next line says how many were left out."""
        self.counts[what] += 1
        second = self.clock.now() // SECOND
        if second != self._second:
            self._second = second
            self._logged.clear()
        self._logged[what] += 1
        if self._logged[what] > self.RATE:
            self._suppressed[what] += 1
            return
        left_out = self._suppressed.pop(what, 0)
        self.event(what, **fields, **({"left_out": left_out} if left_out else {}))

    def counters(self) -> None:
        """Logs all counters."""
        self.event("counters", **dict(sorted(self.counts.items())))
