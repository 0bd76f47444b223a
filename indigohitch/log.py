"""The log: one line of JSON per event, on standard output."""

from __future__ import annotations

import os
from collections import Counter
from typing import Any

import orjson

from .net.clock import SECOND, Clock


class Log:
    """Writes events and counts them; writing never raises, nor blocks on a non-blocking output."""

    MAX_LINE_BYTES = 4096  # a pipe writes up to PIPE_BUF bytes atomically
    MAX_FIELD_CHARACTERS = 1000  # in a line that would be too long: received data may be a MiB
    MAX_WARNING_RATE = 20  # lines per second of one kind of warning: shows an overload, adds little to it

    def __init__(self, clock: Clock, name: str = "", output_fd: int = 1) -> None:
        """`output_fd` is the file descriptor to write to."""
        self.clock = clock
        self.name = name
        self.output_fd = output_fd
        self.counts: Counter[str] = Counter()
        self._partial = False
        self._second = 0
        self._logged: Counter[str] = Counter()  # warnings logged in this second, by event name
        self._suppressed: Counter[str] = Counter()  # warnings left out since the last one that was logged

    def count(self, counter: str, increment: int = 1) -> None:
        """Adds to a counter."""
        self.counts[counter] += increment

    def event(self, event_name: str, **fields: Any) -> None:  # noqa: ANN401 - whatever JSON can hold
        """Writes an event with its fields as one line."""
        line = {"ms": self.clock.now() / 10, "coordinator": self.name, "event": event_name} | fields
        data = orjson.dumps(line, default=str) + b"\n"
        if len(data) > self.MAX_LINE_BYTES:
            line |= {
                name: text[: self.MAX_FIELD_CHARACTERS]
                for name, text in line.items()
                if isinstance(text, str)
            }
            data = orjson.dumps(line, default=str) + b"\n"
        try:
            # After a partial write a newline ends the truncated line, so that the next event has its own.
            self._partial = os.write(self.output_fd, b"\n" * self._partial + data) < len(data)
        except OSError:  # the reader is gone or the pipe is full: keep serving
            self.counts["log_lines_lost"] += 1

    def warning(self, event_name: str, **fields: Any) -> None:  # noqa: ANN401 - whatever JSON can hold
        """Counts an event, and logs it below the rate limit; a line says how many before it were left out."""
        self.counts[event_name] += 1
        second = self.clock.now() // SECOND
        if second != self._second:
            self._second = second
            self._logged.clear()
        self._logged[event_name] += 1
        if self._logged[event_name] > self.MAX_WARNING_RATE:
            self._suppressed[event_name] += 1
            return
        suppressed = self._suppressed.pop(event_name, 0)
        self.event(event_name, **fields, **({"left_out": suppressed} if suppressed else {}))

    def counters(self) -> None:
        """Logs all counters."""
        self.event("counters", **dict(sorted(self.counts.items())))
